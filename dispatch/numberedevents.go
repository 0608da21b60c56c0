package dispatch

import (
	"errors"
	"io"
	"strconv"

	"figbank"
	"figbank/eventstream"
	"figbank/memory"
)

// forwardNumbered forwards the events of a stream whose events have numbers as soon as each has arrived
// completely.
func (r *run) forwardNumbered(answer *Answer) error {
	r.format.VersionField, r.format.Version = answer.VersionField, answer.Version
	events := eventstream.NewNumberedReader(answer.Body, &r.format)
	events.Held = r.settings.Memory.Reserve(memory.Event, answerShare)
	defer events.Held.Release()
	events.SkipMark()
	given := false
	defer func() {
		if given {
			r.lastEvent = strconv.FormatInt(r.order.Last(), 10)
		}
	}()
	for {
		event, number, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.endEvents(answer)
		}
		if err != nil {
			return err
		}
		if err := r.order.CheckNumber(number); err != nil {
			return eventstream.Quote(eventstream.FaultOrder, err, event)
		}
		events.Accept()
		r.recordEvent()
		r.startEvents(answer)
		if err := r.response.Write(event); err != nil {
			return err
		}
		given = true
	}
}

// endEvents ends the answer where the upstream's stream has ended after an event, if that is its end.
func (r *run) endEvents(answer *Answer) error {
	if r.events == 0 && !r.mayEndEmpty(answer) {
		return figbank.IncompleteAnswerError{Detail: "stream ended before its first event"}
	}
	r.startEvents(answer)
	return r.response.Write(nil)
}

// mayEndEmpty reports whether an answer without an event can be whole. Without a frame, the upstream may have
// ended right after the head. A stream of numbered events has one at least, unless the caller has had all.
func (r *run) mayEndEmpty(answer *Answer) bool {
	if r.lastEvent == "" {
		return !answer.Unframed && !r.request.Route.Streamed()
	}
	return !answer.Unframed || !r.response.Started()
}
