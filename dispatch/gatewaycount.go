package dispatch

import "time"

const (
	// settleTime is how long a gateway that has just started sends nothing to cold
	// upstreams when the log records no number of gateways: it does not know yet how
	// many others share them.
	settleTime = 2 * time.Second
	// shortListHold is how long gateways that are no longer listed are still counted.
	// Lists are short for a moment when replicas have restarted together.
	shortListHold = 10 * time.Second
)

// gatewayCount tracks by how many gateways the limits of upstreams must be divided. It
// rises at once and falls only after shortListHold, so that the gateways together stay
// within the limits while their lists differ.
type gatewayCount struct {
	// count is the number of listed gateways. A lower number takes effect only after
	// shortListHold.
	count int
	// firstAt is the time of the first update.
	firstAt time.Time
	// recorded is the number that the log records, 0 for none.
	recorded int
	// shortSince is the time since which fewer gateways than count are listed, zero when
	// that is not the case.
	shortSince time.Time
}

// update stores how many gateways are listed and how many the log records, and returns
// the number by which to divide.
func (c *gatewayCount) update(now time.Time, listed, recorded int) int {
	c.recorded = recorded
	if c.firstAt.IsZero() {
		c.firstAt = now
	}
	switch {
	case listed >= c.count:
		c.count, c.shortSince = listed, time.Time{}
	case c.shortSince.IsZero():
		c.shortSince = now
	case now.Sub(c.shortSince) > shortListHold:
		c.count, c.shortSince = listed, time.Time{}
	}
	return max(c.count, recorded)
}

// settledAt returns the time from which the count is reliable.
func (c *gatewayCount) settledAt() time.Time {
	if c.recorded > 0 {
		return c.firstAt
	}
	return c.firstAt.Add(settleTime)
}
