// Package load keeps what a gateway knows of the load and health of upstreams: its own counts, those of other gateways, what
// upstreams say of themselves, and how well they keep to predictions.
package load

import (
	"sync/atomic"
	"time"

	"figbank"
)

const (
	// reportLifetime is how long the request count that an upstream reports is used.
	reportLifetime = 600 * time.Millisecond
	// peerCountLifetime is how long the request counts that other gateways report are used.
	peerCountLifetime = 1500 * time.Millisecond
	// busyPause is how long an upstream gets no requests after it refused one because it
	// was busy.
	busyPause = 120 * time.Millisecond
	// minPause and maxPause bound how long an upstream gets no requests after a broken
	// connection. The pause doubles with each such failure in a row.
	minPause = 300 * time.Millisecond
	maxPause = 3 * time.Second
	// failureWeight is the weight of the newest outcome in the moving failure rate.
	failureWeight = 0.1
	// failurePenalty is added to the predicted time of an upstream whose requests all
	// fail; lower failure rates add a proportional part.
	failurePenalty = 1200 * time.Millisecond
	perMille       = 1000
	// maxRatePause bounds how long an upstream gets no requests after its keeper refused one
	// because of the upstream's rate.
	maxRatePause = 200 * time.Millisecond
)

// Report is an upstream's own count of its requests and slots.
type Report struct {
	Running, Waiting, Slots int
	// Slowdown tells how long work takes there now: 1 as usual, 2 if twice as long; 0 if it does not say.
	Slowdown float64
}

// Upstream is a gateway's knowledge of the load and health of one incarnation of an
// upstream. Successive tables share it. Its times are in Unix nanoseconds, 0 for never. It
// is safe for concurrent use.
type Upstream struct {
	// own is how many of this gateway's requests the upstream holds.
	own atomic.Int64
	// peersReported is the sum of the other gateways' reported counts, as of peersReportedAt.
	peersReported, peersReportedAt atomic.Int64
	// upstreamReported is the upstream's reported count without this gateway's requests, as of
	// upstreamReportedAt.
	upstreamReported, upstreamReportedAt atomic.Int64
	pausedUntil                          atomic.Int64
	failedInRow                          atomic.Int64
	failuresPerMille                     atomic.Int64
	succeededAt                          atomic.Int64
	rateFullUntil                        atomic.Int64
	// Turns are those of this gateway while the rate of requests to the upstream is limited.
	Turns SharedRate
	named namedLimit
	// Standing is what the upstream has said of further requests.
	Standing Standing
	// Speed tells how long work takes there now.
	Speed Speed
	// Late tells how much later than predicted it begins to answer.
	Late Lateness
}

// Outstanding estimates how many requests the upstream holds: this gateway's own, plus
// those of the other gateways. The requests of the other gateways are counted by the upstream
// and by these gateways. Outstanding uses the higher of the two counts, and ignores a count
// that is not recent.
func (l *Upstream) Outstanding(now time.Time) int {
	others := int64(0)
	if now.UnixNano()-l.upstreamReportedAt.Load() < int64(reportLifetime) {
		others = l.upstreamReported.Load()
	}
	if now.UnixNano()-l.peersReportedAt.Load() < int64(peerCountLifetime) {
		others = max(others, l.peersReported.Load())
	}
	return int(l.own.Load() + others)
}

// Age returns the age of the newest count from the upstream or the other gateways, 0
// when there is none.
func (l *Upstream) Age(now time.Time) time.Duration {
	newest := max(l.upstreamReportedAt.Load(), l.peersReportedAt.Load())
	if newest == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, newest))
}

// Own returns how many of this gateway's requests the upstream holds.
func (l *Upstream) Own() int64 {
	return l.own.Load()
}

// Begin counts the start of one of this gateway's requests.
func (l *Upstream) Begin() { l.own.Add(1) }

// End counts the end of one of this gateway's requests.
func (l *Upstream) End() { l.own.Add(-1) }

