package transfer

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"figbank"
	"figbank/weights"
)

// pacer bounds the bytes received a second. What was paid for a chunk that a
// busy peer did not send pays for the next one: else every busy peer would cost
// as much of the rate as a chunk.
type pacer struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	unused figbank.Bytes
}

// newPacer returns a pacer; a rate of 0 is no bound.
func newPacer(bytesPerSecond figbank.Bytes) *pacer {
	return &pacer{limiter: rate.NewLimiter(limitOf(bytesPerSecond), int(weights.ChunkSize))}
}

func limitOf(bytesPerSecond figbank.Bytes) rate.Limit {
	if bytesPerSecond > 0 {
		return rate.Limit(bytesPerSecond)
	}
	return rate.Inf
}

// setRate changes the bytes a second; 0 is no bound.
func (p *pacer) setRate(bytesPerSecond figbank.Bytes) {
	if limit := limitOf(bytesPerSecond); limit != p.limiter.Limit() {
		p.limiter.SetLimit(limit)
	}
}

// setBurst bounds the bytes that may arrive at once.
func (p *pacer) setBurst(burst figbank.Bytes) {
	p.limiter.SetBurst(int(burst))
}

// wait returns once so many bytes may be asked for, or with the error of ctx.
func (p *pacer) wait(ctx context.Context, length figbank.Bytes) error {
	due := length - p.takeUnused(length)
	if due == 0 {
		return nil
	}
	if err := p.limiter.WaitN(ctx, int(due)); err != nil {
		return figbank.Fail("transfer", "RateLimit", err)
	}
	return nil
}

// giveBack returns bytes that were waited for and did not come.
func (p *pacer) giveBack(length figbank.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unused = min(p.unused+length, figbank.Bytes(p.limiter.Burst()))
}

func (p *pacer) takeUnused(most figbank.Bytes) figbank.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := min(p.unused, most)
	p.unused -= taken
	return taken
}
