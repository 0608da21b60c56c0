package replica

import (
	"sync/atomic"
	"time"
)

type (
	// Delays are the longest delays of a replica since they were last taken. Delays near the
	// election timeout make a log lose its leader.
	Delays struct {
		// Tick is how late the replica handled a tick of its clock.
		Tick time.Duration
		// Send is how long a message waited between the replica and its stream.
		Send time.Duration
	}

	// delayMeter records Delays. It is safe for concurrent use.
	delayMeter struct {
		tick, send atomic.Int64
	}
)

// take returns the longest delays since the last call.
func (m *delayMeter) take() Delays {
	return Delays{Tick: time.Duration(m.tick.Swap(0)), Send: time.Duration(m.send.Swap(0))}
}

// raise records a delay if it is the longest.
func raise(longest *atomic.Int64, delay time.Duration) {
	for {
		known := longest.Load()
		if int64(delay) <= known || longest.CompareAndSwap(known, int64(delay)) {
			return
		}
	}
}
