package transfer

import (
	"sync"
	"time"

	"figbank"
)

const (
	// linkSamples is how many chunks an estimate rests on. One slow peer among
	// several says nothing about this host's own link, all of them do.
	linkSamples = 6
	// linkMemory is how long a sample counts.
	linkMemory = 4 * time.Second
	// narrowRatio is how far below its nominal rate a link has to be to count as
	// narrowed.
	narrowRatio = 3
)

type (
	// Link estimates what this host's link bears, from the chunks that arrive.
	// Requests and answers share the link with the weights: on one that has been
	// narrowed, a few chunks at once hold them up for a second and more. It is safe
	// for concurrent use.
	Link struct {
		clock   figbank.Clock
		nominal figbank.Bytes

		mu      sync.Mutex
		samples []linkSample
	}

	linkSample struct {
		at   time.Time
		rate figbank.Bytes
	}
)

// NewLink returns an estimator for a link of so many bytes a second; 0 for a
// link that is never taken for narrow.
func NewLink(clock figbank.Clock, nominal figbank.Bytes) *Link {
	return &Link{clock: clock, nominal: nominal}
}

// observe notes a chunk that arrived while so many were on their way, itself
// included.
func (l *Link) observe(length figbank.Bytes, took time.Duration, together int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := float64(length) * float64(together) / max(took, time.Microsecond).Seconds()
	l.samples = append(l.samples, linkSample{at: l.clock.Now(), rate: figbank.Bytes(rate)})
	if len(l.samples) > linkSamples {
		l.samples = l.samples[1:]
	}
}

// Narrow returns the bytes a second that a narrowed link still bears, or false.
func (l *Link) Narrow() (figbank.Bytes, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return narrow(l.samples, l.nominal, l.clock.Now())
}

// narrow answers links that shrink to an eighth for some seconds under full
// load. The best of the latest samples decides: one chunk that arrives quickly
// proves that the link is wide again.
func narrow(samples []linkSample, nominal figbank.Bytes, now time.Time) (figbank.Bytes, bool) {
	var best figbank.Bytes
	fresh := 0
	for _, sample := range samples {
		if now.Sub(sample.at) > linkMemory {
			continue
		}
		fresh++
		best = max(best, sample.rate)
	}
	return best, fresh >= linkSamples/2 && best < nominal/narrowRatio
}
