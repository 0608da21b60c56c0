package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
)

// serveConnections serves each connection to the returned listener until the test ends.
func serveConnections(t *testing.T, serve func(*net.TCPConn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener
}

// server responds to each request on a connection with the next of the given texts. If the
// text is empty, it closes the connection instead. It also closes the connection after
// unframedResponse.
type server struct {
	listener net.Listener
	conns    atomic.Int64
	requests atomic.Int64
}

func newServer(t *testing.T, answers ...string) *server {
	t.Helper()
	s := &server{}
	s.listener = serveConnections(t, func(conn *net.TCPConn) {
		s.conns.Add(1)
		s.serve(conn, answers)
	})
	return s
}

func (s *server) serve(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = request.Body.Close()
		s.requests.Add(1)
		if answer == "" {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil || answer == unframedResponse {
			return
		}
	}
	_, _ = reader.ReadByte()
}

func (s *server) call() *Call {
	address := s.listener.Addr().String()
	return &Call{Address: figbank.Address(address), Method: http.MethodGet, Target: "/x//y?q=%2f", Host: "h", Header: http.Header{}}
}

func send(t *testing.T, pool *Pool, call *Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Exchange(ctx, call)
	if err != nil {
		return "", err
	}
	content, err := ReadAll(answer, 1<<20)
	return string(content), err
}

const (
	okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	// unframedResponse has no length, so the end of the connection ends its body.
	unframedResponse = "HTTP/1.1 200 OK\r\n\r\nok"
)

func TestExchange(t *testing.T) {
	scenarios := []struct {
		name     string
		answers  []string
		calls    int
		wantLast string
		failLast bool
		conns    int64
		requests int64
	}{
		{name: "a connection is reused", answers: []string{okResponse, okResponse}, calls: 2, wantLast: "ok", conns: 1, requests: 2},
		{name: "a connection is not reused if the upstream closes it", answers: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"}, calls: 2, wantLast: "ok", conns: 2, requests: 2},
		{name: "a connection is not reused after unexpected bytes", answers: []string{okResponse + okResponse}, calls: 2, wantLast: "ok", conns: 2, requests: 2},
		{name: "a body without a length ends with the connection", answers: []string{unframedResponse}, calls: 2, wantLast: "ok", conns: 2, requests: 2},
		{name: "a request is not sent twice after a lost answer", answers: []string{okResponse, ""}, calls: 2, failLast: true, conns: 1, requests: 2},
		{name: "an incomplete body is an error", answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", ""}, calls: 1, failLast: true, conns: 1, requests: 1},
		{name: "informational answers are skipped", answers: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse}, calls: 1, wantLast: "ok", conns: 1, requests: 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			pool := NewPool(clock.System{})
			defer pool.Close()
			server := newServer(t, s.answers...)
			var got string
			var err error
			for range s.calls {
				got, err = send(t, pool, server.call())
				time.Sleep(20 * time.Millisecond)
			}
			if got != s.wantLast && !s.failLast || (err != nil) != s.failLast {
				t.Errorf("last answer = %q, %v, want %q, failed %v", got, err, s.wantLast, s.failLast)
			}
			if s.failLast && errors.As(err, new(figbank.NotRunError)) {
				t.Errorf("error = %v, want an error other than NotRunError", err)
			}
			if server.conns.Load() != s.conns || server.requests.Load() != s.requests {
				t.Errorf("connections, requests = %d, %d, want %d, %d", server.conns.Load(), server.requests.Load(), s.conns, s.requests)
			}
		})
	}
}

func TestExchangeReportsNotRunIfConnectFails(t *testing.T) {
	pool := NewPool(clock.System{})
	_, err := send(t, pool, &Call{Address: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	var notRun figbank.NotRunError
	if !errors.As(err, &notRun) || notRun.Reason != figbank.ReasonUnreachable {
		t.Errorf("Exchange() = %v, want NotRunError for an unreachable upstream", err)
	}
}

func TestRequestHeadIsSentUnchanged(t *testing.T) {
	call := &Call{Method: http.MethodPost, Target: "/a//b/../c?x=%2F", Host: "h", Header: http.Header{"X-A": {"1"}}, Body: []byte("body")}
	got := string(call.head())
	for _, want := range []string{"POST /a//b/../c?x=%2F HTTP/1.1\r\n", "Host: h\r\n", "X-A: 1\r\n", "Content-Length: 4\r\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("head = %q, want it to contain %q", got, want)
		}
	}
}

// TestAbortedRequestResetsConnection guards against a request that runs after it
// was given up. This can happen if a host loses its network while a request to it
// is in flight, the gateway gives the request up, and the network is back a second
// later. After a plain close the request would still be delivered. Only a reset
// discards it.
func TestAbortedRequestResetsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	arrived, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		close(arrived)
		_, err = io.Copy(io.Discard, reader)
		ended <- err
	}()
	pool := NewPool(clock.System{})
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	call := &Call{Address: figbank.Address(listener.Addr().String()), Method: http.MethodGet, Target: "/", Host: "h"}
	if answer, err := pool.Exchange(ctx, call); err == nil {
		_ = answer.Body.Close()
		t.Fatal("Exchange() = nil, want an error")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the connection: got %v, want %v", err, syscall.ECONNRESET)
	}
}
