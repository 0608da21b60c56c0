package answers

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// transport is the RoundTripper that NewTransport returns.
type transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests by base and reads their answers from connections of type Conn. It returns
// a FieldNameError for an answer whose head has a line without a name, unless the connection is encrypted. base must not have
// been used, and changes.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &transport{base: base}
}

// RoundTrip sends a request and returns when the head of the answer has arrived.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	// used is the connection of the last try: net/http repeats some requests by itself.
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, plain := info.Conn.(*Conn)
			if plain {
				conn.ExpectHead()
				conn.BeginRequest()
			}
			used.Store(conn)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if conn := used.Load(); conn != nil {
				conn.EndRequest()
			}
		},
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if conn := used.Load(); err != nil && conn != nil && conn.CheckHead() != nil {
		return nil, conn.CheckHead()
	}
	return response, err
}
