package soak

import (
	"fmt"
	"sync"
	"time"
)

// mostBroken bounds how many broken promises are told in words.
const mostBroken = 50

type (
	// Broken is a promise that did not hold.
	Broken struct {
		At      time.Duration
		Promise string
		Detail  string
	}

	// Mark is one event on the time line of a run.
	Mark struct {
		At, For time.Duration
		Lane    string
		Text    string
	}

	// record collects what happened in a run. It is safe for concurrent use.
	record struct {
		began time.Time

		mu       sync.Mutex
		broken   []Broken
		marks    []Mark
		outcomes map[string]int
	}
)

func newRecord() *record {
	return &record{began: wall.Now(), outcomes: map[string]int{}}
}

func (r *record) breaks(promise, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) < mostBroken {
		r.broken = append(r.broken, Broken{At: wall.since(r.began), Promise: promise, Detail: fmt.Sprintf(format, values...)})
	}
}

func (r *record) mark(lane string, length time.Duration, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{At: wall.since(r.began), For: length, Lane: lane, Text: fmt.Sprintf(format, values...)})
}

func (r *record) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}
