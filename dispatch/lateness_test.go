package dispatch

import (
	"testing"
	"time"
)

// An upstream's link narrows to an eighth: its load looks as before, but answers
// begin a second late. It must soon be set back, and tried again once it is over.
func TestLatenessFollowsTheLink(t *testing.T) {
	const predicted = 150 * time.Millisecond
	var late lateness
	at := now
	answer := func(took time.Duration, times int) {
		for range times {
			at = at.Add(100 * time.Millisecond)
			late.note(at, took, predicted)
		}
	}
	answer(predicted+80*time.Millisecond, 20)
	if got := late.present(at); got != 0 {
		t.Errorf("with predictions that hold: got %v, want 0", got)
	}
	answer(1200*time.Millisecond, 3)
	if got, least := late.present(at), 400*time.Millisecond; got < least {
		t.Errorf("after three late answers: got %v, want at least %v", got, least)
	}
	if got, most := late.present(at.Add(6*time.Second)), 100*time.Millisecond; got > most {
		t.Errorf("six seconds later, not asked: got %v, want at most %v", got, most)
	}
	answer(predicted, 8)
	if got, most := late.present(at), 50*time.Millisecond; got > most {
		t.Errorf("after eight answers in time: got %v, want at most %v", got, most)
	}
}

func TestOneAnswerCountsForSoMuchOnly(t *testing.T) {
	var late lateness
	late.note(now, time.Hour, 0)
	if got, want := late.present(now), time.Duration(latenessWeight*float64(latenessMost)); got != want {
		t.Errorf("after an answer an hour late: got %v, want %v", got, want)
	}
}
