package agent

import (
	"context"
	"sync"

	"figbank"
)

// credit is the flow-control window of an answer: the number of bytes that may still be sent
// to the gateway. One goroutine may add credit while another spends it.
type credit struct {
	mu    sync.Mutex
	bytes int64
	added chan struct{}
}

func newCredit(initial int64) *credit {
	return &credit{bytes: initial, added: make(chan struct{}, 1)}
}

func (c *credit) add(bytes int64) {
	c.mu.Lock()
	c.bytes += bytes
	c.mu.Unlock()
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// await waits until there is credit and returns how many bytes may be sent, but at most limit.
// It returns an error if ctx ends first.
func (c *credit) await(ctx context.Context, limit int64) (int64, error) {
	for {
		c.mu.Lock()
		available := min(c.bytes, limit)
		c.mu.Unlock()
		if available > 0 {
			return available, nil
		}
		select {
		case <-c.added:
		case <-ctx.Done():
			return 0, figbank.WrapError("agent", "Canceled", ctx.Err())
		}
	}
}

func (c *credit) spend(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes -= bytes
}
