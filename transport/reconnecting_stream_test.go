package transport

import (
	"context"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
)

// After a failure the next message is sent on a new stream.
func TestStreamIsReopenedAfterFailure(t *testing.T) {
	received := make(chan string, 8)
	pool, address, _ := newPair(t, func(_ context.Context, _ figbank.ProcessID, stream *Stream) {
		for {
			message := &schema.LoadReport{}
			if stream.Receive(message) != nil {
				return
			}
			received <- message.GetFrom()
		}
	})
	reopening := pool.NewReconnectingStream(address, kind, time.Second)
	defer reopening.Close()
	for _, want := range []string{"first", "after a loss"} {
		if err := reopening.Send(t.Context(), &schema.LoadReport{From: want}); err != nil {
			t.Fatalf("Send(%q) = %v", want, err)
		}
		if got := <-received; got != want {
			t.Errorf("received %q, want %q", got, want)
		}
		pool.Drop(address, kind)
		if err := reopening.Send(t.Context(), &schema.LoadReport{From: "lost"}); err == nil {
			t.Error("Send() on a failed stream = nil, want an error")
		}
	}
}
