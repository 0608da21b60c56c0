package measure

import (
	"time"

	"figbank/clock"
)

// virtual is the system clock. Inside the synctest bubble of a measure it shows virtual time.
var virtual clock.System

func sleep(d time.Duration) {
	<-virtual.After(d)
}

func since(t time.Time) time.Duration {
	return virtual.Now().Sub(t)
}
