package load

import (
	"math"
	"sync"
	"time"
)

const (
	// newestHalfLife is the time in which the newest figure loses half of its weight against the average: how long work takes
	// on a shared host changes many times a second.
	newestHalfLife = 250 * time.Millisecond
	// averageHalfLife is the time in which the average forgets half of what it knows. Without news, an upstream is taken
	// to work as usual again.
	averageHalfLife = 2 * time.Second
	// averageWeight is the weight of the newest figure in the average.
	averageWeight = 0.2
	// minSlowdown and maxSlowdown bound what a figure can say.
	minSlowdown, maxSlowdown = 0.25, 10.0
)

// Speed tells how long work takes at an upstream, beside how long it usually does. The zero value is that of an upstream of
// which nothing is known. It is safe for concurrent use.
type Speed struct {
	mu              sync.Mutex
	newest, average float64
	at              time.Time
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
	if !at.After(s.at) {
		return
	}
	slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	average := s.averageAt(at)
	s.average = average + averageWeight*(slowdown-average)
	s.newest, s.at, s.unreported = slowdown, at, own
}

// Slowdown returns how many times as long as usual work is expected to take now.
func (s *Speed) Slowdown(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() {
		return 1
	}
	weight := decayOver(now.Sub(s.at), newestHalfLife)
	return weight*s.newest + (1-weight)*s.averageAt(now)
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

// averageAt returns the average after the decay since the last figure. The caller holds mu.
func (s *Speed) averageAt(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return 1 + (s.average-1)*decayOver(now.Sub(s.at), averageHalfLife)
}

func decayOver(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / halfLife.Seconds())
}
