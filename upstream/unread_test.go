package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
)

const (
	// maxUnread is how many bytes may have left an upstream that are not read. The kernel reserves
	// twice the receive buffer, and the upstream's own send buffer, which the test makes small, holds some.
	maxUnread = 2*receiveBufferBytes + 64<<10
	// readBefore bytes are read within readTime before reading stops.
	readBefore = 16 << 20
	readTime   = 2 * time.Second
)

// floodServer answers a connection with a body without end, and counts the bytes that it could send.
func floodServer(t *testing.T) (figbank.Address, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan int, 1<<16)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		block := make([]byte, 4<<10)
		for {
			n, err := conn.Write(block)
			if err != nil {
				return
			}
			sent <- n
		}
	}()
	return figbank.Address(listener.Addr().String()), sent
}

// While a slow caller keeps the gateway from reading, an upstream filled the kernel's buffer with
// megabytes, which count as memory of the gateway.
func TestUnreadBytesAreBounded(t *testing.T) {
	address, sent := floodServer(t)
	pool := NewPool(clock.System{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := pool.Exchange(ctx, &Call{Address: address, Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		t.Fatalf("Exchange() = %v, want an answer", err)
	}
	defer func() { _ = answer.Body.Close() }()
	// The kernel grows the buffer of a connection that is read fast.
	began := time.Now()
	if _, err := io.CopyN(io.Discard, answer.Body, readBefore); err != nil {
		t.Fatalf("reading the answer = %v, want nil", err)
	}
	if got := time.Since(began); got > readTime {
		t.Errorf("an answer of %d bytes took %v, want at most %v", readBefore, got, readTime)
	}
	got := unread(sent) - readBefore
	t.Logf("%d bytes were sent and not read", got)
	if got > maxUnread {
		t.Errorf("%d bytes were sent and not read, want at most %d", got, maxUnread)
	}
}

// unread returns the number of bytes that have been sent once no more are.
func unread(sent <-chan int) int {
	total := 0
	for {
		select {
		case n := <-sent:
			total += n
		case <-time.After(500 * time.Millisecond):
			return total
		}
	}
}
