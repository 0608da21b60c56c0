package soak

import (
	"fmt"
	"sync"
	"time"
)

// maxViolations bounds how many violations of each promise are recorded.
const maxViolations = 50

type (
	// Violation describes a broken promise: something that figbank guarantees to callers or
	// operators and did not do. At is counted from the start of the run, and Promise is the short
	// name of the promise.
	Violation struct {
		At      time.Duration
		Promise string
		Detail  string
	}

	// Mark is an event on the timeline of a run. At is when the event was recorded, counted from
	// the start of the run. Duration is the planned or measured length of the event, or 0 if it
	// has none. Lane names the row of the page that shows the event.
	Mark struct {
		At, Duration time.Duration
		Lane         string
		Text         string
	}

	// record collects what happened in a run. It is safe for concurrent use.
	record struct {
		started time.Time

		mu         sync.Mutex
		violations []Violation
		// broken counts the violations of each promise.
		broken   map[string]int
		marks    []Mark
		outcomes map[string]int
	}
)

func newRecord() *record {
	return &record{started: wall.Now(), broken: map[string]int{}, outcomes: map[string]int{}}
}

func (r *record) addViolation(promise, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[promise]++
	if r.broken[promise] <= maxViolations {
		r.violations = append(r.violations, Violation{At: wall.since(r.started), Promise: promise, Detail: fmt.Sprintf(format, values...)})
	}
}

func (r *record) mark(lane string, length time.Duration, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{At: wall.since(r.started), Duration: length, Lane: lane, Text: fmt.Sprintf(format, values...)})
}

func (r *record) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}
