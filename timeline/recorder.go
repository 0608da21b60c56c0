// Package timeline keeps each process's events, stamped with a hybrid logical
// clock (Kulkarni et al., 2014), and merges them into one time line.
package timeline

import (
	"sync"

	"figbank"
	"figbank/schema"
)

// Recorder keeps the newest events in a ring of fixed size.
type Recorder struct {
	process figbank.ProcessID
	clock   figbank.Clock

	mu     sync.Mutex
	last   schema.Stamp
	events []*schema.Event
	next   int
}

// NewRecorder returns a recorder that keeps the newest size events.
func NewRecorder(process figbank.ProcessID, clock figbank.Clock, size int) *Recorder {
	return &Recorder{process: process, clock: clock, events: make([]*schema.Event, 0, size)}
}

// Record stamps an event and keeps it, in place of the oldest when full.
func (r *Recorder) Record(event *schema.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Stamp = r.advance()
	event.Process = string(r.process)
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Stamp returns the current hybrid logical time.
func (r *Recorder) Stamp() *schema.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// Witness moves the clock past a stamp received from another process.
func (r *Recorder) Witness(stamp *schema.Stamp) {
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

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []*schema.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]*schema.Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

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
