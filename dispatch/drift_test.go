package dispatch

import (
	"testing"
	"time"
)

// Forty gateways place at saturation: answers that are predicted after 240 ms
// begin after 860 ms. The correction must follow within two seconds, and be gone
// a few seconds after the load is.
func TestDriftFollowsSaturation(t *testing.T) {
	const (
		predicted = 240 * time.Millisecond
		took      = 860 * time.Millisecond
		gap       = 100 * time.Millisecond
	)
	d := &drift{}
	if got := d.factor(now); got != 1 {
		t.Errorf("factor without an answer = %.2f, want 1", got)
	}
	at := now
	for range 20 {
		at = at.Add(gap)
		d.note(at, took, predicted)
	}
	if got := d.factor(at); got < 2 || got > driftMost {
		t.Errorf("factor at saturation = %.2f, want 2 to %.2f", got, driftMost)
	}
	if got := d.factor(at.Add(5 * time.Second)); got > 1.15 {
		t.Errorf("factor five seconds later = %.2f, want 1.15 at most", got)
	}
	for range 30 {
		at = at.Add(gap)
		d.note(at, predicted/2, predicted)
	}
	if got := d.factor(at); got != 1 {
		t.Errorf("factor when answers come early = %.2f, want 1", got)
	}
}

func TestOneLateAnswerIsNoDrift(t *testing.T) {
	d := &drift{}
	d.note(now, 500*time.Millisecond, 100*time.Millisecond)
	if got := d.factor(now); got > 1.25 {
		t.Errorf("factor after one late answer = %.2f, want 1.25 at most", got)
	}
}
