package transfer

import (
	"sync"

	"figbank"
	"figbank/weights"
)

// Active holds the version that this host is fetching, if any. It is safe for
// concurrent use.
type Active struct {
	mu      sync.Mutex
	partial *weights.PartialVersion
}

func (a *Active) set(partial *weights.PartialVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.partial = partial
}

func (a *Active) find(digest figbank.ManifestDigest) *weights.PartialVersion {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.partial != nil && a.partial.Version().Digest == digest {
		return a.partial
	}
	return nil
}

// Progress returns how many chunks of the version in transfer are on disk, and how
// many the version has. Both are 0 if no version is in transfer.
func (a *Active) Progress() (held, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.partial == nil {
		return 0, 0
	}
	return a.partial.Count(), len(a.partial.Version().Manifest.GetChunks())
}
