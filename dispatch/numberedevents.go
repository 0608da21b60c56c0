package dispatch

import (
	"errors"
	"io"
	"strconv"

	"figbank"
)

// forwardNumbered forwards the events of a stream whose events have numbers as soon as each has arrived
// completely.
func (r *run) forwardNumbered(answer *Answer) error {
	r.format.versionField, r.format.version = answer.VersionField, answer.Version
	events := newNumberedReader(answer.Body, &r.format)
	events.skipMark()
	given := false
	defer func() {
		if given {
			r.lastEvent = strconv.FormatInt(r.order.last, 10)
		}
	}()
	for {
		event, number, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.endEvents(answer)
		}
		if err != nil {
			return err
		}
		if err := r.order.checkNumber(number); err != nil {
			return quoteBytes(faultOrder, err, event)
		}
		events.accept()
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
