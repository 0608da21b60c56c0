package load

import (
	"math/rand/v2"
	"sync"
	"time"

	"figbank"
)

// turnLifetime is how long a turn, the permission to send one request to a limited upstream,
// can be used. If turns did not expire, many gateways could save them up and use them at the
// same moment.
const turnLifetime = 500 * time.Millisecond

// maxPeriod bounds the time between two turns.
const maxPeriod = time.Hour

// SharedRate is a rate limit for one gateway's requests to an upstream whose rate all
// gateways share, because it is cold or names a limit. The gateway gets one turn in each period, and a turn allows one request.
// Each gateway's first turn begins at a random offset. Therefore the sum over many gateways
// stays near the upstream's rate in each second, even when all of them begin to send at
// once. A SharedRate is safe for concurrent use.
type SharedRate struct {
	mu sync.Mutex
	// next is when the next unused turn begins, zero before the first use of the limit.
	next time.Time
	// phase draws the random offset of the first turn as a share of the period, 0 to 1.
	// When it is nil, rand.Float64 is used; tests set it.
	phase func() float64
}

// Allows reports whether one more request is within the rate perSecond.
func (c *SharedRate) Allows(now time.Time, perSecond figbank.RequestsPerSecond) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.nextTurn(now, period(perSecond)))
}

// Count uses up a turn for one request.
func (c *SharedRate) Count(now time.Time, perSecond figbank.RequestsPerSecond) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = c.nextTurn(now, period(perSecond)).Add(period(perSecond))
}

// nextTurn returns when the next unused turn begins, skipping expired ones. The caller
// holds mu.
func (c *SharedRate) nextTurn(now time.Time, period time.Duration) time.Time {
	if c.next.IsZero() {
		c.next = now.Add(time.Duration(c.drawPhase() * float64(period)))
	}
	if missed := now.Sub(c.next) - turnLifetime; missed >= 0 {
		c.next = c.next.Add((missed/period + 1) * period)
	}
	return c.next
}

// drawPhase draws the random offset of the first turn.
func (c *SharedRate) drawPhase() float64 {
	if c.phase != nil {
		return c.phase()
	}
	return rand.Float64() //nolint:gosec // spreads load, no secret
}

// period returns the time between two turns, maxPeriod at most. Rates come from configurations and
// upstreams and may be of any size.
func period(perSecond figbank.RequestsPerSecond) time.Duration {
	between := float64(time.Second) / float64(perSecond)
	return time.Duration(max(1, min(between, float64(maxPeriod))))
}
