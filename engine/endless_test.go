package engine

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
)

// maxHeld is how many bytes one faulty answer may make an agent allocate.
const maxHeld = 1 << 20

// endlessBackEnd answers each connection with start, then with repeated without end if it is not
// empty.
func endlessBackEnd(t *testing.T, start, repeated string) string {
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
			go writeWithoutEnd(conn, start, repeated)
		}
	}()
	return "http://" + listener.Addr().String()
}

func writeWithoutEnd(conn net.Conn, start, repeated string) {
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 4<<10))
	_, err := io.WriteString(conn, start)
	if repeated == "" {
		return
	}
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	for err == nil {
		_, err = conn.Write(block)
	}
}

// An engine in trouble sends a head without end. Each call of an agent may meet one at the same
// time, so none may hold much memory.
func TestEndlessHeadOfAnEngineIsRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	scenarios := []struct{ name, start, repeated string }{
		{name: "zero bytes", repeated: "\x00"},
		{name: "text without lines", repeated: "no answer "},
		{name: "status line", start: "HTTP/1.1 200 ", repeated: "O"},
		{name: "header line", start: ok + "X-A: ", repeated: "a"},
		{name: "header lines", start: ok, repeated: "X-A: a\r\n"},
		{name: "informational heads", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "informational header", start: "HTTP/1.1 103 Early Hints\r\n", repeated: "Link: a\r\n"},
	}
	for _, repeatable := range []bool{false, true} {
		for _, s := range scenarios {
			t.Run(s.name, func(t *testing.T) {
				plain := NewPlain(endlessBackEnd(t, s.start, s.repeated))
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				answer, err := plain.Call(ctx, &figbank.ServiceRequest{ID: "r", Method: "POST", Path: "/", Repeatable: repeatable})
				runtime.ReadMemStats(&after)
				if err == nil {
					_ = answer.Body.Close()
					t.Fatalf("Call() = status %d, want an error", answer.Status)
				}
				if errors.As(err, new(figbank.NotRunError)) || ctx.Err() != nil {
					t.Errorf("Call() = %v, want an unknown outcome before the deadline", err)
				}
				if held := after.TotalAlloc - before.TotalAlloc; held > maxHeld {
					t.Errorf("allocated %d bytes, want at most %d", held, maxHeld)
				}
			})
		}
	}
}
