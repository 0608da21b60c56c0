package load

import (
	"math"
	"sync"
	"time"
)

const (
	// latenessWeight is the weight of the newest answer in the moving average.
	latenessWeight = 0.3
	// latenessHalfLife is the time in which lateness decays to half, so that a late
	// upstream gets requests again.
	latenessHalfLife = 2 * time.Second
	// latenessTolerance is the prediction error that does not count as lateness.
	latenessTolerance = 300 * time.Millisecond
	// maxLateness bounds the lateness that one answer adds to the average.
	maxLateness = 3 * time.Second
)

// Lateness is a moving average of how much later than predicted an upstream begins to
// answer. It detects upstreams that are slow for reasons that their load does not
// show, such as a link with reduced bandwidth or a slow host. It is safe for concurrent use.
type Lateness struct {
	mu    sync.Mutex
	value time.Duration
	at    time.Time
}

// Record adds the time that an upstream took, or has taken so far, to begin to answer.
func (l *Lateness) Record(now time.Time, took, predicted time.Duration) {
	late := min(max(0, took-predicted-latenessTolerance), maxLateness)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = l.decayed(now) + time.Duration(latenessWeight*float64(late-l.decayed(now)))
	l.at = now
}

// Current returns the lateness to expect now.
func (l *Lateness) Current(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decayed(now)
}

// decayed returns the average after the decay since the last record. The caller holds mu.
func (l *Lateness) decayed(now time.Time) time.Duration {
	if l.value == 0 {
		return 0
	}
	age := max(0, now.Sub(l.at))
	return time.Duration(float64(l.value) * math.Exp2(-age.Seconds()/latenessHalfLife.Seconds()))
}
