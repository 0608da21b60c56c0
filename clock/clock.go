// Package clock implements figbank.Clock with the system clock.
package clock

import "time"

// System implements figbank.Clock with package time.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives once, after d.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Tick returns a channel that receives every d until stop is called.
func (System) Tick(d time.Duration) (ticks <-chan time.Time, stop func()) {
	ticker := time.NewTicker(d)
	return ticker.C, ticker.Stop
}
