package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// A proxy closed its connection to a gateway when an upstream had reset its own, so that an answer without a
// frame looked whole.
func TestProxyPassesAResetOn(t *testing.T) {
	scenarios := []struct {
		name  string
		reset bool
	}{
		{name: "close"},
		{name: "reset", reset: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "answer")
				time.Sleep(50 * time.Millisecond)
				if s.reset {
					reset(conn)
				}
				_ = conn.Close()
			}()
			proxy, err := StartProxy("127.0.0.1:0", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			conn, err := net.Dial("tcp", proxy.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(conn)
			if string(got) != "answer" && !s.reset || (err != nil) != s.reset {
				t.Errorf("read %q, %v, want an error: %t", got, err, s.reset)
			}
		})
	}
}
