// Package condition tells for how long a condition has held, and when to report that.
package condition

import "time"

// Watch observes one condition. Its zero value reports at the first observation; it is not safe for
// concurrent use.
type Watch struct {
	// Patience is how long the condition holds before it is reported, Interval the time between two reports.
	Patience, Interval time.Duration
	// since is when the condition began to hold, or zero while it does not.
	since, nextReport time.Time
}

// Observe records whether the condition holds now. It returns for how long it has, and whether that is to be
// reported.
func (w *Watch) Observe(now time.Time, holds bool) (held time.Duration, report bool) {
	if !holds {
		w.since = time.Time{}
		return 0, false
	}
	if w.since.IsZero() {
		w.since, w.nextReport = now, now.Add(w.Patience)
	}
	if now.Before(w.nextReport) {
		return now.Sub(w.since), false
	}
	w.nextReport = now.Add(w.Interval)
	return now.Sub(w.since), true
}

// Held returns for how long the condition has held, 0 if it does not.
func (w *Watch) Held(now time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return now.Sub(w.since)
}
