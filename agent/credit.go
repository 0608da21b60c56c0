package agent

import (
	"context"
	"sync"

	"figbank"
)

// credit is how many answer bytes may still be sent to the gateway. It is safe
// for concurrent use by one taker and one giver.
type credit struct {
	mu    sync.Mutex
	bytes int64
	given chan struct{}
}

func newCredit(initial int64) *credit {
	return &credit{bytes: initial, given: make(chan struct{}, 1)}
}

func (c *credit) give(bytes int64) {
	c.mu.Lock()
	c.bytes += bytes
	c.mu.Unlock()
	select {
	case c.given <- struct{}{}:
	default:
	}
}

// await returns how many bytes may be sent, at most most, once any may.
func (c *credit) await(ctx context.Context, most int64) (int64, error) {
	for {
		c.mu.Lock()
		available := min(c.bytes, most)
		c.mu.Unlock()
		if available > 0 {
			return available, nil
		}
		select {
		case <-c.given:
		case <-ctx.Done():
			return 0, figbank.Fail("agent", "Canceled", ctx.Err())
		}
	}
}

func (c *credit) take(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes -= bytes
}
