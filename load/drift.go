package load

import (
	"math"
	"sync"
	"time"
)

const (
	// driftHalfLife is the time in which the weight of past answers decays to half.
	driftHalfLife = time.Second
	// driftPrior is added to the sum of actual times and to the sum of predicted times. It
	// acts like earlier answers that began when predicted, so that a few answers do not
	// change the ratio much.
	driftPrior = 2 * time.Second
	// maxDrift is the largest factor by which predictions are multiplied.
	maxDrift = 3.0
)

// Drift tracks the ratio of the actual to the predicted time until a service's answers
// begin. Predictions are multiplied by this ratio because at saturation all of them are
// wrong in the same direction: many gateways choose upstreams at the same time by load
// counts that lag behind. A Drift is safe for concurrent use.
type Drift struct {
	mu sync.Mutex
	// took is the sum of the actual times, predicted that of the predicted times. Both decay
	// with time. at is the time of the last decay.
	took, predicted time.Duration
	at              time.Time
}

// Record adds the actual and the predicted time until an answer began.
func (d *Drift) Record(now time.Time, took, predicted time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.took += took
	d.predicted += predicted
}

// Factor returns the number, 1 or more, by which predictions must be multiplied.
func (d *Drift) Factor(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	ratio := float64(d.took+driftPrior) / float64(d.predicted+driftPrior)
	return min(max(1, ratio), maxDrift)
}

// decay applies the decay since the last call. The caller holds mu.
func (d *Drift) decay(now time.Time) {
	left := math.Exp2(-max(0, now.Sub(d.at)).Seconds() / driftHalfLife.Seconds())
	d.took = time.Duration(float64(d.took) * left)
	d.predicted = time.Duration(float64(d.predicted) * left)
	d.at = now
}
