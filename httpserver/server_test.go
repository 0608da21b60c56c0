package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// startServer serves under limits that the test may replace.
func startServer(t *testing.T, limits Limits) (string, *atomic.Pointer[Limits], *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inForce := &atomic.Pointer[Limits]{}
	inForce.Store(&limits)
	server := New(figbank.Common{Log: zap.NewNop(), Clock: clock.System{}}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	}), func() Limits { return *inForce.Load() })
	go server.Serve(listener)
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return listener.Addr().String(), inForce, server
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

// status returns the status of the next answer, 0 if the connection ends before it.
func status(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func TestLimits(t *testing.T) {
	const short, long = 150 * time.Millisecond, time.Minute
	limits := Limits{HeadBytes: 8 << 10, HeadTime: long, IdleTime: long}
	scenarios := []struct {
		name   string
		change func(*Limits)
		sent   []string
		want   []int
	}{
		{name: "within the limits", sent: []string{request, request}, want: []int{200, 200}},
		{name: "head too long", sent: []string{"GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 16<<10) + "\r\n\r\n"}, want: []int{431, 0}},
		{name: "head too slow", change: func(l *Limits) { l.HeadTime = short }, sent: []string{"GET / HTTP/1.1\r\nHost:"}, want: []int{408, 0}},
		{name: "second head too slow", change: func(l *Limits) { l.HeadTime = short }, sent: []string{request, "GET / HT"}, want: []int{200, 408, 0}},
		{name: "nothing sent", change: func(l *Limits) { l.HeadTime = short }, want: []int{0}},
		{name: "idle", change: func(l *Limits) { l.IdleTime = short }, sent: []string{request}, want: []int{200, 0}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			changed := limits
			if s.change != nil {
				s.change(&changed)
			}
			address, _, _ := startServer(t, changed)
			c, reader := dial(t, address)
			for i, want := range s.want {
				if i < len(s.sent) {
					_, _ = io.WriteString(c, s.sent[i])
				}
				if got := status(reader); got != want {
					t.Errorf("status of answer %d = %d, want %d", i+1, got, want)
				}
			}
		})
	}
}

// A caller's head without end must neither fill the memory nor keep the connection.
func TestEndlessHeadIsRefused(t *testing.T) {
	address, _, _ := startServer(t, Limits{HeadBytes: 8 << 10, HeadTime: time.Minute})
	c, reader := dial(t, address)
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-A: ")
		for {
			if _, err := c.Write(make([]byte, 1<<10)); err != nil {
				return
			}
		}
	}()
	if got, refused := status(reader), http.StatusRequestHeaderFieldsTooLarge; got != refused && got != 0 && got != http.StatusBadRequest {
		t.Errorf("status = %d, want %d or a closed connection", got, refused)
	}
}

func TestChangedLimitsApplyWithoutRestart(t *testing.T) {
	address, inForce, server := startServer(t, Limits{HeadBytes: 8 << 10, IdleTime: time.Minute})
	kept, keptReader := dial(t, address)
	_, _ = io.WriteString(kept, request)
	if got := status(keptReader); got != http.StatusOK {
		t.Fatalf("status = %d, want 200", got)
	}
	inForce.Store(&Limits{HeadBytes: 32 << 10, IdleTime: time.Minute})
	_, _ = io.WriteString(kept, request)
	for i, want := range []int{http.StatusOK, 0} {
		if got := status(keptReader); got != want {
			t.Errorf("status of answer %d on the kept connection = %d, want %d", i+1, got, want)
		}
	}
	c, reader := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("a", 16<<10)+"\r\n\r\n")
	if got := status(reader); got != http.StatusOK {
		t.Errorf("status of a head within the new limit = %d, want 200", got)
	}
	// A connection that is not idle goes on.
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(50 * time.Millisecond)
	inForce.Store(&Limits{HeadBytes: figbank.Bytes(16 << 10)})
	_, _ = dial(t, address)
	time.Sleep(50 * time.Millisecond)
	server.mu.Lock()
	defer server.mu.Unlock()
	if got, want := len(server.older), 1; got != want {
		t.Errorf("servers of older limits = %d, want %d, since the first one's connections have ended", got, want)
	}
}

// A caller keeps a connection from before the limits grew, idle or not. Its first head that only the new limits allow was refused.
func TestKeptConnectionsDoNotStayUnderOldLimits(t *testing.T) {
	for _, busy := range []bool{false, true} {
		address, inForce, _ := startServer(t, Limits{HeadBytes: 8 << 10, IdleTime: time.Minute})
		kept, reader := dial(t, address)
		_, _ = io.WriteString(kept, request)
		if got := status(reader); got != http.StatusOK {
			t.Fatalf("status = %d, want 200", got)
		}
		inForce.Store(&Limits{HeadBytes: 32 << 10, IdleTime: time.Minute})
		if busy {
			_, _ = io.WriteString(kept, request)
			if got := status(reader); got != http.StatusOK {
				t.Errorf("status of the first answer after the change = %d, want 200", got)
			}
		}
		_ = kept.SetReadDeadline(time.Now().Add(2 * limitsInterval))
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("busy %t: the connection goes on (%v), want it to end within %v", busy, err, 2*limitsInterval)
		}
	}
}

// failingListener fails to accept for the first few times, as it does while the process has no
// descriptors left.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return f.Listener.Accept()
}

// A process that has run out of descriptors must accept callers again once it has some.
func TestServerGoesOnAfterFailedAccepts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	common := figbank.Common{Log: zap.NewNop(), Clock: clock.System{}}
	server := New(common, http.NotFoundHandler(), func() Limits { return Limits{} })
	go server.Serve(failing)
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	c, reader := dial(t, listener.Addr().String())
	_, _ = io.WriteString(c, request)
	if got := status(reader); got != http.StatusNotFound {
		t.Errorf("status = %d, want %d", got, http.StatusNotFound)
	}
}
