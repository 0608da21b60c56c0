package dispatch

import (
	"math"
	"sync"
	"time"
)

const (
	// driftHalfLife is how fast past answers are forgotten.
	driftHalfLife = time.Second
	// driftPrior weighs what is known without any answer, that predictions hold,
	// as so much predicted time.
	driftPrior = 2 * time.Second
	// driftMost bounds the correction.
	driftMost = 3.0
)

// drift is how many times as long as predicted a service's answers take to begin.
// Many gateways that place at once see counts of load that lag, and at saturation
// all of them are wrong in the same direction. It is safe for concurrent use.
type drift struct {
	mu sync.Mutex
	// took and predicted are sums that fade with time.
	took, predicted time.Duration
	at              time.Time
}

// note takes in how long an answer took to begin.
func (d *drift) note(now time.Time, took, predicted time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fade(now)
	d.took += took
	d.predicted += predicted
}

// factor is what predictions are to be multiplied by, 1 at least.
func (d *drift) factor(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fade(now)
	ratio := float64(d.took+driftPrior) / float64(d.predicted+driftPrior)
	return min(max(1, ratio), driftMost)
}

func (d *drift) fade(now time.Time) {
	left := math.Exp2(-max(0, now.Sub(d.at)).Seconds() / driftHalfLife.Seconds())
	d.took = time.Duration(float64(d.took) * left)
	d.predicted = time.Duration(float64(d.predicted) * left)
	d.at = now
}
