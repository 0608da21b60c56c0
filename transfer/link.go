package transfer

import (
	"sync"
	"time"

	"figbank"
)

const (
	// linkSamples is how many chunks an estimate rests on. One slow peer among
	// several says nothing about this host's own link, all of them do.
	linkSamples = 4
	// leastSamples is how many it takes to call the link narrow, wideSamples how
	// many quick ones to call it wide: a narrowed link may let one chunk through at
	// once before it slows.
	leastSamples = 3
	wideSamples  = 2
	// linkMemory is how long a sample counts.
	linkMemory = 3 * time.Second
	// narrowRatio is how far below its nominal rate a link has to be to count as
	// narrowed.
	narrowRatio = 4
	// askedRatio is how far below its nominal rate a link is tried.
	askedRatio = 2
)

// What is known of a link.
const (
	// Unknown links have not been tried lately.
	Unknown LinkState = iota
	// Wide links bear about what they should.
	Wide
	// Narrow links bear far less.
	Narrow
)

type (
	// LinkState is what is known of a link.
	LinkState int

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
// link of unknown width, which never counts as narrow.
func NewLink(clock figbank.Clock, nominal figbank.Bytes) *Link {
	return &Link{clock: clock, nominal: nominal}
}

// observe notes a chunk that a peer sent while so many were on their way, itself
// included.
func (l *Link) observe(length figbank.Bytes, took time.Duration, together int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(rateOf(length, took, together))
}

// observeOrigin notes a chunk from the origin, whose own link bounds it too: only
// a quick one tells something.
func (l *Link) observeOrigin(length figbank.Bytes, took time.Duration, together int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate := rateOf(length, took, together); rate >= l.nominal/narrowRatio {
		l.add(rate)
	}
}

// State returns what is known of the link, and the bytes a second that it bears.
func (l *Link) State() (LinkState, figbank.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return judge(l.samples, l.nominal, l.clock.Now())
}

// AskedRate is how fast a chunk may come in, 0 for no bound. Over a link that may
// be narrowed, a chunk at once would hold up the requests behind it; the rate is
// enough to see a wide link by.
func (l *Link) AskedRate() figbank.Bytes {
	if state, _ := l.State(); state == Wide {
		return 0
	}
	return l.nominal / askedRatio
}

func (l *Link) add(rate figbank.Bytes) {
	l.samples = append(l.samples, linkSample{at: l.clock.Now(), rate: rate})
	if len(l.samples) > linkSamples {
		l.samples = l.samples[1:]
	}
}

func rateOf(length figbank.Bytes, took time.Duration, together int) figbank.Bytes {
	return figbank.Bytes(float64(length) * float64(together) / max(took, time.Microsecond).Seconds())
}

// judge answers links that shrink to an eighth for some seconds under full load.
func judge(samples []linkSample, nominal figbank.Bytes, now time.Time) (LinkState, figbank.Bytes) {
	var best figbank.Bytes
	fresh, quick := 0, 0
	for _, sample := range samples {
		if now.Sub(sample.at) > linkMemory {
			continue
		}
		fresh++
		best = max(best, sample.rate)
		if sample.rate >= nominal/narrowRatio {
			quick++
		}
	}
	switch {
	case quick >= wideSamples, nominal == 0:
		return Wide, best
	case fresh >= leastSamples:
		return Narrow, best
	}
	return Unknown, best
}
