package transport

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
)

// failingListener fails once before each connection.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed = !l.failed; l.failed {
		return nil, syscall.ENETDOWN
	}
	return l.Listener.Accept()
}

// A process whose network failed for a moment accepted no sessions any more, while those that it had went on.
func TestServerAcceptsAfterAnErrorThatPasses(t *testing.T) {
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(common("server"), &failingListener{Listener: accepting}, Handlers{kind: echo})
	defer server.Close()
	for range 2 {
		pool := NewPool(common("client"))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		answer := &schema.InspectAnswer{}
		_, err := pool.Call(ctx, figbank.Address(accepting.Addr().String()), kind, &schema.InspectRequest{}, answer)
		cancel()
		pool.Close()
		if err != nil || answer.GetProcess() != "client" {
			t.Errorf("Call() = %v, %q, want the answer to client", err, answer.GetProcess())
		}
	}
}
