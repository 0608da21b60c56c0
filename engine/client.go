// Package engine talks to the back end beside an agent over loopback HTTP. The
// real engine's order interface is not yet known: Model stands for it behind
// figbank.Engine, so that only this package changes when it is.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// StatusPath is asked for an engine's status.
	StatusPath = "/order/status"
	// LoadPath takes orders to load weights.
	LoadPath = "/order/load"
	// HealthPath is asked of a plain service.
	HealthPath = "/healthz"

	// HeaderIncarnation on an answer tells the back end's incarnation.
	HeaderIncarnation = "X-Incarnation"
	// HeaderManifest on an answer tells the weights that gave it.
	HeaderManifest = "X-Manifest"
	// HeaderRequestID is sent with each call, and echoed on its answer.
	HeaderRequestID = "X-Request-Id"

	dialTimeout    = 2 * time.Second
	orderTimeout   = 10 * time.Second
	maxOrderAnswer = 1 << 20
	maxIdle        = 64
)

type (
	// StaleOrderError says that the engine refused an order because it has seen a
	// higher fencing number.
	StaleOrderError struct {
		Fencing figbank.CommitIndex
	}

	// StatusError is an unexpected HTTP status on the order interface.
	StatusError struct {
		Path   string
		Status int
	}

	// orderAnswer is a back end's answer on the order interface, read to its end.
	orderAnswer struct {
		status int
		header http.Header
		body   []byte
	}

	// client sends HTTP requests to one back end.
	client struct {
		base string
		// kept reuses connections. Go resends some requests on those by itself, so
		// calls that may not be repeated go over fresh ones.
		kept  *http.Client
		fresh *http.Client
	}
)

// Error names the fencing number that was refused.
func (e StaleOrderError) Error() string {
	return fmt.Sprintf("engine refused order %d: it has seen a newer one", e.Fencing)
}

// Error tells the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("engine answered %d on %s", e.Status, e.Path)
}

func newClient(base string) *client {
	kept := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
	fresh := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &client{
		base:  strings.TrimSuffix(base, "/"),
		kept:  &http.Client{Transport: kept, CheckRedirect: keepRedirect},
		fresh: &http.Client{Transport: fresh, CheckRedirect: keepRedirect},
	}
}

// Call runs one request.
func (c *client) Call(ctx context.Context, call *figbank.ServiceRequest) (*figbank.ServiceAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, figbank.Fail("engine", "Request", figbank.InvalidError{Subject: "request", Detail: err.Error()})
	}
	for _, header := range call.Headers {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.Set(HeaderRequestID, string(call.ID))
	sender := c.fresh
	if call.Repeatable {
		sender = c.kept
	}
	response, err := sender.Do(request)
	if err != nil {
		return nil, figbank.Fail("engine", "Call", err)
	}
	if echoed := response.Header.Get(HeaderRequestID); echoed != "" && echoed != string(call.ID) {
		_ = response.Body.Close()
		detail := fmt.Sprintf("answer to request %s arrived for request %s", echoed, call.ID)
		return nil, figbank.Fail("engine", "CrossedAnswer", figbank.ProtocolError{Detail: detail})
	}
	return &figbank.ServiceAnswer{
		Status: response.StatusCode, Headers: headersOf(response.Header), Body: response.Body,
		Incarnation: figbank.Incarnation(response.Header.Get(HeaderIncarnation)),
		Manifest:    response.Header.Get(HeaderManifest),
	}, nil
}

func (c *client) order(ctx context.Context, method, path string, body []byte) (*orderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, figbank.Fail("engine", "Request", err)
	}
	response, err := c.kept.Do(request)
	if err != nil {
		return nil, figbank.Fail("engine", "Order", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxOrderAnswer))
	if err != nil {
		return nil, figbank.Fail("engine", "Order", err)
	}
	return &orderAnswer{status: response.StatusCode, header: response.Header, body: content}, nil
}

// dial turns a failure to connect into proof that the request was not run.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, figbank.NotRunError{Reason: figbank.ReasonUnreachable}
	}
	return conn, nil
}

// keepRedirect passes redirects on to the caller.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func headersOf(header http.Header) []*schema.Header {
	var headers []*schema.Header
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &schema.Header{Name: name, Value: value})
		}
	}
	return headers
}

// Marshal and Unmarshal are the JSON form of the order interface.
var (
	// Marshal writes fields under their own names.
	Marshal = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	// Unmarshal lets newer engines say more than this version knows.
	Unmarshal = protojson.UnmarshalOptions{DiscardUnknown: true}
)
