package engine

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"figbank"
)

// The back end answers a long upload at once, with no length, and resets the connection while the upload is still being written.
// If the write learned of the reset, the read found an ordinary end: a part was taken for a complete answer.
func TestResetDuringUploadIsNoEndOfAnAnswer(t *testing.T) {
	const (
		uploadBytes = 6 << 20
		plays       = 20
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	plain := NewPlain("http://" + listener.Addr().String())
	body := []byte(strings.Repeat("u", uploadBytes))
	for i := range plays {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		answer, err := plain.Call(ctx, &figbank.ServiceRequest{ID: "r", Method: "POST", Path: "/", Body: body, Repeatable: i%2 == 0})
		if err == nil {
			var content []byte
			content, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if err == nil {
				t.Errorf("play %d: %q is taken for a complete answer", i, content)
			}
		}
		cancel()
	}
}
