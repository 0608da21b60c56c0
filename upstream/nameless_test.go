package upstream

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"figbank"
	"figbank/answers"
	"figbank/clock"
)

// The head of an answer has a line without a name. The request may have run, and the connection was not lost. The log must show
// the line.
func TestNamelessFieldIsNoLostConnection(t *testing.T) {
	server := newServer(t, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok")
	pool := NewPool(clock.System{})
	defer pool.Close()
	call := server.call()
	call.Method, call.Body = http.MethodPost, []byte("body")
	_, err := pool.Exchange(context.Background(), call)
	if !errors.As(err, new(answers.FieldNameError)) || !errors.As(err, new(figbank.UnknownOutcomeError)) {
		t.Fatalf("Exchange() = %v, want FieldNameError and UnknownOutcomeError", err)
	}
	if text := err.Error(); !strings.Contains(text, `"Content-Length "`) || strings.Contains(text, "lost") {
		t.Errorf("error = %q, want one that quotes the line, and no lost connection", text)
	}
	if kept := pool.takeIdle(call.Address); kept != nil {
		t.Error("the connection is kept for another request")
	}
}
