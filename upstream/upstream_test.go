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

// server answers each request on a connection with the next of the given texts;
// an empty one closes the connection.
type server struct {
	listener net.Listener
	conns    atomic.Int64
	requests atomic.Int64
}

func newServer(t *testing.T, answers ...string) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, answers)
		}
	}()
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
		if _, err := conn.Write([]byte(answer)); err != nil || answer == unframed {
			return
		}
	}
	_, _ = reader.ReadByte()
}

func (s *server) call() *Call {
	address := s.listener.Addr().String()
	return &Call{Address: figbank.Address(address), Method: http.MethodGet, Target: "/x//y?q=%2f", Host: "h", Header: http.Header{}}
}

func ask(t *testing.T, pool *Pool, call *Call) (string, error) {
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
	sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	// unframed is followed by the end of its connection.
	unframed = "HTTP/1.1 200 OK\r\n\r\nok"
)

func TestExchange(t *testing.T) {
	scenarios := []struct {
		name     string
		answers  []string
		asks     int
		wantLast string
		failLast bool
		conns    int64
		requests int64
	}{
		{name: "a connection is used again", answers: []string{sound, sound}, asks: 2, wantLast: "ok", conns: 1, requests: 2},
		{name: "not when the upstream closes it", answers: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"}, asks: 2, wantLast: "ok", conns: 2, requests: 2},
		{name: "not when bytes follow that nobody asked for", answers: []string{sound + sound}, asks: 2, wantLast: "ok", conns: 2, requests: 2},
		{name: "a body without a length ends with the connection", answers: []string{unframed}, asks: 2, wantLast: "ok", conns: 2, requests: 2},
		{name: "nothing is sent twice after a lost answer", answers: []string{sound, ""}, asks: 2, failLast: true, conns: 1, requests: 2},
		{name: "a body that breaks off fails", answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", ""}, asks: 1, failLast: true, conns: 1, requests: 1},
		{name: "informational answers are passed over", answers: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + sound}, asks: 1, wantLast: "ok", conns: 1, requests: 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			pool := NewPool(clock.System{})
			defer pool.Close()
			server := newServer(t, s.answers...)
			var got string
			var err error
			for range s.asks {
				got, err = ask(t, pool, server.call())
				time.Sleep(20 * time.Millisecond)
			}
			if got != s.wantLast && !s.failLast || (err != nil) != s.failLast {
				t.Errorf("last answer = %q, %v, want %q, failed %v", got, err, s.wantLast, s.failLast)
			}
			if s.failLast && errors.As(err, new(figbank.NotRunError)) {
				t.Errorf("error = %v, want none that says not run", err)
			}
			if server.conns.Load() != s.conns || server.requests.Load() != s.requests {
				t.Errorf("connections, requests = %d, %d, want %d, %d", server.conns.Load(), server.requests.Load(), s.conns, s.requests)
			}
		})
	}
}

func TestExchangeThatCannotConnectHasNotRun(t *testing.T) {
	pool := NewPool(clock.System{})
	_, err := ask(t, pool, &Call{Address: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	var notRun figbank.NotRunError
	if !errors.As(err, &notRun) || notRun.Reason != figbank.ReasonUnreachable {
		t.Errorf("Exchange() = %v, want NotRunError for an unreachable upstream", err)
	}
}

func TestRequestLineAndBodyStayAsTheyAre(t *testing.T) {
	call := &Call{Method: http.MethodPost, Target: "/a//b/../c?x=%2F", Host: "h", Header: http.Header{"X-A": {"1"}}, Body: []byte("body")}
	got := string(call.head())
	for _, want := range []string{"POST /a//b/../c?x=%2F HTTP/1.1\r\n", "Host: h\r\n", "X-A: 1\r\n", "Content-Length: 4\r\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("head = %q, want it to contain %q", got, want)
		}
	}
}

// A host is cut off while a request to it is on its way; the gateway takes the
// request back, and the cut ends a second later. Only a reset makes the network
// forget what it holds, so that the request does not run after all.
func TestGivenUpRequestIsResetNotClosed(t *testing.T) {
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
	ctx, giveUp := context.WithCancel(context.Background())
	go func() {
		<-arrived
		giveUp()
	}()
	call := &Call{Address: figbank.Address(listener.Addr().String()), Method: http.MethodGet, Target: "/", Host: "h"}
	if answer, err := pool.Exchange(ctx, call); err == nil {
		_ = answer.Body.Close()
		t.Fatal("Exchange() = none, want an error")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the connection: got %v, want %v", err, syscall.ECONNRESET)
	}
}
