package feed

import (
	"context"
	"time"

	"figbank"
)

const (
	// silenceTimeout is how long a feed may receive nothing before it counts as lost.
	silenceTimeout = 1800 * time.Millisecond
	// openTimeout is how long a process waits for a replica's first update. It is long, because
	// the process asks another replica meanwhile, and each attempt that is given up early costs an
	// overloaded replica work for nobody.
	openTimeout = 5 * time.Second
	// maxTimerDelay is how late a timer may fire while the process runs normally.
	maxTimerDelay = 200 * time.Millisecond
	// unreadGrace is how long a process that has not run waits for what its peers sent meanwhile.
	unreadGrace = 500 * time.Millisecond
)

// silenceError reports a feed on which nothing has arrived for too long.
type silenceError struct{}

// Error describes the silence.
func (silenceError) Error() string {
	return "nothing was received in time"
}

// watchSilence calls cancel and returns when nothing has arrived on received for a timeout: first, and
// silenceTimeout after the first message. If this process itself has not run for part of that time, it
// waits for unreadGrace more.
func watchSilence(ctx context.Context, cancel context.CancelFunc, clock figbank.Clock, received <-chan struct{}, first time.Duration) {
	timeout, repeated := first, false
	for {
		began := clock.Now()
		select {
		case <-ctx.Done():
			return
		case <-received:
			timeout, repeated = silenceTimeout, false
		case <-clock.After(timeout):
			if repeated || !ranLate(clock.Now().Sub(began), timeout) {
				cancel()
				return
			}
			timeout, repeated = unreadGrace, true
		}
	}
}

// ranLate reports whether this process itself has not run for part of the time in which it
// received nothing: it was frozen, or had no processor time. What its peer sent meanwhile may
// still have to be read, so the silence proves nothing.
func ranLate(elapsed, timeout time.Duration) bool {
	return elapsed > timeout+maxTimerDelay
}

// signal tells watchSilence that a message was received. It never blocks.
func signal(received chan<- struct{}) {
	select {
	case received <- struct{}{}:
	default:
	}
}

// openingFeed is what a process knows when it decides whether to wait longer for a new feed.
type openingFeed struct {
	// waited is the time since the feed was started, sinceAsked that since another replica was asked
	// for a late one. asked counts those.
	waited, sinceAsked time.Duration
	asked              int
	// connected is the number of replicas that feed the process.
	connected int
}

// openedLate decides whether another replica is asked because a new feed has not delivered. A process
// that is fed by another replica can wait. One that is not asks one more after connectPatience, the
// next after twice that: when all replicas are slow, asking all of them makes them slower.
func openedLate(f openingFeed) bool {
	if f.waited >= openTimeout {
		return true
	}
	patience := connectPatience << min(f.asked, 4)
	return f.connected == 0 && f.waited >= connectPatience && f.sinceAsked >= patience
}
