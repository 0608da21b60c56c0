// Package clock implements figbank.Clock on the system's time.
package clock

import "time"

// System is the system's clock.
type System struct{}

// Now is the current time.
func (System) Now() time.Time {
	return time.Now()
}

// After sends once when d has passed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Tick sends every d until stop is called.
func (System) Tick(d time.Duration) (ticks <-chan time.Time, stop func()) {
	ticker := time.NewTicker(d)
	return ticker.C, ticker.Stop
}
