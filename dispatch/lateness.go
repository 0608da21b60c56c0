package dispatch

import (
	"math"
	"sync"
	"time"
)

const (
	// latenessWeight is the weight of the newest answer.
	latenessWeight = 0.3
	// latenessHalfLife is how fast lateness is forgotten, so that an upstream is
	// tried again.
	latenessHalfLife = 2 * time.Second
	// latenessIgnored is what a sound prediction may be wrong by.
	latenessIgnored = 300 * time.Millisecond
	// latenessMost bounds what one answer counts for.
	latenessMost = 3 * time.Second
)

// lateness is how much later than predicted an upstream begins to answer. It
// finds those that are slow for reasons that their load doesn't show: a narrowed
// link, a slow host. It is safe for concurrent use.
type lateness struct {
	mu    sync.Mutex
	value time.Duration
	at    time.Time
}

// note takes in how long an upstream took, or has taken so far, to begin to answer.
func (l *lateness) note(now time.Time, took, predicted time.Duration) {
	late := min(max(0, took-predicted-latenessIgnored), latenessMost)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = l.faded(now) + time.Duration(latenessWeight*float64(late-l.faded(now)))
	l.at = now
}

// present is the lateness to expect now.
func (l *lateness) present(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faded(now)
}

func (l *lateness) faded(now time.Time) time.Duration {
	if l.value == 0 {
		return 0
	}
	age := max(0, now.Sub(l.at))
	return time.Duration(float64(l.value) * math.Exp2(-age.Seconds()/latenessHalfLife.Seconds()))
}
