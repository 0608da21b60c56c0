package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
)

// startEarlyUpstream answers the first bytes of each upload, and ends the connection as end does.
func startEarlyUpstream(t *testing.T, answer string, end func(*net.TCPConn)) figbank.Address {
	t.Helper()
	listener := serveConnections(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		// The rest of the upload stays with its sender until it is read.
		_ = conn.SetReadBuffer(64 << 10)
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(conn, answer)
		time.Sleep(2 * time.Millisecond)
		end(conn)
	})
	return figbank.Address(listener.Addr().String())
}

// An upstream answers a long upload at once, and its connection ends while the upload is still being written. An answer without
// a length is complete only if the upstream has closed the connection and takes the upload nevertheless. One with a length is complete
// whatever becomes of the upload.
func TestEarlyAnswerToALongUpload(t *testing.T) {
	const (
		uploadBytes = 6 << 20
		plays       = 20
		unframed    = "HTTP/1.1 200 OK\r\n\r\npart"
		framed      = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	)
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	half := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}
	readOn := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	inside := func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, uploadBytes/2) }
	scenarios := []struct {
		name, answer string
		end          func(*net.TCPConn)
		whole        bool
		// closed is set if the connection is closed before it is reset, which the kernel may report as a broken pipe.
		closed bool
	}{
		{name: "no length, reset", answer: unframed, end: reset},
		{name: "no length, closed and read on", answer: unframed, end: readOn, whole: true},
		{name: "no length, closed and left unread", answer: unframed, end: half, closed: true},
		{name: "no length, read in part, then closed", answer: unframed, end: inside, closed: true},
		{name: "length, reset", answer: framed, end: reset, whole: true},
		{name: "length, closed", answer: framed, end: half, whole: true},
		{name: "length, reset inside", answer: framed[:len(framed)-1], end: reset},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			address := startEarlyUpstream(t, s.answer, s.end)
			pool := NewPool(clock.System{})
			defer pool.Close()
			for range plays {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				answer, err := pool.Exchange(ctx, &Call{
					Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes),
				})
				if err != nil {
					t.Fatalf("Exchange() = %v, want an answer", err)
				}
				content, err := ReadAll(answer, 1<<10)
				if s.whole && (err != nil || string(content) != "part") {
					t.Errorf("ReadAll() = %q, %v, want a whole answer", content, err)
				}
				var incomplete figbank.IncompleteAnswerError
				cut := errors.As(err, &incomplete)
				told := strings.Contains(incomplete.Detail, "reset") || s.closed && strings.Contains(incomplete.Detail, "broken pipe")
				if !s.whole && (!cut || !told && answer.Unframed) {
					t.Errorf("ReadAll() = %q, %v, want an answer that was reset", content, err)
				}
				if kept := pool.takeIdle(address); kept != nil {
					t.Error("the connection is kept for another request")
				}
			}
		})
	}
}
