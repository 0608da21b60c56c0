package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"figbank"
)

// closeWait is how long Waits gives the end of a caller's connection to arrive. A call that the network has
// held up arrives together with it.
const closeWait = 20 * time.Millisecond

type (
	// connKey is the key of a request's connection in its context.
	connKey struct{}

	// caller is the caller of one request.
	caller struct {
		clock   figbank.Clock
		request *http.Request
	}
)

// WithConn is a function for http.Server.ConnContext. Waits needs it to look at the connection.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// NewCaller returns the caller of a request. The body of the request must have been read.
func NewCaller(clock figbank.Clock, request *http.Request) figbank.Caller {
	return caller{clock: clock, request: request}
}

// Waits waits for closeWait, and then returns false if the caller has closed the connection. The end of the
// connection may have arrived long before the request was read, if this process stood still. Whether
// net/http has noticed it by now is left to chance, so Waits looks at the socket.
func (c caller) Waits() bool {
	<-c.clock.After(closeWait)
	if c.request.Context().Err() != nil {
		return false
	}
	tcp, isTCP := c.request.Context().Value(connKey{}).(*net.TCPConn)
	if !isTCP {
		return true
	}
	return !isClosed(tcp)
}

// isClosed reports whether the other end has closed or reset a connection.
func isClosed(tcp *net.TCPConn) bool {
	control, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		var peek [1]byte
		n, _, errno := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && errno == nil || errno != nil && errno != unix.EAGAIN && errno != unix.EINTR
	})
	return err != nil || closed
}
