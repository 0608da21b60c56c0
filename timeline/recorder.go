// Package timeline records the events of each process, stamped with a hybrid logical
// clock (Kulkarni et al., 2014), and merges them into one timeline.
package timeline

import (
	"sync"

	"figbank"
	"figbank/schema"
)

// Recorder stores the newest events in a ring buffer. It is safe for concurrent use.
type Recorder struct {
	process figbank.ProcessID
	clock   figbank.Clock

	mu sync.Mutex
	// last is the newest stamp that was issued or received.
	last   schema.Stamp
	events []*schema.Event
	// oldest is the index of the oldest event. Once the buffer is full, the next event replaces
	// it.
	oldest int
}

// NewRecorder returns a recorder that keeps at most size events, the newest ones. size must be
// positive.
func NewRecorder(process figbank.ProcessID, clock figbank.Clock, size int) *Recorder {
	return &Recorder{process: process, clock: clock, events: make([]*schema.Event, 0, size)}
}

// Record stamps an event and stores it. It replaces the oldest event when the buffer is full.
// The caller must not change the event afterwards.
func (r *Recorder) Record(event *schema.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Stamp = r.advance()
	event.Process = string(r.process)
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % len(r.events)
}

// Stamp returns a new stamp, which is later than all earlier stamps of this recorder.
func (r *Recorder) Stamp() *schema.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// Observe merges a stamp from another process into the clock, so that later stamps of this
// recorder are greater. It ignores nil.
func (r *Recorder) Observe(stamp *schema.Stamp) {
	if stamp == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if Before(&r.last, stamp) {
		r.last.WallUnixNano = stamp.WallUnixNano
		r.last.Counter = stamp.Counter
	}
}

// Events returns the stored events, oldest first.
func (r *Recorder) Events() []*schema.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]*schema.Event, 0, len(r.events))
	events = append(events, r.events[r.oldest:]...)
	return append(events, r.events[:r.oldest]...)
}

// advance moves the clock forward and returns its stamp. The caller holds the lock.
func (r *Recorder) advance() *schema.Stamp {
	now := r.clock.Now().UnixNano()
	if now > r.last.WallUnixNano {
		r.last.WallUnixNano = now
		r.last.Counter = 0
	} else {
		r.last.Counter++
	}
	return &schema.Stamp{WallUnixNano: r.last.WallUnixNano, Counter: r.last.Counter}
}
