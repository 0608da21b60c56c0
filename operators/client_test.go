package operators

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
)

// repeat writes text until there are at least that many bytes.
func repeat(w io.Writer, text string, length int) {
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	for written := 0; written < length; written += len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// A server that is no gateway sends a head without end, or few bytes that unpack to many. The client
// must not keep them.
func TestEndlessAnswerOfAGatewayIsRefused(t *testing.T) {
	const sent, maxHeld = 64 << 20, 4 << 20
	var packed bytes.Buffer
	packer := gzip.NewWriter(&packed)
	repeat(packer, "{}  ", sent)
	_ = packer.Close()
	scenarios := []struct {
		name   string
		handle http.HandlerFunc
	}{
		{name: "head", handle: func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			repeat(conn, "X-A: a\r\n", sent)
		}},
		{name: "body in gzip", handle: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(packed.Bytes())
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(s.handle)
			defer server.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			status, err := NewClient(server.Listener.Addr().String(), "key").Status(context.Background())
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Errorf("Status() = %v, want an error", status)
			}
			if held := after.TotalAlloc - before.TotalAlloc; held > maxHeld {
				t.Errorf("allocated %d bytes, want at most %d", held, maxHeld)
			}
		})
	}
}
