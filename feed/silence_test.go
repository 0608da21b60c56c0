package feed

import (
	"context"
	"testing"
	"time"

	"figbank/clock"
)

// All replicas are slow at once, as after a loss of power, and hundreds of processes wait for their
// first update. Each that asks all replicas adds to what makes them slow.
func TestOpenedLate(t *testing.T) {
	scenarios := []struct {
		name string
		feed openingFeed
		want bool
	}{
		{name: "just begun", feed: openingFeed{waited: connectPatience / 2, sinceAsked: time.Hour}},
		{name: "no replica feeds the process", feed: openingFeed{waited: connectPatience, sinceAsked: time.Hour}, want: true},
		{name: "another one was asked just now", feed: openingFeed{waited: connectPatience, sinceAsked: time.Millisecond, asked: 1}},
		{name: "another one was asked some time ago", feed: openingFeed{waited: 3 * connectPatience, sinceAsked: 2 * connectPatience, asked: 1}, want: true},
		{name: "another replica feeds the process", feed: openingFeed{waited: 3 * connectPatience, sinceAsked: time.Hour, connected: 1}},
		{name: "never delivered", feed: openingFeed{waited: openTimeout, connected: 2}, want: true},
	}
	for _, s := range scenarios {
		if got := openedLate(s.feed); got != s.want {
			t.Errorf("%s: openedLate() = %t, want %t", s.name, got, s.want)
		}
	}
}

// A process that was frozen wakes with timers that are overdue, and what its peers sent meanwhile is
// still unread. If it took that for silence, it would drop all its feeds and subscribe anew.
func TestOwnPauseIsNoSilence(t *testing.T) {
	scenarios := []struct {
		name    string
		elapsed time.Duration
		want    bool
	}{
		{name: "the timer fired on time", elapsed: silenceTimeout + time.Millisecond},
		{name: "the timer fired a little late", elapsed: silenceTimeout + maxTimerDelay},
		{name: "the process was frozen", elapsed: silenceTimeout + 7*time.Second, want: true},
		{name: "the process had no processor time", elapsed: silenceTimeout + 2*maxTimerDelay, want: true},
	}
	for _, s := range scenarios {
		if got := ranLate(s.elapsed, silenceTimeout); got != s.want {
			t.Errorf("%s: ranLate() = %t, want %t", s.name, got, s.want)
		}
	}
}

func TestSilenceEndsAFeed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received, began := make(chan struct{}, 1), time.Now()
	signal(received)
	watchSilence(ctx, cancel, clock.System{}, received, time.Hour)
	if ctx.Err() == nil {
		t.Error("watchSilence() returned without a call of cancel")
	}
	if took := time.Since(began); took < silenceTimeout {
		t.Errorf("watchSilence() = after %v, want %v at least", took, silenceTimeout)
	}
}
