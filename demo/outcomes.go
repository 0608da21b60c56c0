package demo

import (
	"sync"
	"time"
)

// Outcomes counts what callers saw. It is safe for concurrent use.
type Outcomes struct {
	mu sync.Mutex
	// Answered are whole, checked answers; Replayed are answers given again under
	// the same key.
	Answered, Replayed int
	// Refused are single tries that were refused as not run; the callers tried again.
	Refused map[string]int
	// Lost requests got no answer in all their tries.
	Lost int
	// Cut answers ended visibly before they were whole; Unknown outcomes were said so.
	Cut, Unknown int
	// WrongText answers were not the caller's own or not whole; WrongVersion answers
	// came from weights that are not declared, or from another version than told.
	WrongText, WrongVersion int
	// FalseNotRun are bookings refused as not run that had run.
	FalseNotRun int
	// Latencies of answered requests, from the try that succeeded.
	Latencies []time.Duration
	// Notes tell more about what went wrong, at most a few.
	Notes []string
}

const maxNotes = 10

func newOutcomes() *Outcomes {
	return &Outcomes{Refused: map[string]int{}}
}

func (o *Outcomes) add(change func(*Outcomes)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(o)
}

func (o *Outcomes) note(text string) {
	if len(o.Notes) < maxNotes {
		o.Notes = append(o.Notes, text)
	}
}

// kept tells whether every promise to callers held.
func (o *Outcomes) kept() bool {
	return o.Lost == 0 && o.Cut == 0 && o.Unknown == 0 && o.WrongText == 0 && o.WrongVersion == 0 && o.FalseNotRun == 0
}
