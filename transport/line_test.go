package transport

import (
	"context"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
)

// A line whose stream was lost opens another for the next message.
func TestLineOpensAnewAfterAFailure(t *testing.T) {
	heard := make(chan string, 8)
	pool, address, _ := pair(t, func(_ context.Context, _ figbank.ProcessID, stream *Stream) {
		for {
			message := &schema.LoadReport{}
			if stream.Receive(message) != nil {
				return
			}
			heard <- message.GetFrom()
		}
	})
	line := pool.NewLine(address, kind, time.Second)
	defer line.Close()
	for _, want := range []string{"first", "after a loss"} {
		if err := line.Send(t.Context(), &schema.LoadReport{From: want}); err != nil {
			t.Fatalf("Send(%q) = %v", want, err)
		}
		if got := <-heard; got != want {
			t.Errorf("heard %q, want %q", got, want)
		}
		pool.Drop(address)
		if err := line.Send(t.Context(), &schema.LoadReport{From: "lost"}); err == nil {
			t.Error("Send() over a lost stream = nil, want an error")
		}
	}
}
