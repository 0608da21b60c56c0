package dispatch

import (
	"testing"
	"time"

	"figbank/load"
)

// A gateway that has just started and does not know its share yet sends nothing to cold
// upstreams, but uses warm ones.
func TestNewGatewayAvoidsColdUpstreams(t *testing.T) {
	now := time.Unix(100, 0)
	// The first turn comes at a random time within a millisecond.
	turned := &load.Upstream{}
	turned.Turns.Allows(now.Add(-time.Second), 1000)
	scenarios := []struct {
		name   string
		target Target
		want   bool
	}{
		{name: "warm", target: Target{Load: &load.Upstream{}, SettledAt: now.Add(time.Second)}, want: true},
		{name: "cold, not settled", target: Target{Load: &load.Upstream{}, ColdUntil: now.Add(time.Minute), SettledAt: now.Add(time.Second), ColdRate: 1000}},
		{name: "cold, settled", target: Target{Load: turned, ColdUntil: now.Add(time.Minute), SettledAt: now, ColdRate: 1000}, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.target.allowsRate(now, wholeShare); got != s.want {
				t.Errorf("allowsRate() = %v, want %v", got, s.want)
			}
		})
	}
}

// When an upstream accepts fewer connections than there are gateways, the share must
// not be rounded down to 0, which stands for no limit.
func TestConnectionShareIsNeverRoundedToUnlimited(t *testing.T) {
	scenarios := []struct {
		connections int64
		gateways    int
		want        int64
	}{
		{connections: 0, gateways: 44, want: 0},
		{connections: 48, gateways: 60, want: 1},
		{connections: 288, gateways: 44, want: 6},
	}
	for _, s := range scenarios {
		table := &Table{gateways: s.gateways}
		if got := table.connectionShare(s.connections); got != s.want {
			t.Errorf("share of %d connections among %d gateways = %d, want %d", s.connections, s.gateways, got, s.want)
		}
	}
}
