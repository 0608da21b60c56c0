package dispatch

import (
	"sync/atomic"
	"time"
)

const (
	// reportLifetime is how long an upstream's own count is believed.
	reportLifetime = 600 * time.Millisecond
	// peersLifetime is how long another gateway's count is believed.
	peersLifetime = 1500 * time.Millisecond
	// busyPause is how long an upstream that refused for lack of room is left alone.
	busyPause = 120 * time.Millisecond
	// firstPause and lastPause bound how long an upstream that failed is left alone.
	firstPause = 300 * time.Millisecond
	lastPause  = 3 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.1
	// failurePenalty is what an upstream whose every request fails is set back by.
	failurePenalty = 1200 * time.Millisecond
	perMille       = 1000
)

// Load is what a gateway knows of the load and health of one incarnation of an
// upstream. It outlives tables and is safe for concurrent use.
type Load struct {
	own atomic.Int64
	// peers is the sum over the gateways that tell, as of peersAt.
	peers, peersAt atomic.Int64
	// others is the upstream's count less this gateway's own, as of othersAt.
	others, othersAt atomic.Int64
	pausedUntil      atomic.Int64
	failedInRow      atomic.Int64
	failuresPerMille atomic.Int64
	succeededAt      atomic.Int64
	cold             coldLimit
	late             lateness
}

// Outstanding estimates the requests that the upstream holds.
func (l *Load) Outstanding(now time.Time) int {
	others := int64(0)
	if now.UnixNano()-l.othersAt.Load() < int64(reportLifetime) {
		others = l.others.Load()
	}
	if now.UnixNano()-l.peersAt.Load() < int64(peersLifetime) {
		others = max(others, l.peers.Load())
	}
	return int(l.own.Load() + others)
}

// Age is how old the newest count from elsewhere is, 0 when there is none.
func (l *Load) Age(now time.Time) time.Duration {
	newest := max(l.othersAt.Load(), l.peersAt.Load())
	if newest == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, newest))
}

// Own is how many of this gateway's requests the upstream holds.
func (l *Load) Own() int64 {
	return l.own.Load()
}

// begin and end bracket one request.
func (l *Load) begin() { l.own.Add(1) }
func (l *Load) end()   { l.own.Add(-1) }

// hear notes the upstream's own count.
func (l *Load) hear(now time.Time, report *ReportedLoad) {
	if report == nil {
		return
	}
	l.others.Store(max(0, int64(report.Running+report.Waiting)-l.own.Load()))
	l.othersAt.Store(now.UnixNano())
}

// HearPeers notes what the other gateways hold there.
func (l *Load) HearPeers(now time.Time, running int64) {
	l.peers.Store(running)
	l.peersAt.Store(now.UnixNano())
}

// succeed notes a whole answer.
func (l *Load) succeed(now time.Time) {
	l.failedInRow.Store(0)
	l.succeededAt.Store(now.UnixNano())
	l.rate(0)
}

// fail notes an answer that failed, or none; broken connections pause the
// upstream longer each time.
func (l *Load) fail(now time.Time, broken bool) {
	l.rate(perMille)
	if !broken {
		return
	}
	row := l.failedInRow.Add(1)
	pause := min(firstPause<<min(row-1, 6), lastPause)
	l.pausedUntil.Store(now.Add(pause).UnixNano())
}

// busy notes a refusal for lack of room.
func (l *Load) busy(now time.Time) {
	l.pausedUntil.Store(max(l.pausedUntil.Load(), now.Add(busyPause).UnixNano()))
}

// Paused tells whether the upstream is left alone for now.
func (l *Load) Paused(now time.Time) bool {
	return now.UnixNano() < l.pausedUntil.Load()
}

// Penalty sets an upstream back that fails often, however fast it answers.
func (l *Load) Penalty() time.Duration {
	return failurePenalty * time.Duration(l.failuresPerMille.Load()) / perMille
}

// succeededWithin tells whether the upstream has answered well lately.
func (l *Load) succeededWithin(now time.Time, d time.Duration) bool {
	return now.UnixNano()-l.succeededAt.Load() < int64(d)
}

func (l *Load) rate(outcome int64) {
	old := l.failuresPerMille.Load()
	l.failuresPerMille.Store(old + int64(failureWeight*float64(outcome-old)))
}
