// Package engine calls the back end on an agent's host over loopback HTTP. Model is the client of
// an engine that loads weights. Plain is the client of a service without weights.
//
// The real engine's interface for orders is not known yet, so Model uses a provisional one. Agents
// use both clients through figbank.Engine. Only this package must change once the real interface is
// known.
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
	"figbank/answers"
	"figbank/schema"

	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// StatusPath is the path of an engine's status.
	StatusPath = "/order/status"
	// LoadPath is the path that accepts orders to load weights.
	LoadPath = "/order/load"
	// HealthPath is the path of the health check of a plain service.
	HealthPath = "/healthz"

	// HeaderIncarnation is the answer header with the back end's incarnation.
	HeaderIncarnation = "X-Incarnation"
	// HeaderManifest is the answer header with the manifest of the weights that produced the answer.
	HeaderManifest = "X-Manifest"
	// HeaderRequestID is the header with the request's id. The back end may repeat it in the
	// answer.
	HeaderRequestID = "X-Request-Id"

	dialTimeout  = 2 * time.Second
	orderTimeout = 10 * time.Second
	// maxOrderAnswer limits the body of an answer on the order interface, in bytes.
	maxOrderAnswer = 1 << 20
	maxIdleConns   = 64
	// maxHeadBytes limits the head of an answer, in bytes. Many answers may arrive at once.
	maxHeadBytes = 64 << 10
)

type (
	// StaleOrderError reports that the engine refused an order because it has seen a higher
	// fencing number. Fencing is the number of the refused order.
	StaleOrderError struct {
		Fencing figbank.CommitIndex
	}

	// StatusError reports an unexpected HTTP status on the order interface.
	StatusError struct {
		Path   string
		Status int
	}

	// orderAnswer is an answer on the order interface, with its body already read.
	orderAnswer struct {
		status int
		header http.Header
		body   []byte
	}

	// client sends HTTP requests to one back end.
	client struct {
		base string
		// keepAlive reuses connections. On a reused connection, net/http may send a request
		// twice. Calls that must not be repeated therefore use noKeepAlive, which opens a new
		// connection for each request.
		keepAlive   *http.Client
		noKeepAlive *http.Client
	}
)

// Error describes the refusal with the fencing number of the refused order.
func (e StaleOrderError) Error() string {
	return fmt.Sprintf("engine refused order %d: it has seen a newer one", e.Fencing)
}

// Error describes the status and path.
func (e StatusError) Error() string {
	return fmt.Sprintf("engine answered %d on %s", e.Status, e.Path)
}

// newClient returns a client of the back end at the URL base.
func newClient(base string) *client {
	return &client{
		base:        strings.TrimSuffix(base, "/"),
		keepAlive:   &http.Client{Transport: newTransport(true), CheckRedirect: returnRedirect},
		noKeepAlive: &http.Client{Transport: newTransport(false), CheckRedirect: returnRedirect},
	}
}

func newTransport(keepAlive bool) http.RoundTripper {
	return answers.NewTransport(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		DisableKeepAlives: !keepAlive,
	})
}

// Call sends one request and returns when the head of the answer has arrived. A NotRunError proves
// that the request was not run. Call returns a ProtocolError if the answer belongs to another
// request.
func (c *client) Call(ctx context.Context, call *figbank.ServiceRequest) (*figbank.ServiceAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, figbank.WrapError("engine", "Request", figbank.InvalidError{Subject: "request", Detail: err.Error()})
	}
	for _, header := range call.Headers {
		request.Header.Add(header.GetName(), string(header.GetValue()))
	}
	request.Header.Set(HeaderRequestID, string(call.ID))
	httpClient := c.noKeepAlive
	if call.Repeatable {
		httpClient = c.keepAlive
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, figbank.WrapError("engine", "Call", err)
	}
	if !figbank.IsFinalStatus(response.StatusCode) {
		_ = response.Body.Close()
		detail := fmt.Sprintf("status %d is no status of an answer", response.StatusCode)
		return nil, figbank.WrapError("engine", "Status", figbank.ProtocolError{Detail: detail})
	}
	if echoed := response.Header.Get(HeaderRequestID); echoed != "" && echoed != string(call.ID) {
		_ = response.Body.Close()
		detail := fmt.Sprintf("answer to request %s arrived for request %s", echoed, call.ID)
		return nil, figbank.WrapError("engine", "CrossedAnswer", figbank.ProtocolError{Detail: detail})
	}
	return &figbank.ServiceAnswer{
		Status: response.StatusCode, Headers: headersOf(response.Header), Body: response.Body,
		Incarnation: figbank.Incarnation(incarnationOf(response.Header)),
		Manifest:    response.Header.Get(HeaderManifest),
	}, nil
}

// order sends one request to the order interface and reads at most maxOrderAnswer bytes of the
// answer's body.
func (c *client) order(ctx context.Context, method, path string, body []byte) (*orderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, figbank.WrapError("engine", "Request", err)
	}
	response, err := c.keepAlive.Do(request)
	if err != nil {
		return nil, figbank.WrapError("engine", "Order", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxOrderAnswer))
	if err != nil {
		return nil, figbank.WrapError("engine", "Order", err)
	}
	return &orderAnswer{status: response.StatusCode, header: response.Header, body: content}, nil
}

// dial connects to the back end. If that fails, the request was not sent, so dial returns a
// NotRunError.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, figbank.NotRunError{Reason: figbank.ReasonUnreachable}
	}
	return conn, nil
}

// returnRedirect makes the HTTP client return redirects to the caller instead of following them.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// incarnationOf returns the incarnation that a back end names, or "" if that is no text: it could not be announced.
func incarnationOf(header http.Header) string {
	if named := header.Get(HeaderIncarnation); figbank.IsName(named) {
		return named
	}
	return ""
}

func headersOf(header http.Header) []*schema.Header {
	var headers []*schema.Header
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &schema.Header{Name: name, Value: []byte(value)})
		}
	}
	return headers
}

// The JSON encoding of the order interface.
var (
	// MarshalOptions writes all fields, under their names in the schema.
	MarshalOptions = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	// UnmarshalOptions ignores unknown fields, which newer engines may send.
	UnmarshalOptions = protojson.UnmarshalOptions{DiscardUnknown: true}
)
