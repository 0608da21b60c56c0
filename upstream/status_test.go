package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
)

// rawUpstream answers each request with the same bytes, and counts connections.
type rawUpstream struct {
	address     figbank.Address
	connections atomic.Int64
}

func startRawUpstream(t *testing.T, answer string) *rawUpstream {
	t.Helper()
	u := &rawUpstream{}
	listener := serveConnections(t, func(conn *net.TCPConn) {
		u.connections.Add(1)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	u.address = figbank.Address(listener.Addr().String())
	return u
}

func exchangeOnce(pool *Pool, address figbank.Address, limit time.Duration) (*Answer, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	answer, err := pool.Exchange(ctx, &Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err == nil {
		Discard(answer)
	}
	return answer, time.Since(began), err
}

// An upstream in trouble answers with a status that is none. Such an answer proves nothing of whether the request ran. It must
// neither be passed on nor waited out, and its connection must not be used again.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	const limit = 2 * time.Second
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "199", "600", "700", "777", "999", "2000"} {
		for _, body := range []string{"", "body"} {
			t.Run(fmt.Sprintf("%s, %d bytes", status, len(body)), func(t *testing.T) {
				answer := fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				if status == "199" {
					// An informational head is no odd one. Nothing follows it, and the connection ends.
					answer = "HTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 600 Odd\r\n\r\n"
				}
				u := startRawUpstream(t, answer)
				pool := NewPool(clock.System{})
				defer pool.Close()
				for range 2 {
					got, took, err := exchangeOnce(pool, u.address, limit)
					if err == nil {
						t.Fatalf("the answer with status %d is taken for one", got.Status)
					}
					if !errors.As(err, new(figbank.UnknownOutcomeError)) || errors.As(err, new(figbank.NotRunError)) {
						t.Errorf("error = %v, want an unknown outcome", err)
					}
					if took > limit/2 {
						t.Errorf("it took %v to notice, want at once", took)
					}
				}
				if got := u.connections.Load(); got != 2 {
					t.Errorf("%d connections for two requests, want 2", got)
				}
			})
		}
	}
}

// A status that allows no body comes with one. Its bytes must not be taken for the next answer.
func TestBodyWhereNoneMayBeEndsTheConnection(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			u := startRawUpstream(t, fmt.Sprintf("HTTP/1.1 %d Odd\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", status))
			pool := NewPool(clock.System{})
			defer pool.Close()
			for range 2 {
				got, _, err := exchangeOnce(pool, u.address, time.Second)
				if err != nil || got.Status != status {
					t.Fatalf("answer = %v, %v, want status %d", got, err, status)
				}
			}
			if got := u.connections.Load(); got != 2 {
				t.Errorf("%d connections for two requests, want 2", got)
			}
		})
	}
}

// FuzzReceiveHead checks that whatever an upstream sends, an answer has a status that is one, and fields with names.
func FuzzReceiveHead(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 999 X\r\n\r\n", "HTTP/1.0 +20\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = far.Write(content)
			_ = far.Close()
		}()
		pool := NewPool(clock.System{})
		defer pool.Close()
		c := newConn(pool, "a", near)
		response, err := c.receiveHead(http.MethodGet, nil)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		if !figbank.IsFinalStatus(response.StatusCode) {
			t.Errorf("an answer with status %d is taken for one", response.StatusCode)
		}
		for name := range response.Header {
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == ':' }) {
				t.Errorf("an answer with a field %q is taken for one", name)
			}
		}
	})
}
