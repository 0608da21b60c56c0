package transfer

import (
	"sync"
	"time"

	"figbank"
	"figbank/weights"
)

// Active holds the version that a Fetcher is fetching, if any, so that a Server can serve its
// chunks. It is safe for concurrent use.
type Active struct {
	mu      sync.Mutex
	partial *weights.PartialVersion
	// changed is closed when another chunk or version can be served. It is nil while nobody
	// waits.
	changed chan struct{}
	// changedAt is when the newest chunk arrived.
	changedAt time.Time
	// inSight is set once hosts are known to hold all chunks together.
	inSight bool
}

// Progress describes a version that is being fetched.
type Progress struct {
	// Held is how many of the Total chunks are on disk.
	Held, Total int
	Size        figbank.Bytes
	// ChangedAt is when the newest chunk arrived. It may be older than the fetch.
	ChangedAt time.Time
	// InSight is set if this host and its peers are known to hold all chunks together.
	InSight bool
}

func (a *Active) set(partial *weights.PartialVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.partial, a.inSight = partial, false
	a.signal()
}

// notify reports that another chunk of the version is on disk since now.
func (a *Active) notify(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changedAt = now
	a.signal()
}

// setInSight records whether this host and its peers are known to hold all chunks together.
func (a *Active) setInSight(inSight bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inSight = inSight
}

// wait returns a channel that is closed at the next change.
func (a *Active) wait() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

// signal closes the channel of those who wait. The caller holds mu.
func (a *Active) signal() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

func (a *Active) find(digest figbank.ManifestDigest) *weights.PartialVersion {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.partial != nil && a.partial.Version().Digest == digest {
		return a.partial
	}
	return nil
}

// Progress describes the version being fetched. It is zero if there is none.
func (a *Active) Progress() Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.partial == nil {
		return Progress{}
	}
	manifest := a.partial.Version().Manifest
	return Progress{
		Held: a.partial.Count(), Total: len(manifest.GetChunks()), Size: weights.Size(manifest), ChangedAt: a.changedAt, InSight: a.inSight,
	}
}

// Share returns the share of the version that is on disk, from 0 to 1.
func (p Progress) Share() float64 {
	if p.Total == 0 {
		return 0
	}
	return float64(p.Held) / float64(p.Total)
}
