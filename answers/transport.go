package answers

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns a transport that sends requests by base, and reads their answers from connections of type Conn. base
// must not have been used, and changes.
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
		return WatchFailures(conn), nil
	}
	return base
}
