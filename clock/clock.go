// Package clock implements figbank.Clock with the system clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System implements figbank.Clock with package time, and figbank.BootClock with the kernel's boot-time
// clock.
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

// SinceBoot returns the time since the host started, including time in which it was suspended.
func (System) SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since version 2.6.39.
		panic(err)
	}
	return time.Duration(now.Nano())
}
