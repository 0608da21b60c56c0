package transfer

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"figbank"
	"figbank/weights"
)

// pacer limits the bytes received per second. If a busy peer or the origin refuses a chunk, refund
// credits the chunk's bytes to the next chunk. Without that, each refusal would use up as much of
// the rate as a chunk. pacer is safe for concurrent use.
type pacer struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	credit figbank.Bytes
}

// newPacer returns a pacer. A rate of 0 means no limit.
func newPacer(bytesPerSecond figbank.Bytes) *pacer {
	return &pacer{limiter: rate.NewLimiter(limitOf(bytesPerSecond), int(weights.ChunkSize))}
}

func limitOf(bytesPerSecond figbank.Bytes) rate.Limit {
	if bytesPerSecond > 0 {
		return rate.Limit(bytesPerSecond)
	}
	return rate.Inf
}

// setRate changes the limit in bytes per second; 0 means no limit.
func (p *pacer) setRate(bytesPerSecond figbank.Bytes) {
	if limit := limitOf(bytesPerSecond); limit != p.limiter.Limit() {
		p.limiter.SetLimit(limit)
	}
}

// setBurst limits the bytes that may arrive at once. It must be at least the length of
// the largest chunk, since wait fails for longer ones.
func (p *pacer) setBurst(burst figbank.Bytes) {
	p.limiter.SetBurst(int(burst))
}

// wait returns when a chunk of the given length may be requested. It returns an error
// if ctx ends, or is known to end, before that.
func (p *pacer) wait(ctx context.Context, length figbank.Bytes) error {
	due := length - p.takeCredit(length)
	if due == 0 {
		return nil
	}
	if err := p.limiter.WaitN(ctx, int(due)); err != nil {
		return figbank.WrapError("transfer", "RateLimit", err)
	}
	return nil
}

// refund adds the length of a chunk that did not arrive to the credit, so that later calls of wait
// return earlier. The credit is limited to one burst.
func (p *pacer) refund(length figbank.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credit = min(p.credit+length, figbank.Bytes(p.limiter.Burst()))
}

func (p *pacer) takeCredit(most figbank.Bytes) figbank.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := min(p.credit, most)
	p.credit -= taken
	return taken
}
