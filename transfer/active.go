package transfer

import (
	"sync"

	"figbank"
	"figbank/weights"
)

// Active is the version in transfer on this host, if any. It is safe for
// concurrent use.
type Active struct {
	mu      sync.Mutex
	partial *weights.Partial
}

func (a *Active) set(partial *weights.Partial) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.partial = partial
}

func (a *Active) find(digest figbank.ManifestDigest) *weights.Partial {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.partial != nil && a.partial.Version().Digest == digest {
		return a.partial
	}
	return nil
}

// Progress is how many chunks of the version in transfer are on disk, of how many.
func (a *Active) Progress() (held, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.partial == nil {
		return 0, 0
	}
	return a.partial.Count(), len(a.partial.Version().Manifest.GetChunks())
}
