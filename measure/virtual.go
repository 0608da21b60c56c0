package measure

import (
	"time"

	"figbank/clock"
)

// virtual is the clock of the synctest bubble that a measure runs in.
var virtual clock.System

func sleep(d time.Duration) {
	<-virtual.After(d)
}

func since(t time.Time) time.Duration {
	return virtual.Now().Sub(t)
}
