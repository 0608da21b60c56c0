package transfer

import (
	"sync"
	"time"

	"figbank"
)

const (
	// maxLinkSamples is how many of the latest chunks an estimate uses. A single slow peer
	// shows nothing about this host's own link. If all recent chunks are slow, the link has
	// reduced bandwidth.
	maxLinkSamples = 4
	// minNarrowSamples is the number of samples needed for the state LinkNarrow.
	// minWideSamples is the number of fast samples needed for the state LinkWide. One fast
	// sample is not enough, because a link with reduced bandwidth may let one chunk through at
	// full speed before it slows down.
	minNarrowSamples = 3
	minWideSamples   = 2
	// sampleLifetime is how long an estimate uses a sample.
	sampleLifetime = 3 * time.Second
	// A chunk is fast if its rate is at least the link's nominal rate divided by narrowRatio.
	narrowRatio = 4
	// After a slow chunk, unless the link is known to have its full bandwidth, chunks are
	// requested at its nominal rate divided by requestRatio.
	requestRatio = 2
)

// The states of a link.
const (
	// LinkUnknown means that too few chunks were transferred lately for an estimate, and
	// that none of them was slow.
	LinkUnknown LinkState = iota
	// LinkSuspect means that a chunk was slow, but that there are too few samples for an
	// estimate.
	LinkSuspect
	// LinkWide means that the link has about its nominal bandwidth.
	LinkWide
	// LinkNarrow means that the link has far less than its nominal bandwidth.
	LinkNarrow
)

type (
	// LinkState is the estimated state of a link.
	LinkState int

	// Link estimates the bandwidth of this host's link from the chunks that the host sends and
	// receives. Callers' requests and answers use the same link. While its bandwidth is reduced,
	// a few chunks at once delay them by a second or more. Link is safe for concurrent use.
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

// String names the state for the log.
func (s LinkState) String() string {
	return [...]string{"Unknown", "Suspect", "Wide", "Narrow"}[s]
}

// NewLink returns an estimator for a link of the given nominal rate in bytes per second. A nominal
// rate of 0 means unknown. The state is then always LinkWide.
func NewLink(clock figbank.Clock, nominal figbank.Bytes) *Link {
	return &Link{clock: clock, nominal: nominal}
}

// observe records that a chunk was transferred to or from a peer. concurrent is the number of
// chunks that shared the link, including this one.
func (l *Link) observe(length figbank.Bytes, took time.Duration, concurrent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSample(linkRate(length, took, concurrent))
}

// observeOrigin records a chunk from the origin. Since the origin's own link may be
// the bottleneck, only a fast chunk counts.
func (l *Link) observeOrigin(length figbank.Bytes, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate := linkRate(length, took, 1); rate >= l.nominal/narrowRatio {
		l.addSample(rate)
	}
}

// State returns the state of the link and the highest rate of the recent chunks, in bytes per
// second.
func (l *Link) State() (LinkState, figbank.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return estimateLink(l.samples, l.nominal, l.clock.Now())
}

// RequestRate returns the rate at which to request a chunk, or 0 for no limit. If the link's
// bandwidth may be reduced, a chunk sent at full speed would delay the callers' requests behind it.
// The returned rate is still high enough for a link with full bandwidth to be recognized.
func (l *Link) RequestRate() figbank.Bytes {
	switch state, _ := l.State(); state {
	case LinkSuspect, LinkNarrow:
		return l.nominal / requestRatio
	case LinkUnknown, LinkWide:
	}
	return 0
}

func (l *Link) addSample(rate figbank.Bytes) {
	l.samples = append(l.samples, linkSample{at: l.clock.Now(), rate: rate})
	if len(l.samples) > maxLinkSamples {
		l.samples = l.samples[1:]
	}
}

func linkRate(length figbank.Bytes, took time.Duration, concurrent int) figbank.Bytes {
	return figbank.Bytes(float64(length) * float64(concurrent) / max(took, time.Microsecond).Seconds())
}

// estimateLink returns the link's state and the highest rate of its recent samples. Its constants
// are chosen to detect a link that drops to an eighth of its rate for some seconds under full load.
func estimateLink(samples []linkSample, nominal figbank.Bytes, now time.Time) (LinkState, figbank.Bytes) {
	var best figbank.Bytes
	fresh, fast := 0, 0
	for _, sample := range samples {
		if now.Sub(sample.at) > sampleLifetime {
			continue
		}
		fresh++
		best = max(best, sample.rate)
		if sample.rate >= nominal/narrowRatio {
			fast++
		}
	}
	switch {
	case fast >= minWideSamples, nominal == 0:
		return LinkWide, best
	case fresh >= minNarrowSamples:
		return LinkNarrow, best
	case fresh > fast:
		return LinkSuspect, best
	}
	return LinkUnknown, best
}
