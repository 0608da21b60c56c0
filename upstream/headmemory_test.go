package upstream

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"figbank"
	"figbank/clock"
	"figbank/memory"
)

// A head for which no memory was left was taken for a lost connection: its upstream was paused and its
// request suspected of crashing upstreams.
func TestHeadWithoutMemoryIsNoLostConnection(t *testing.T) {
	address, _ := endlessServer(t, "HTTP/1.1 200 OK\r\n", "A: b\r\n")
	pool := NewPool(clock.System{}, WithMemory(memory.NewBudget(16)))
	defer pool.Close()
	_, err := pool.Exchange(context.Background(), &Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if !errors.As(err, new(memory.FullError)) || !errors.As(err, new(figbank.UnknownOutcomeError)) {
		t.Errorf("Exchange() = %v, want FullError and UnknownOutcomeError", err)
	}
}
