package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	requestTimeout = 15 * time.Second
	maxAnswer      = 256 << 20
)

type (
	// Client calls one gateway's operators' interface.
	Client struct {
		address string
		key     string
		http    *http.Client
	}

	// RefusedError is the gateway's refusal.
	RefusedError struct {
		Problem Problem
	}
)

// Error tells why.
func (e RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Problem.Title, e.Problem.Detail)
}

// NewClient returns a client of the interface at address.
func NewClient(address, key string) *Client {
	return &Client{address: address, key: key, http: &http.Client{Timeout: requestTimeout}}
}

// Publish offers declarations. An UnknownOutcomeError means that they may have
// been accepted, and that publishing them again is safe.
func (c *Client) Publish(ctx context.Context, offer *schema.Publish) (*schema.Result, error) {
	body, err := jsonForm.Marshal(offer)
	if err != nil {
		return nil, figbank.Fail("operators", "Marshal", err)
	}
	answer := &schema.PublishAnswer{}
	if err := c.do(ctx, http.MethodPost, PublishPath, body, answer); err != nil {
		return nil, err
	}
	return answer.GetResult(), nil
}

// Status asks for the gateway's view of the system.
func (c *Client) Status(ctx context.Context) (*schema.Status, error) {
	status := &schema.Status{}
	return status, c.do(ctx, http.MethodGet, StatusPath, nil, status)
}

// Timeline asks for the merged events of all processes that the gateway reaches.
func (c *Client) Timeline(ctx context.Context) (*schema.Timeline, error) {
	timeline := &schema.Timeline{}
	return timeline, c.do(ctx, http.MethodGet, TimelinePath, nil, timeline)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, answer proto.Message) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return figbank.Fail("operators", "Request", figbank.InvalidError{Subject: "address", Detail: err.Error()})
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return sendFailure(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return figbank.Fail("operators", "Receive", figbank.UnknownOutcomeError{Detail: err.Error()})
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, content)
	}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	return figbank.Fail("operators", "Unmarshal", options.Unmarshal(content, answer))
}

// sendFailure tells a gateway that was never reached from a lost answer.
func sendFailure(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return figbank.Fail("operators", "Unreachable", figbank.NotAcceptedError{Detail: err.Error()})
	}
	return figbank.Fail("operators", "Send", figbank.UnknownOutcomeError{Detail: err.Error()})
}

func refusal(status int, content []byte) error {
	problem := Problem{Title: "Refused", Status: status}
	if err := json.Unmarshal(content, &problem); err != nil {
		problem.Detail = fmt.Sprintf("gateway answered %d", status)
	}
	if problem.Outcome == "Unknown" {
		return figbank.Fail("operators", "Unknown", figbank.UnknownOutcomeError{Detail: problem.Detail})
	}
	return figbank.Fail("operators", "Refused", RefusedError{Problem: problem})
}
