package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"figbank"
	"figbank/crashers"

	"go.uber.org/zap"
)

const (
	// firstMargin is how long after the last request to weights that become too old
	// those that wait there are taken back.
	firstMargin = 400 * time.Millisecond
	// heldMost is the largest answer that is read whole before it is passed on, so
	// that one which breaks off can be tried again.
	heldMost = 256 << 10
	// copyBuffer is how much of a longer answer is held.
	copyBuffer = 32 << 10
)

type (
	// heldAnswer is a whole answer that has not been passed on.
	heldAnswer struct {
		status int
		header http.Header
		body   []byte
	}

	// joined is a body whose beginning has been read already.
	joined struct {
		io.Reader
		io.Closer
	}
)

// try sends the request to one upstream and passes the answer on. A nil error
// means that the whole answer has gone into the reply.
func (r *run) try(ctx context.Context, target *Target) error {
	target.Load.begin()
	defer target.Load.end()
	now := r.common.Clock.Now()
	ctx, stop := r.boundFirst(ctx, target)
	defer stop()
	answer, err := r.transport.Send(ctx, r.request, Hop{
		Address: target.Address, Upstream: target.ID, Version: target.Version,
		Left: r.request.Deadline.Sub(now), LastEvent: r.lastEvent,
	})
	if err != nil {
		if !errors.As(err, new(figbank.NotRunError)) {
			r.sent++
		}
		r.noteFailure(ctx, target, err)
		return err
	}
	defer answer.Body.Close()
	r.sent++
	r.upstream = target.ID
	target.Load.hear(r.common.Clock.Now(), answer.Load)
	err = r.pass(answer)
	if err == nil {
		now = r.common.Clock.Now()
		target.Load.succeed(now)
		r.crashers.Answered(now, r.fingerprint)
		return nil
	}
	r.noteFailure(ctx, target, err)
	return err
}

// boundFirst takes a request back whose upstream has not begun to answer by the
// time at which its weights become too old to begin on. The returned function
// ends the attempt; noteFirst lifts the bound.
func (r *run) boundFirst(ctx context.Context, target *Target) (context.Context, context.CancelFunc) {
	r.began, r.lifted, r.load = make(chan struct{}), false, target.Load
	bound, cancel := context.WithCancel(ctx)
	if target.OldAfter.IsZero() {
		return bound, cancel
	}
	left := target.OldAfter.Add(firstMargin).Sub(r.common.Clock.Now())
	go func(began <-chan struct{}) {
		select {
		case <-began:
		case <-bound.Done():
		case <-r.common.Clock.After(left):
			r.log.Info("taken back", zap.String("upstream", string(target.ID)), zap.Int64("version", target.Version))
			cancel()
		}
	}(r.began)
	return bound, cancel
}

// noteFailure keeps what a failed try tells about the upstream. What a caller
// that left has broken off tells nothing.
func (r *run) noteFailure(ctx context.Context, target *Target, err error) {
	now := r.common.Clock.Now()
	var notRun figbank.NotRunError
	proved := errors.As(err, &notRun)
	if took := now.Sub(r.sentAt); !r.lifted && took > r.predicted && !proved {
		// It would have begun even later.
		target.Load.late.note(now, took, r.predicted)
	}
	switch {
	case ctx.Err() != nil, errors.As(err, new(figbank.CallerGoneError)):
	case proved && notRun.Reason == figbank.ReasonUpstreamBusy:
		target.Load.busy(now)
	case errors.As(err, new(figbank.FailedAnswerError)):
		r.crashers.Answered(now, r.fingerprint)
		target.Load.fail(now, false)
	default:
		if !proved {
			r.crashers.Crashed(now, r.fingerprint, crashers.IncarnationOf(string(target.ID), target.Born), r.sentAt)
		}
		target.Load.fail(now, true)
	}
}

// pass takes one answer to the caller.
func (r *run) pass(answer *Answer) error {
	if answer.Events && answer.Status == http.StatusOK {
		return r.passEvents(answer)
	}
	if answer.Length > heldMost {
		return r.passLong(answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, heldMost+1))
	r.noteFirst()
	if err != nil {
		return figbank.UnknownOutcomeError{Detail: "the answer broke off: " + err.Error()}
	}
	if len(body) > heldMost {
		answer.Body = joined{Reader: io.MultiReader(bytes.NewReader(body), answer.Body), Closer: answer.Body}
		return r.passLong(answer)
	}
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError && r.request.Route.Repeatable() && !r.reply.Started() {
		r.held = held
		return figbank.FailedAnswerError{Status: answer.Status}
	}
	if r.reply.Started() {
		return figbank.CutAnswerError{Detail: "the stream could not go on at another upstream"}
	}
	return held.deliver(r.reply)
}

// passEvents passes each whole event on as it arrives.
func (r *run) passEvents(answer *Answer) error {
	events := newEventReader(answer.Body)
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			r.startEvents(answer)
			return r.reply.Write(nil)
		}
		if err != nil {
			return err
		}
		r.noteEvent()
		r.startEvents(answer)
		if err := r.reply.Write(event); err != nil {
			return err
		}
		if id != "" {
			r.lastEvent = id
		}
	}
}

// startEvents sends the head of the first upstream that had an event to give.
func (r *run) startEvents(answer *Answer) {
	if !r.reply.Started() {
		r.reply.Head(answer.Status, answer.Header, -1)
	}
}

// passLong passes an answer on as it arrives; when it breaks off, so does the
// caller's.
func (r *run) passLong(answer *Answer) error {
	r.noteFirst()
	if r.reply.Started() {
		return figbank.CutAnswerError{Detail: "the stream could not go on at another upstream"}
	}
	r.reply.Head(answer.Status, answer.Header, answer.Length)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := r.reply.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return figbank.CutAnswerError{Detail: err.Error()}
		}
	}
}

func (r *run) noteFirst() {
	if !r.lifted {
		r.lifted = true
		close(r.began)
		now := r.common.Clock.Now()
		r.load.late.note(now, now.Sub(r.sentAt), r.predicted)
		r.drift(r.request.Service).note(now, now.Sub(r.sentAt), r.predicted)
	}
	if r.firstAt == 0 {
		r.firstAt = r.common.Clock.Now().Sub(r.request.ReceivedAt)
	}
}

// noteEvent keeps the longest pause between events.
func (r *run) noteEvent() {
	now := r.common.Clock.Now()
	if r.firstAt > 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.noteFirst()
}

func (h *heldAnswer) deliver(reply Reply) error {
	reply.Head(h.status, h.header, int64(len(h.body)))
	return reply.Write(h.body)
}
