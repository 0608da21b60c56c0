package demo

import (
	"sync"
	"time"
)

// Outcomes counts the outcomes of the callers' requests. Callers use add to change it, since they
// run concurrently.
type Outcomes struct {
	mu sync.Mutex
	// Answered counts requests with a complete and correct answer, without the bookings that were
	// sent again. Replayed counts bookings that got the same answer when they were sent again
	// under their key.
	Answered, Replayed int
	// Refused counts refused attempts by reason. The callers sent these requests again.
	Refused map[string]int
	// Lost counts requests that were refused in each of their attempts.
	Lost int
	// Incomplete counts answers that ended before they were complete. Unknown counts requests that
	// failed or got any other answer.
	Incomplete, Unknown int
	// WrongText counts complete answers with the wrong content. WrongVersion counts answers
	// from weights that are not declared.
	WrongText, WrongVersion int
	// FalseNotRun counts bookings that were refused as not run, but had run.
	FalseNotRun int
	// Latencies holds the duration of the successful attempt of each answered request.
	Latencies []time.Duration
	// Notes describes the first maxNotes failures.
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

// note adds a failure to Notes. It must be called within add, which holds the lock.
func (o *Outcomes) note(text string) {
	if len(o.Notes) < maxNotes {
		o.Notes = append(o.Notes, text)
	}
}

// passed reports whether no request failed, no answer was incomplete or wrong, and no refusal as
// not run was false. Refused attempts are allowed if the request is answered in the end.
func (o *Outcomes) passed() bool {
	return o.Lost == 0 && o.Incomplete == 0 && o.Unknown == 0 && o.WrongText == 0 && o.WrongVersion == 0 && o.FalseNotRun == 0
}
