package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"figbank"
	"figbank/clock"
)

// maxHeld is how many bytes one faulty answer may make a gateway allocate.
const maxHeld = 1 << 20

// endlessServer answers each connection with start, then with repeated without end, until the
// client closes. ended receives the number of bytes that were written.
func endlessServer(t *testing.T, start, repeated string) (figbank.Address, <-chan int) {
	t.Helper()
	ended := make(chan int, 8)
	listener := serveConnections(t, func(conn *net.TCPConn) { writeWithoutEnd(conn, start, repeated, ended) })
	return figbank.Address(listener.Addr().String()), ended
}

func writeWithoutEnd(conn net.Conn, start, repeated string, ended chan<- int) {
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, start)
	// The block is converted once, since the test counts all allocations of the process.
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	total := 0
	for {
		n, err := conn.Write(block)
		total += n
		if err != nil {
			ended <- total
			return
		}
	}
}

// allocated returns how many bytes the process allocates while act runs.
func allocated(act func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	act()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func awaitClosed(t *testing.T, ended <-chan int) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the connection was not closed")
	}
}

// awaitUnusable waits until a connection that was kept can't be used again. The bytes behind an answer may
// arrive a moment after it.
func awaitUnusable(t *testing.T, c *conn) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); c.reusable(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Error("the connection was kept for reuse")
			return
		}
	}
}

// An upstream in trouble sends bytes without end that are no answer. The gateway must
// notice soon, hold little memory, and close the connection.
func TestEndlessHeadIsRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	scenarios := []struct {
		name, start, repeated string
	}{
		{name: "zero bytes", repeated: "\x00"},
		{name: "text without lines", repeated: "no answer "},
		{name: "empty lines", repeated: "\r\n"},
		{name: "status line", start: "HTTP/1.1 200 ", repeated: "O"},
		{name: "header line", start: ok + "X-A: ", repeated: "a"},
		{name: "header lines", start: ok, repeated: "X-A: a\r\n"},
		{name: "continued header lines", start: ok + "X-A: a\r\n", repeated: " a\r\n"},
		{name: "informational heads", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "informational header", start: "HTTP/1.1 103 Early Hints\r\n", repeated: "Link: a\r\n"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			address, ended := endlessServer(t, s.start, s.repeated)
			pool := NewPool(clock.System{})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			var answer *Answer
			var err error
			held := allocated(func() {
				answer, err = pool.Exchange(ctx, &Call{Address: address, Method: "GET", Target: "/", Host: "h"})
			})
			if err == nil {
				_ = answer.Body.Close()
				t.Fatalf("Exchange() = an answer with status %d, want an error", answer.Status)
			}
			if !errors.As(err, new(figbank.UnknownOutcomeError)) || ctx.Err() != nil {
				t.Errorf("Exchange() = %v, want UnknownOutcomeError before the deadline", err)
			}
			if held > maxHeld {
				t.Errorf("allocated %d bytes, want at most %d", held, maxHeld)
			}
			awaitClosed(t, ended)
			if c := pool.takeIdle(address); c != nil {
				t.Error("the connection was kept for reuse")
			}
		})
	}
}

// Bytes without end behind a whole answer, or in place of an answer's body, must not be read to
// an end that does not come, and their connection must not serve another request.
func TestEndlessBodyIsNotDiscardedToItsEnd(t *testing.T) {
	scenarios := []struct {
		name, start, repeated string
	}{
		{name: "chunks", start: "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "4\r\nbusy\r\n"},
		{name: "length of the chunk", start: "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "0"},
		{name: "chunk extension", start: "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n4;", repeated: "a"},
		{name: "trailer", start: "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", repeated: "a"},
		{name: "body that ends with the connection", start: "HTTP/1.1 503 Busy\r\n\r\n", repeated: "busy"},
		{name: "bytes behind the answer", start: "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", repeated: "more"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			address, ended := endlessServer(t, s.start, s.repeated)
			pool := NewPool(clock.System{})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			held := allocated(func() {
				answer, err := pool.Exchange(ctx, &Call{Address: address, Method: "GET", Target: "/", Host: "h"})
				if err != nil {
					t.Fatalf("Exchange() = %v, want an answer", err)
				}
				Discard(answer)
			})
			if held > maxHeld {
				t.Errorf("allocated %d bytes, want at most %d", held, maxHeld)
			}
			if c := pool.takeIdle(address); c != nil {
				awaitUnusable(t, c)
				c.close()
			}
			awaitClosed(t, ended)
		})
	}
}

// An upstream refuses a request and never sends the body of its refusal. The request must go on
// to another upstream at once.
func TestDiscardDoesNotWaitForAMissingBody(t *testing.T) {
	server := newServer(t, "HTTP/1.1 503 Busy\r\nContent-Length: 100\r\n\r\n")
	pool := NewPool(clock.System{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	answer, err := pool.Exchange(ctx, server.call())
	if err != nil {
		t.Fatalf("Exchange() = %v, want an answer", err)
	}
	began := time.Now()
	Discard(answer)
	if got, want := time.Since(began), time.Second; got > want {
		t.Errorf("Discard() took %v, want at most %v", got, want)
	}
}
