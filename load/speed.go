package load

import (
	"math"
	"sync"
	"time"
)

const (
	// speedHalfLife is the time in which a figure loses half of its weight: how long work takes on a shared host changes
	// several times a second. An upstream that others keep away from tells nothing, so it must soon count as usual again; one
	// that stays slow tells so with the next answer.
	speedHalfLife = 130 * time.Millisecond
	// minSlowdown and maxSlowdown bound what a figure can say.
	minSlowdown, maxSlowdown = 0.25, 10.0
)

// Speed tells how long work takes at an upstream, beside how long it usually does. The zero value is that of an upstream of
// which nothing is known. It is safe for concurrent use.
type Speed struct {
	mu     sync.Mutex
	newest float64
	at     time.Time
	// unreported is set if the newest figure is this gateway's own, and others have not been told.
	unreported bool
}

// Record stores a figure that was true at the time at: 1 as usual, 2 if work takes twice as long. own is set if the upstream has
// told this gateway. It ignores a figure that is older than the newest one.
func (s *Speed) Record(at time.Time, slowdown float64, own bool) {
	if !(slowdown > 0) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.at) {
		s.newest, s.at, s.unreported = min(max(slowdown, minSlowdown), maxSlowdown), at, own
	}
}

// Slowdown returns how many times as long as usual work is expected to take now.
func (s *Speed) Slowdown(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() {
		return 1
	}
	weight := math.Exp2(-max(0, now.Sub(s.at)).Seconds() / speedHalfLife.Seconds())
	return 1 + weight*(s.newest-1)
}

// TakeNews returns the newest figure and its age if it is this gateway's own and was not returned before.
func (s *Speed) TakeNews(now time.Time) (slowdown float64, age time.Duration, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreported {
		return 0, 0, false
	}
	s.unreported = false
	return s.newest, now.Sub(s.at), true
}
