// Package metering counts how many requests of each workspace began to run, in windows of true time, and reports the
// counts of all gateways once for each window. Gateways count. The process that holds the duty asks them for their
// counts, fixes the sum in the replicated log, and reports what is fixed there, so that all reports of a window are
// alike, whoever sends them.
package metering

import (
	"slices"
	"sync"
	"time"

	"figbank"
)

const (
	// wallSamples is the number of samples of the wall clock whose median counts. A step of the clock has an effect
	// only if it lasts for half of them.
	wallSamples = 61
	// sampleInterval is the time between two samples.
	sampleInterval = time.Second
)

type (
	// Window is the number of a window of time. Window 0 begins at the start of 1970.
	Window int64

	// WallTime tells true time for windows. The wall clock may jump by seconds and back, so it is compared with
	// the steady boot-time clock, and the median of the latest differences counts. It is safe for concurrent use.
	WallTime struct {
		clock  figbank.Clock
		boot   figbank.BootClock
		length time.Duration

		mu        sync.Mutex
		samples   []time.Duration
		next      int
		sampledAt time.Duration
		offset    time.Duration
	}
)

// NewWallTime returns a WallTime for windows of the given length.
func NewWallTime(clock figbank.Clock, boot figbank.BootClock, length time.Duration) *WallTime {
	w := &WallTime{clock: clock, boot: boot, length: length}
	w.sample(boot.SinceBoot())
	return w
}

// Now returns the time since the start of 1970.
func (w *WallTime) Now() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.boot.SinceBoot()
	if now-w.sampledAt >= sampleInterval {
		w.sample(now)
	}
	return now + w.offset
}

// Window returns the current window.
func (w *WallTime) Window() Window {
	return Window(w.Now() / w.length)
}

// SinceEnd returns how long ago a window ended, below 0 if it has not.
func (w *WallTime) SinceEnd(window Window) time.Duration {
	return w.Now() - time.Duration(window+1)*w.length
}

// sample adds the difference of the two clocks, and computes the median anew.
func (w *WallTime) sample(now time.Duration) {
	difference := time.Duration(w.clock.Now().UnixNano()) - now
	if len(w.samples) < wallSamples {
		w.samples = append(w.samples, difference)
	} else {
		w.samples[w.next] = difference
		w.next = (w.next + 1) % wallSamples
	}
	w.sampledAt = now
	sorted := slices.Sorted(slices.Values(w.samples))
	w.offset = sorted[len(sorted)/2]
}
