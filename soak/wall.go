package soak

import (
	"time"

	"figbank"
	"figbank/clock"
)

// wallClock is the system clock. Real processes cannot run on a virtual one.
type wallClock struct{ figbank.Clock }

var wall = wallClock{clock.System{}}

func (w wallClock) sleep(d time.Duration) { <-w.After(d) }

func (w wallClock) since(t time.Time) time.Duration { return w.Now().Sub(t) }
