package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Callers send a byte of their bodies now and then. What they hold of the memory for requests must come
// back, or a few of them keep all others out for as long as they like.
func TestSlowBodiesDoNotKeepTheMemory(t *testing.T) {
	const slowCallers = 4
	h := newHarness(t, func(s *Settings) { s.MaxBufferedBytes = slowCallers * (40 << 10) })
	h.declare(plain(true))
	_, service := newBackend(t, answerOK)
	h.addAgent(service, 8)
	for range slowCallers {
		conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			_, err := fmt.Fprintf(conn, "POST /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 1000000\r\n\r\n%s",
				callerKey, strings.Repeat("x", 8<<10))
			for err == nil {
				time.Sleep(20 * time.Millisecond)
				_, err = conn.Write([]byte("x"))
			}
		}()
	}
	h.waitFor("the memory to be taken", func() bool { return int64(h.gateway.memory.Used()) >= slowCallers*(40<<10)-(8<<10) })
	h.waitFor("the memory to come back", func() bool { return int64(h.gateway.memory.Used()) == 0 })
	if got := h.send(http.MethodPost, "/services/s/x", "", strings.Repeat("x", 16<<10)); got.status != http.StatusOK {
		t.Errorf("answer beside slow callers = %d, want 200", got.status)
	}
}

// A caller with a slow link sends a long body without a pause. It must be served.
func TestLongBodyOverASlowLinkIsServed(t *testing.T) {
	const pieces, pieceBytes = 14, 8 << 10
	h := newHarness(t, nil)
	h.declare(plain(true))
	_, service := newBackend(t, answerOK)
	h.addAgent(service, 8)
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", callerKey, pieces*pieceBytes)
	for range pieces {
		time.Sleep(500 * time.Millisecond)
		if _, err := conn.Write(make([]byte, pieceBytes)); err != nil {
			t.Fatal(err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("answer to a long body = %d, want 200", response.StatusCode)
	}
}

// A caller whose body came too slowly was told that the service is not available and the caller gone, and to
// send the same again.
func TestSlowBodyIsNamedAsTheReason(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(true))
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nx", callerKey)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	outcome := response.Header.Get(headerOutcome)
	if response.StatusCode != http.StatusRequestTimeout || outcome != outcomeNotRun {
		t.Errorf("answer to a slow body = %d %s, want 408 %s", response.StatusCode, outcome, outcomeNotRun)
	}
}

// A request is refused for another reason than its body, of which a part never comes. The refusal waited for it for ever.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(true))
	scenarios := []struct {
		name, header string
		want         int
	}{
		{name: "unknown key", header: "Authorization: Bearer other", want: http.StatusUnauthorized},
		{name: "idempotency key too long", header: "Authorization: Bearer " + callerKey + "\r\nIdempotency-Key: " + strings.Repeat("k", maxKeyLength+1), want: http.StatusBadRequest},
		{name: "body too long", header: "Authorization: Bearer " + callerKey + "\r\nX-Long: yes", want: http.StatusRequestEntityTooLarge},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			length := 100
			if s.want == http.StatusRequestEntityTooLarge {
				length = 2 << 20
			}
			conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /services/s/x HTTP/1.1\r\nHost: h\r\n%s\r\nContent-Length: %d\r\n\r\nx", s.header, length)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer within 2 s: %v", err)
			}
			defer response.Body.Close()
			if response.StatusCode != s.want {
				t.Errorf("status = %d, want %d", response.StatusCode, s.want)
			}
		})
	}
}
