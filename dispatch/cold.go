package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"
)

// turnOpen is how long a turn stays open; one that is not used by then is gone.
// Saved turns of many gateways would otherwise be used together.
const turnOpen = 500 * time.Millisecond

// coldLimit gives this gateway turns at a cold upstream that all gateways share.
// Each has one turn in a period, from a moment of its own, so that the sum over
// many gateways stays near the upstream's rate in each second, also when all of
// them turn to it at once. It is safe for concurrent use.
type coldLimit struct {
	mu sync.Mutex
	// next is when the next unused turn opens, zero before the first look.
	next time.Time
	// phase draws where in its first period a gateway's turns begin, from 0 to 1.
	phase func() float64
}

// open tells whether one more request is within perSecond.
func (c *coldLimit) open(now time.Time, perSecond float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.turn(now, period(perSecond)))
}

// take counts one request.
func (c *coldLimit) take(now time.Time, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = c.turn(now, period(perSecond)).Add(period(perSecond))
}

// turn returns when the turn opens that is to be used next.
func (c *coldLimit) turn(now time.Time, period time.Duration) time.Time {
	if c.next.IsZero() {
		c.next = now.Add(time.Duration(c.drawPhase() * float64(period)))
	}
	if missed := now.Sub(c.next) - turnOpen; missed >= 0 {
		c.next = c.next.Add((missed/period + 1) * period)
	}
	return c.next
}

func (c *coldLimit) drawPhase() float64 {
	if c.phase != nil {
		return c.phase()
	}
	return rand.Float64() //nolint:gosec // spreads load, no secret
}

func period(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
