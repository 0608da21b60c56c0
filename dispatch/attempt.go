package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"figbank"
	"figbank/answers"
	"figbank/crashers"
	"figbank/eventstream"
	"figbank/load"
	"figbank/memory"

	"go.uber.org/zap"
)

const (
	// cancelMargin is how long after Target.OldAfter an attempt is canceled if its answer has
	// not begun. From OldAfter on, the target gets no new requests.
	cancelMargin = 400 * time.Millisecond
	// eventsToProve is the number of events, or a complete answer, that prove that the parts of
	// the prompt do not crash the upstream. It may still send what it has written when it ends.
	eventsToProve = 2
)

// attempt sends the request to one upstream and forwards the answer. A nil error means
// that the whole answer was written to the response.
func (r *run) attempt(ctx context.Context, target *Target) error {
	target.Load.Begin()
	defer target.Load.End()
	defer r.endPlace()
	now := r.common.Clock.Now()
	ctx, stop := r.cancelWhenOld(ctx, target)
	defer stop()
	answer, err := r.transport.Send(ctx, r.request, Attempt{
		Address: target.Address, Upstream: target.ID, Version: target.Version,
		TimeLeft: r.request.Deadline.Sub(now), LastEvent: r.lastEvent,
		RecordLimit: func(limit figbank.RequestsPerSecond) {
			r.recordLimit(target, load.LimitNotice{Named: true, PerSecond: limit})
		},
		RecordNotice: func(notice load.Notice) { r.recordNotice(target, notice) },
		MaySend:      r.maySend(target),
		Ranked:       r.entrant.Ranked, Rank: r.rank,
	})
	if err != nil {
		r.recordFailure(ctx, target, err)
		return err
	}
	defer answer.Body.Close()
	r.upstream, r.framed = target.ID, !answer.Unframed
	target.Load.RecordReport(r.common.Clock.Now(), answer.Load)
	if !answer.NamesLimit && answer.Status < http.StatusMultipleChoices {
		r.recordLimit(target, load.LimitNotice{})
	}
	err = r.deliver(answer)
	if err == nil {
		now = r.common.Clock.Now()
		target.Load.RecordSuccess(now)
		r.crashers.RecordAnswer(now, r.identity.Fingerprint)
		if answer.Status < http.StatusMultipleChoices && (r.events > 0 || !answer.Events) {
			r.crashers.RecordBegun(now, r.identity.Parts)
		}
		return nil
	}
	r.recordFailure(ctx, target, err)
	return err
}

// recordLimit stores what the upstream says of its limit now.
func (r *run) recordLimit(target *Target, notice load.LimitNotice) {
	notice.At = r.common.Clock.Now()
	if target.Load.RecordLimit(notice) {
		r.log.Info("limit of the upstream changed", zap.String("upstream", string(target.ID)), zap.Bool("named", notice.Named),
			zap.Float64("perSecond", float64(notice.PerSecond)))
	}
}

// cancelWhenOld returns a context that is canceled cancelMargin after the target's weights
// become too old. recordFirstByte prevents the cancellation once the answer has begun.
// Targets whose OldAfter is zero have no such limit. cancelWhenOld also resets the state of
// the current attempt: began, hasBegun, events, load and resumedAfter. The returned function releases the context
// and must be called when the attempt has ended.
func (r *run) cancelWhenOld(ctx context.Context, target *Target) (context.Context, context.CancelFunc) {
	r.began, r.hasBegun, r.events, r.load = make(chan struct{}), false, 0, target.Load
	r.resumedAfter = r.lastEvent
	attemptCtx, cancel := context.WithCancel(ctx)
	if target.OldAfter.IsZero() {
		return attemptCtx, cancel
	}
	left := target.OldAfter.Add(cancelMargin).Sub(r.common.Clock.Now())
	go func(began <-chan struct{}) {
		select {
		case <-began:
		case <-attemptCtx.Done():
		case <-r.common.Clock.After(left):
			r.log.Info("attempt cancelled, weights too old", zap.String("upstream", string(target.ID)), zap.Int64("version", target.Version))
			cancel()
		}
	}(r.began)
	return attemptCtx, cancel
}

// recordFailure updates the upstream's load, and the set of requests suspected of crashing
// upstreams, after a failed attempt. If ctx, the context of the attempt, has ended or the
// caller has gone, it updates only the upstream's lateness.
func (r *run) recordFailure(ctx context.Context, target *Target, err error) {
	now := r.common.Clock.Now()
	var notRun figbank.NotRunError
	provedNotRun := errors.As(err, &notRun)
	if took := now.Sub(r.sentAt); !r.hasBegun && took > r.predicted && !provedNotRun {
		// The answer would have begun even later, so the time so far is a lower bound.
		target.Load.Late.Record(now, took, r.predicted)
	}
	switch {
	case ctx.Err() != nil, errors.As(err, new(figbank.CallerGoneError)):
	case provedNotRun && notRun.Reason == figbank.ReasonUpstreamLeaving:
		// The upstream was not asked.
	case provedNotRun && notRun.Reason == figbank.ReasonUpstreamBusy:
		target.Load.RecordBusy(now)
	case errors.As(err, new(eventstream.Error)), errors.As(err, new(answers.FieldNameError)):
		// Who sends wrong bytes has not crashed.
		target.Load.RecordGarbage(now)
	case errors.As(err, new(memory.FullError)):
		// The request is not to blame.
		target.Load.RecordFailure(now, false)
	case errors.As(err, new(figbank.FailedAnswerError)):
		r.crashers.RecordAnswer(now, r.identity.Fingerprint)
		target.Load.RecordFailure(now, false)
	default:
		if !provedNotRun {
			r.crashers.RecordCrash(now, r.suspected(), crashers.IncarnationOf(string(target.ID), target.BornUnixMilli), r.sentAt)
		}
		target.Load.RecordFailure(now, true)
	}
}

// suspected returns what may have caused the loss of the upstream in the current attempt: the
// request, and its parts unless the answer had begun.
func (r *run) suspected() crashers.Request {
	if r.events >= eventsToProve {
		return crashers.Request{Fingerprint: r.identity.Fingerprint}
	}
	return r.identity
}

// recordFirstByte records that the answer to the current attempt has begun, so that
// cancelWhenOld no longer cancels the attempt. It also records the actual and the predicted
// time to the first byte in the upstream's lateness and the service's drift. The first call
// of a request sets firstByteTime.
func (r *run) recordFirstByte() {
	if !r.hasBegun {
		r.hasBegun = true
		close(r.began)
		now := r.common.Clock.Now()
		if r.place != nil {
			r.place.Begun()
		}
		r.load.Late.Record(now, now.Sub(r.sentAt), r.predicted)
		r.drift(r.request.Service).Record(now, now.Sub(r.sentAt), r.predicted)
	}
	if r.firstByteTime == 0 {
		r.firstByteTime = r.common.Clock.Now().Sub(r.request.ReceivedAt)
		if r.settings.Began != nil && r.request.Workspace != nil {
			r.settings.Began(r.request.Workspace.Name)
		}
	}
}

// endPlace gives the place of the current attempt back.
func (r *run) endPlace() {
	if r.place != nil {
		r.place.End()
		r.place = nil
	}
}

// recordEvent records the arrival of an event and updates the longest pause.
func (r *run) recordEvent() {
	r.events++
	now := r.common.Clock.Now()
	if r.firstByteTime > 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.recordFirstByte()
	if r.events == eventsToProve {
		r.crashers.RecordBegun(now, r.identity.Parts)
	}
}
