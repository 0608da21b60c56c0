// Package configuration holds what is in force in one process. It never moves
// to a lower commit index.
package configuration

import (
	"sync"
	"sync/atomic"

	"figbank"
	"figbank/schema"
)

type (
	// Indexed is what is in force as of a commit index.
	Indexed interface {
		GetCommitIndex() uint64
	}

	// Latest keeps the newest value that this process has seen. Reading is one
	// atomic load; it is safe for concurrent use.
	Latest[T any, P interface {
		*T
		Indexed
	}] struct {
		recorder figbank.Recorder
		current  atomic.Pointer[T]

		mu       sync.Mutex
		changed  chan struct{}
		watchers []func(P)
	}

	// Holder keeps the newest configuration.
	Holder = Latest[schema.Configuration, *schema.Configuration]

	// FleetHolder keeps the newest fleet.
	FleetHolder = Latest[schema.Fleet, *schema.Fleet]
)

// NewHolder returns a holder with nothing in force.
func NewHolder(recorder figbank.Recorder) *Holder {
	return newLatest[schema.Configuration](recorder)
}

// NewFleetHolder returns a holder with nothing in force.
func NewFleetHolder(recorder figbank.Recorder) *FleetHolder {
	return newLatest[schema.Fleet](recorder)
}

func newLatest[T any, P interface {
	*T
	Indexed
}](recorder figbank.Recorder) *Latest[T, P] {
	h := &Latest[T, P]{recorder: recorder, changed: make(chan struct{})}
	h.current.Store(new(T))
	return h
}

// Current returns what is in force. It must not be modified.
func (h *Latest[T, P]) Current() P {
	return h.current.Load()
}

// Index is the commit index in force.
func (h *Latest[T, P]) Index() figbank.CommitIndex {
	return figbank.CommitIndex(h.Current().GetCommitIndex())
}

// Offer puts a value in force unless one at least as new already is.
func (h *Latest[T, P]) Offer(offered P) bool {
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
func (h *Latest[T, P]) Watch(watcher func(P)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, watcher)
}

// Changed returns a channel that is closed at the next change.
func (h *Latest[T, P]) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// NewerThan returns the value in force if its index is above index.
func (h *Latest[T, P]) NewerThan(index uint64) P {
	current := h.Current()
	if current.GetCommitIndex() > index {
		return current
	}
	return nil
}
