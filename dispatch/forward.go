package dispatch

import (
	"errors"
	"io"
	"net/http"

	"figbank"
	"figbank/eventstream"
	"figbank/memory"
)

const (
	// maxBufferedAnswer is the largest body, in bytes, that is read completely before the
	// caller gets any of it, so that the request can be retried when the connection breaks.
	// Events of a stream are forwarded one by one instead.
	maxBufferedAnswer = 256 << 10
	// answerShare is the part of an answer or event, in bytes, for which there is memory even if the
	// budget is spent. copyBufferSize is the size of the buffer through which longer answers are copied.
	answerShare    = 16 << 10
	copyBufferSize = answerShare
)

type (
	// bufferedAnswer is a complete answer that has not been sent to the caller.
	bufferedAnswer struct {
		status int
		header http.Header
		body   []byte
		held   *memory.Reservation
	}
)

// forward sends one answer to the caller. If the response has already started, only an event
// stream can continue it; any other answer causes an error. An answer with a status of 500
// or more to a repeatable request is not sent if it has at most maxBufferedAnswer bytes, and there is
// memory for them: forward stores it in failedAnswer and returns FailedAnswerError. It returns that error too for an
// answer that must not be passed on.
func (r *run) forward(answer *Answer) error {
	if answer.Events && answer.Status == http.StatusOK {
		return r.forwardEvents(answer)
	}
	if !mayPassOn(answer, r.request.Route.Repeatable()) {
		r.recordFirstByte()
		return figbank.FailedAnswerError{Status: answer.Status}
	}
	held := r.settings.Memory.Reserve(memory.Answer, answerShare)
	if answer.Length > maxBufferedAnswer {
		return r.forwardUnbuffered(answer, nil, held)
	}
	body, err := held.ReadAll(answer.Body, figbank.Bytes(answer.Length), maxBufferedAnswer)
	r.recordFirstByte()
	if errors.As(err, new(memory.FullError)) || len(body) > maxBufferedAnswer {
		return r.forwardUnbuffered(answer, body, held)
	}
	if err != nil {
		held.Release()
		return figbank.UnknownOutcomeError{Detail: "reading the answer failed: " + err.Error()}
	}
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body, held: held}
	failed := answer.Status >= http.StatusInternalServerError
	if failed && r.request.Route.Repeatable() && !r.response.Started() && r.keepFailed(buffered) {
		return figbank.FailedAnswerError{Status: answer.Status}
	}
	defer held.Release()
	if r.response.Started() {
		return figbank.IncompleteAnswerError{Detail: "the stream could not be resumed at another upstream"}
	}
	return buffered.writeTo(r.response)
}

// mayPassOn reports whether a caller may be sent an answer as it is. A caller that is promised that its request has not run
// sends it again, so one that must not run twice needs proof. A request that may be repeated is told what the upstream says.
func mayPassOn(answer *Answer, repeatable bool) bool {
	return repeatable || !answer.ClaimsNotRun
}

// forwardEvents forwards each event as soon as it has arrived completely. Events of a route of streams
// have numbers; those of other routes may have none.
func (r *run) forwardEvents(answer *Answer) error {
	if r.request.Route.Streamed() {
		return r.forwardNumbered(answer)
	}
	events := eventstream.NewReader(answer.Body)
	events.Held = r.settings.Memory.Reserve(memory.Event, answerShare)
	defer events.Held.Release()
	for {
		event, id, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.endEvents(answer)
		}
		if err != nil {
			return err
		}
		if err := r.order.Check(id); err != nil {
			return eventstream.Quote(eventstream.FaultOrder, err, event)
		}
		r.recordEvent()
		r.startEvents(answer)
		if err := r.response.Write(event); err != nil {
			return err
		}
		if id != "" {
			r.lastEvent = id
		}
	}
}

// startEvents sends the answer's head to the caller, unless a head has already been sent
// by this or an earlier attempt.
func (r *run) startEvents(answer *Answer) {
	if !r.response.Started() {
		r.response.Head(answer.Status, answer.Header, -1)
	}
}

// forwardUnbuffered forwards an answer as it arrives, after its beginning, whose memory is held. After
// an error the caller is left with an incomplete answer.
func (r *run) forwardUnbuffered(answer *Answer, beginning []byte, held *memory.Reservation) error {
	defer held.Release()
	r.recordFirstByte()
	if r.response.Started() {
		return figbank.IncompleteAnswerError{Detail: "the stream could not be resumed at another upstream"}
	}
	r.response.Head(answer.Status, answer.Header, answer.Length)
	if len(beginning) > 0 {
		if err := r.response.Write(beginning); err != nil {
			return err
		}
	}
	held.Release()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := r.response.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return figbank.IncompleteAnswerError{Detail: err.Error()}
		}
	}
}

// keepFailed keeps an error answer for the caller in place of an earlier one. It returns false if there
// is no memory for it.
func (r *run) keepFailed(answer *bufferedAnswer) bool {
	if !answer.held.Grow(memory.HeaderSize(answer.header)) {
		return false
	}
	r.releaseFailed()
	r.failedAnswer = answer
	return true
}

// releaseFailed releases the memory of the error answer that is kept, if there is one.
func (r *run) releaseFailed() {
	if r.failedAnswer != nil {
		r.failedAnswer.held.Release()
	}
}

func (b *bufferedAnswer) writeTo(response ResponseWriter) error {
	response.Head(b.status, b.header, int64(len(b.body)))
	return response.Write(b.body)
}
