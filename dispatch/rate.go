package dispatch

import (
	"time"

	"figbank"
)

const (
	// minNamedRate is the lowest rate at which an upstream that names a limit gets requests. Without
	// answers, gateways would never learn that the limit has ended.
	minNamedRate figbank.RequestsPerSecond = 0.25
	// namedShare is the share of a named limit that is used. The rest is for gateways that disagree
	// about the keeper of the upstream's places.
	namedShare = 0.8
	// unkeptShare is the share of a limited rate that all gateways together use while no keeper
	// answers them. Others may reach a keeper, which hands out its own share.
	unkeptShare = 0.3
	// wholeShare is the share that they use if there are no keepers.
	wholeShare = 1.0
)

// Rate returns how many requests per second all gateways together may send to the target now. It
// returns false if there is no limit.
func (t *Target) Rate(now time.Time) (figbank.RequestsPerSecond, bool) {
	cold := now.Before(t.ColdUntil)
	notice, _ := t.Load.Limit()
	named := max(notice.PerSecond*namedShare, minNamedRate)
	switch {
	case cold && notice.Named:
		return min(t.ColdRate, named), true
	case notice.Named:
		return named, true
	default:
		return t.ColdRate, cold
	}
}

// allowsRate reports whether this gateway's part of the given share of the target's rate allows
// one more request.
func (t *Target) allowsRate(now time.Time, share float64) bool {
	rate, limited := t.Rate(now)
	return !limited || !now.Before(t.SettledAt) && t.Load.Turns.Allows(now, t.partOf(rate, share))
}

// countRate counts a request against this gateway's part of the given share of the target's rate.
func (t *Target) countRate(now time.Time, share float64) {
	if rate, limited := t.Rate(now); limited {
		t.Load.Turns.Count(now, t.partOf(rate, share))
	}
}

func (t *Target) partOf(rate figbank.RequestsPerSecond, share float64) figbank.RequestsPerSecond {
	return rate * figbank.RequestsPerSecond(share) / figbank.RequestsPerSecond(max(1, t.Gateways))
}
