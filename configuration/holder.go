// Package configuration holds the configuration and the fleet state that are in force in one
// process, and looks up services and failure domains in a configuration.
package configuration

import (
	"sync"
	"sync/atomic"

	"figbank"
	"figbank/schema"
)

type (
	// Indexed is a value that a log entry has put in force. GetCommitIndex returns the index of
	// that entry.
	Indexed interface {
		GetCommitIndex() uint64
	}

	// Latest holds the value with the highest commit index that this process has seen; it
	// never goes back to a lower one. Reading is one atomic load. It is safe for concurrent
	// use.
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

	// Holder holds the configuration in force.
	Holder = Latest[schema.Configuration, *schema.Configuration]

	// FleetHolder holds the fleet state in force.
	FleetHolder = Latest[schema.Fleet, *schema.Fleet]
)

// NewHolder returns a holder whose configuration is empty, with commit index 0.
func NewHolder(recorder figbank.Recorder) *Holder {
	return newLatest[schema.Configuration](recorder)
}

// NewFleetHolder returns a holder whose fleet state is empty, with commit index 0.
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

// Current returns the value in force. The caller must not modify it.
func (h *Latest[T, P]) Current() P {
	return h.current.Load()
}

// Index returns the commit index of the value in force.
func (h *Latest[T, P]) Index() figbank.CommitIndex {
	return figbank.CommitIndex(h.Current().GetCommitIndex())
}

// Offer puts a value in force if its commit index is higher than that of the current one,
// and reports whether it did.
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

// Watch registers a function that is called with each new value, in the order of changes.
// The function must not block, nor call Offer, Watch or Changed, since the lock is held
// during the call.
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

// NewerThan returns the value in force if its commit index is higher than index, nil
// otherwise.
func (h *Latest[T, P]) NewerThan(index uint64) P {
	current := h.Current()
	if current.GetCommitIndex() > index {
		return current
	}
	return nil
}