// RecordReport stores the count that the upstream reports. A nil report changes nothing.
func (l *Upstream) RecordReport(now time.Time, report *Report) {
	if report == nil {
		return
	}
	l.upstreamReported.Store(max(0, int64(report.Running+report.Waiting)-l.own.Load()))
	l.upstreamReportedAt.Store(now.UnixNano())
	l.Speed.Record(now, report.Slowdown, true)
}

// RecordPeers stores how many requests the other gateways together have at the upstream.
func (l *Upstream) RecordPeers(now time.Time, running int64) {
	l.peersReported.Store(running)
	l.peersReportedAt.Store(now.UnixNano())
}

// RecordSuccess records a complete answer.
func (l *Upstream) RecordSuccess(now time.Time) {
	l.failedInRow.Store(0)
	l.succeededAt.Store(now.UnixNano())
	l.updateFailureRate(0)
}

// RecordFailure records an error answer, or a missing or incomplete answer if broken is set.
// A broken attempt pauses the upstream. The pause is longer after each broken attempt in a
// row.
func (l *Upstream) RecordFailure(now time.Time, broken bool) {
	l.updateFailureRate(perMille)
	if !broken {
		return
	}
	l.pauseAfter(now, l.failedInRow.Add(1))
}

// RecordGarbage records an answer with bytes that are none. The upstream runs, so that it is paused only
// from the second in a row on: where all upstreams of a service garble a part of their answers, one must
// be left to go on at.
func (l *Upstream) RecordGarbage(now time.Time) {
	l.updateFailureRate(perMille)
	l.pauseAfter(now, l.failedInRow.Add(1)-1)
}

// pauseAfter pauses the upstream after that many broken attempts in a row.
func (l *Upstream) pauseAfter(now time.Time, row int64) {
	if row <= 0 {
		return
	}
	pause := min(minPause<<min(row-1, 6), maxPause)
	l.pausedUntil.Store(now.Add(pause).UnixNano())
}

// RecordBusy records that the upstream refused a request because it was busy.
func (l *Upstream) RecordBusy(now time.Time) {
	l.pausedUntil.Store(max(l.pausedUntil.Load(), now.Add(busyPause).UnixNano()))
}

// RecordRateFull records that the keeper refused a request because of the upstream's rate. Half
// the time between two requests at that rate, no other one is tried.
func (l *Upstream) RecordRateFull(now time.Time, rate figbank.RequestsPerSecond) {
	l.rateFullUntil.Store(now.Add(min(period(rate)/2, maxRatePause)).UnixNano())
}

// RateFull reports whether the upstream's keeper has just refused a request because of its rate.
func (l *Upstream) RateFull(now time.Time) bool {
	return now.UnixNano() < l.rateFullUntil.Load()
}

// Limit returns the newest limit that the upstream has named, and false if it has never named one.
func (l *Upstream) Limit() (LimitNotice, bool) {
	if notice := l.named.newest.Load(); notice != nil {
		return *notice, true
	}
	return LimitNotice{}, false
}

// RecordLimit stores a limit that another gateway has heard of, unless a newer one is known. It
// reports whether the limit has begun or ended with it.
func (l *Upstream) RecordLimit(notice LimitNotice) bool {
	return l.named.record(notice)
}

// Paused reports whether the upstream gets no requests for now.
func (l *Upstream) Paused(now time.Time) bool {
	return now.UnixNano() < l.pausedUntil.Load()
}

// Penalty returns the time to add to the upstream's predicted time for its failures, so that
// fast failures do not attract requests.
func (l *Upstream) Penalty() time.Duration {
	return failurePenalty * time.Duration(l.failuresPerMille.Load()) / perMille
}

// SucceededWithin reports whether the last complete answer is younger than d.
func (l *Upstream) SucceededWithin(now time.Time, d time.Duration) bool {
	return now.UnixNano()-l.succeededAt.Load() < int64(d)
}

// updateFailureRate adds an outcome, 0 or perMille, to the moving failure rate.
func (l *Upstream) updateFailureRate(outcome int64) {
	old := l.failuresPerMille.Load()
	l.failuresPerMille.Store(old + int64(failureWeight*float64(outcome-old)))
}
