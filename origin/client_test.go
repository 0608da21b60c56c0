package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"figbank"
	"figbank/answers"
)

// maxHeld is how many bytes one faulty head may make a host allocate.
const maxHeld = 1 << 20

// serveRaw answers each connection with start, then with repeated without end.
func serveRaw(t *testing.T, start, repeated string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// An origin in trouble sends a head without end. A host fetches several chunks at once, so none of
// the answers may hold much memory.
func TestEndlessHeadOfAnOriginIsRefused(t *testing.T) {
	scenarios := []struct{ name, start, repeated string }{
		{name: "zero bytes", repeated: "\x00"},
		{name: "header line", start: "HTTP/1.1 200 OK\r\nX-A: ", repeated: "a"},
		{name: "header lines", start: "HTTP/1.1 200 OK\r\n", repeated: "X-A: a\r\n"},
		{name: "informational heads", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			client := NewClient(serveRaw(t, s.start, s.repeated))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := client.Manifest(ctx, "d")
			runtime.ReadMemStats(&after)
			if err == nil || ctx.Err() != nil {
				t.Errorf("Manifest() = %v, want an error before the deadline", err)
			}
			if held := after.TotalAlloc - before.TotalAlloc; held > maxHeld {
				t.Errorf("allocated %d bytes, want at most %d", held, maxHeld)
			}
		})
	}
}

// A manifest longer than the limit was cut there, and returned as if it were whole.
func TestTooLongManifestIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, 1<<20)
		for range maxManifest/len(piece) + 1 {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	content, err := NewClient(server.URL).Manifest(context.Background(), "d")
	if !errors.As(err, new(figbank.ProtocolError)) {
		t.Errorf("Manifest() = %d bytes, %v, want ProtocolError", len(content), err)
	}
}

// An origin in trouble named a time to wait of centuries, or one past the largest duration. The host
// would not have asked it again.
func TestRetryAfterIsBounded(t *testing.T) {
	scenarios := []struct {
		text string
		want time.Duration
	}{
		{text: "7", want: 7 * time.Second},
		{text: "9223372036", want: maxRetryAfter},
		{text: "9223372037", want: maxRetryAfter},
		{text: "9223372036854775807", want: maxRetryAfter},
		{text: "Fri, 31 Dec 9999 23:59:59 GMT", want: maxRetryAfter},
		{text: "Thu, 01 Jan 1970 00:00:00 GMT", want: 0},
		{text: "92233720368547758070", want: defaultRetryAfter},
		{text: "-1", want: defaultRetryAfter},
		{text: "", want: defaultRetryAfter},
	}
	for _, s := range scenarios {
		if got := retryAfter(s.text); got != s.want {
			t.Errorf("retryAfter(%q) = %v, want %v", s.text, got, s.want)
		}
	}
}

// An origin's answer has a line whose name holds a blank.
func TestNamelessFieldIsRefused(t *testing.T) {
	client := NewClient(serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc", " "))
	if content, err := client.Manifest(context.Background(), "d"); !errors.As(err, new(answers.FieldNameError)) {
		t.Errorf("Manifest() = %q, %v, want FieldNameError", content, err)
	}
}
