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
	"figbank/answers"
	"figbank/schema"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	requestTimeout = 15 * time.Second
	// maxAnswerSize and maxHeadSize limit an answer and its head, in bytes.
	maxAnswerSize = 256 << 20
	maxHeadSize   = 64 << 10
)

type (
	// Client calls the operators' API of one gateway. It is safe for concurrent use.
	Client struct {
		address string
		key     string
		http    *http.Client
	}

	// RefusedError reports that the gateway refused a request. A response that has an error
	// status and no Problem as its body counts as a refusal too.
	RefusedError struct {
		Problem Problem
	}
)

// Error gives the title and the detail of the refusal.
func (e RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Problem.Title, e.Problem.Detail)
}

// NewClient returns a client of the API at address that authenticates with key.
func NewClient(address, key string) *Client {
	transport := answers.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: maxHeadSize, DisableCompression: true})
	return &Client{address: address, key: key, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// Publish sends declarations to the gateway. A NotAcceptedError means that no connection
// to the gateway could be opened. An UnknownOutcomeError means that the declarations may
// have been accepted. It is safe to publish them again.
func (c *Client) Publish(ctx context.Context, publish *schema.Publish) (*schema.Result, error) {
	body, err := jsonOptions.Marshal(publish)
	if err != nil {
		return nil, figbank.WrapError("operators", "Marshal", err)
	}
	answer := &schema.PublishAnswer{}
	if err := c.do(ctx, http.MethodPost, PublishPath, body, answer); err != nil {
		return nil, err
	}
	return answer.GetResult(), nil
}

// Status returns the gateway's view of the system.
func (c *Client) Status(ctx context.Context) (*schema.Status, error) {
	status := &schema.Status{}
	return status, c.do(ctx, http.MethodGet, StatusPath, nil, status)
}

// Timeline returns the merged events of all processes that the gateway reaches.
func (c *Client) Timeline(ctx context.Context) (*schema.Timeline, error) {
	timeline := &schema.Timeline{}
	return timeline, c.do(ctx, http.MethodGet, TimelinePath, nil, timeline)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, answer proto.Message) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return figbank.WrapError("operators", "Request", figbank.InvalidError{Subject: "address", Detail: err.Error()})
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return sendError(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize+1))
	if err == nil && len(content) > maxAnswerSize {
		err = figbank.ProtocolError{Detail: "answer is too long"}
	}
	if err != nil {
		return figbank.WrapError("operators", "Receive", figbank.UnknownOutcomeError{Detail: err.Error()})
	}
	if response.StatusCode != http.StatusOK {
		return refusalError(response.StatusCode, content)
	}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	return figbank.WrapError("operators", "Unmarshal", options.Unmarshal(content, answer))
}

// sendError returns a NotAcceptedError if the connection could not be opened, since the
// gateway then never got the request. After any other failure, the gateway may have run the
// request, so sendError returns an UnknownOutcomeError.
func sendError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return figbank.WrapError("operators", "Unreachable", figbank.NotAcceptedError{Detail: err.Error()})
	}
	return figbank.WrapError("operators", "Send", figbank.UnknownOutcomeError{Detail: err.Error()})
}

// refusalError converts the body of a refusal into an error.
func refusalError(status int, content []byte) error {
	problem := Problem{Title: "Refused", Status: status}
	if err := json.Unmarshal(content, &problem); err != nil {
		problem.Detail = fmt.Sprintf("gateway answered %d", status)
	}
	if problem.Outcome == "Unknown" {
		return figbank.WrapError("operators", "Unknown", figbank.UnknownOutcomeError{Detail: problem.Detail})
	}
	return figbank.WrapError("operators", "Refused", RefusedError{Problem: problem})
}
