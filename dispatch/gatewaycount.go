package dispatch

import "time"

const (
	// settleTime is how long a gateway that has just started sends nothing to cold
	// upstreams when the log records no number of gateways: it does not know yet how
	// many others share them.
	settleTime = 2 * time.Second
	// decreaseDelay is how long gateways that are no longer listed are still counted.
	// Lists are short for a moment when replicas have restarted together.
	decreaseDelay = 10 * time.Second
)

// gatewayCount tracks by how many gateways the limits of upstreams must be divided. It
// rises at once and falls only after decreaseDelay, so that the gateways together stay
// within the limits while their lists differ.
type gatewayCount struct {
	// count is the number of listed gateways. A lower number takes effect only after
	// decreaseDelay.
	count int
	// firstUpdateAt is the time of the first update.
	firstUpdateAt time.Time
	// recorded is the number that the log records, 0 for none.
	recorded int
	// fewerSince is the time since which fewer gateways than count are listed, zero when
	// that is not the case.
	fewerSince time.Time
}

// update stores how many gateways are listed and how many the log records, and returns
// the number by which to divide.
func (c *gatewayCount) update(now time.Time, listed, recorded int) int {
	c.recorded = recorded
	if c.firstUpdateAt.IsZero() {
		c.firstUpdateAt = now
	}
	switch {
	case listed >= c.count:
		c.count, c.fewerSince = listed, time.Time{}
	case c.fewerSince.IsZero():
		c.fewerSince = now
	case now.Sub(c.fewerSince) > decreaseDelay:
		c.count, c.fewerSince = listed, time.Time{}
	}
	return max(c.count, recorded)
}

// settledAt returns the time from which the count is reliable.
func (c *gatewayCount) settledAt() time.Time {
	if c.recorded > 0 {
		return c.firstUpdateAt
	}
	return c.firstUpdateAt.Add(settleTime)
}
