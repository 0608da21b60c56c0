package transfer

import (
	"sync"

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
}

func (a *Active) set(partial *weights.PartialVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.partial = partial
	a.signal()
}

// notify reports that another chunk of the version is on disk.
func (a *Active) notify() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.signal()
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

// Progress returns how many chunks of the version being fetched are on disk, and how many chunks
// the version has. Both are 0 if no version is being fetched.
func (a *Active) Progress() (held, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.partial == nil {
		return 0, 0
	}
	return a.partial.Count(), len(a.partial.Version().Manifest.GetChunks())
}
