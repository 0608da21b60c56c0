package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"figbank/clock"
)

const heldUpCall = "DELETE /evacuations/z HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// A process stands still while a call lies in its socket, and its caller gives up and gives newer orders
// elsewhere. When the process runs again, it must see that nobody waits before it carries the call out.
func TestCallerOfHeldUpCall(t *testing.T) {
	scenarios := []struct {
		name string
		// leave is what the caller does before the call is read.
		leave func(conn *net.TCPConn)
		want  bool
		// mayBeLost is set if the call may be discarded before it is read.
		mayBeLost bool
	}{
		{name: "waits", leave: func(*net.TCPConn) {}, want: true},
		{name: "closes", leave: func(conn *net.TCPConn) { _ = conn.Close() }},
		{name: "resets", leave: func(conn *net.TCPConn) { _, _ = conn.SetLinger(0), conn.Close() }, mayBeLost: true},
		{name: "closes right after the call has arrived", leave: func(conn *net.TCPConn) {
			go func() {
				<-clock.System{}.After(closeWait / 2)
				_ = conn.Close()
			}()
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			timeout := 10 * time.Second
			if s.mayBeLost {
				timeout = time.Second
			}
			got := make(chan bool, 1)
			server := &http.Server{ConnContext: WithConn, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				got <- NewCaller(clock.System{}, r).Waits()
			})}
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, heldUpCall); err != nil {
				t.Fatal(err)
			}
			s.leave(conn.(*net.TCPConn))
			go func() { _ = server.Serve(listener) }()
			select {
			case waits := <-got:
				if waits != s.want {
					t.Errorf("Waits() = %t, want %t", waits, s.want)
				}
			case <-time.After(timeout):
				if !s.mayBeLost {
					t.Errorf("the call was not served within %v", timeout)
				}
			}
			if s.want {
				if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
					t.Errorf("the caller that waits gets %v", err)
				}
			}
		})
	}
}
