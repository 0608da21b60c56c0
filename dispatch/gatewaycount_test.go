package dispatch

import (
	"testing"
	"time"
)

// Replicas that restart together list few gateways at first; nobody takes a
// larger share for that.
func TestShortListsGiveNoLargerShare(t *testing.T) {
	start := time.Unix(100, 0)
	steps := []struct {
		at     time.Duration
		listed int
		want   int
	}{
		{at: 0, listed: 10, want: 10},
		{at: 100 * time.Millisecond, listed: 44, want: 44},
		{at: 31 * time.Second, listed: 3, want: 44},
		{at: 32 * time.Second, listed: 44, want: 44},
		{at: 41 * time.Second, listed: 33, want: 44},
		{at: 52 * time.Second, listed: 33, want: 33},
	}
	var c gatewayCount
	for _, s := range steps {
		if got := c.hear(start.Add(s.at), s.listed, 0); got != s.want {
			t.Errorf("after %v with %d listed: %d gateways count, want %d", s.at, s.listed, got, s.want)
		}
	}
	if got, want := c.settledAt(), start.Add(settleTime); !got.Equal(want) {
		t.Errorf("settled at %v, want %v", got, want)
	}
}

// All machines have come back together: a gateway that hears of few others knows
// from the log how many there are, and serves by cold upstreams at once.
func TestRecordedCountGivesTheShareAtOnce(t *testing.T) {
	start := time.Unix(100, 0)
	var c gatewayCount
	if got := c.hear(start, 2, 44); got != 44 {
		t.Errorf("gateways that count with 2 listed and 44 recorded = %d, want 44", got)
	}
	if got := c.settledAt(); !got.Equal(start) {
		t.Errorf("settled at %v, want %v, at once", got, start)
	}
	if got := c.hear(start.Add(time.Second), 46, 44); got != 46 {
		t.Errorf("gateways that count with 46 listed and 44 recorded = %d, want 46", got)
	}
}

// A gateway that has just started and knows few others sends nothing to a cold
// upstream, and serves by a warm one.
func TestNewGatewayLeavesColdUpstreamsAlone(t *testing.T) {
	now := time.Unix(100, 0)
	scenarios := []struct {
		name   string
		target Target
		want   bool
	}{
		{name: "warm", target: Target{Load: &Load{}, ColdFrom: now.Add(time.Second)}, want: true},
		{name: "cold, not settled", target: Target{Load: &Load{}, ColdUntil: now.Add(time.Minute), ColdFrom: now.Add(time.Second), ColdPerSecond: 1000}},
		{name: "cold, settled", target: Target{Load: &Load{cold: coldLimit{next: now}}, ColdUntil: now.Add(time.Minute), ColdFrom: now, ColdPerSecond: 1000}, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.target.bears(now); got != s.want {
				t.Errorf("bears() = %v, want %v", got, s.want)
			}
		})
	}
}
