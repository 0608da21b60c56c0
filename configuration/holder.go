// Package configuration holds what is in force in one process. It never moves
// to a lower commit index.
package configuration

import (
	"sync"
	"sync/atomic"

	"figbank"
	"figbank/schema"
)

// Holder keeps the newest configuration that this process has seen. Reading is
// one atomic load; it is safe for concurrent use.
type Holder struct {
	recorder figbank.Recorder
	current  atomic.Pointer[schema.Configuration]

	mu       sync.Mutex
	changed  chan struct{}
	watchers []func(*schema.Configuration)
}

// NewHolder returns a holder with nothing in force.
func NewHolder(recorder figbank.Recorder) *Holder {
	h := &Holder{recorder: recorder, changed: make(chan struct{})}
	h.current.Store(&schema.Configuration{})
	return h
}

// Current returns what is in force. It must not be modified.
func (h *Holder) Current() *schema.Configuration {
	return h.current.Load()
}

// Index is the commit index in force.
func (h *Holder) Index() figbank.CommitIndex {
	return figbank.CommitIndex(h.Current().GetCommitIndex())
}

// Offer puts a configuration in force unless one at least as new already is.
func (h *Holder) Offer(offered *schema.Configuration) bool {
	if offered.GetCommitIndex() <= h.Current().GetCommitIndex() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if offered.GetCommitIndex() <= h.Current().GetCommitIndex() {
		return false
	}
	h.current.Store(offered)
	h.recorder.Record(&schema.Event{Part: "configuration", Name: "InForce", CommitIndex: offered.GetCommitIndex()})
	for _, watcher := range h.watchers {
		watcher(offered)
	}
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Watch calls watcher in the order of changes. It must not block.
func (h *Holder) Watch(watcher func(*schema.Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, watcher)
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// NewerThan returns the configuration in force if its index is above index.
func (h *Holder) NewerThan(index uint64) *schema.Configuration {
	current := h.Current()
	if current.GetCommitIndex() > index {
		return current
	}
	return nil
}
