package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"figbank"
)

const (
	// maxBufferedAnswer is the largest body, in bytes, that is read completely before the
	// caller gets any of it, so that the request can be retried when the connection breaks.
	// Events of a stream are forwarded one by one instead.
	maxBufferedAnswer = 256 << 10
	// copyBufferSize is the size, in bytes, of the buffer through which longer answers are
	// copied.
	copyBufferSize = 32 << 10
)

type (
	// bufferedAnswer is a complete answer that has not been sent to the caller.
	bufferedAnswer struct {
		status int
		header http.Header
		body   []byte
	}

	// rejoinedBody is a body whose beginning has already been read. Its reader returns
	// that beginning again, then the rest.
	rejoinedBody struct {
		io.Reader
		io.Closer
	}
)

// forward sends one answer to the caller. If the response has already started, only an event
// stream can continue it; any other answer causes an error. An answer with a status of 500
// or more to a repeatable request is not sent if it has at most maxBufferedAnswer bytes:
// forward stores it in failedAnswer and returns FailedAnswerError.
func (r *run) forward(answer *Answer) error {
	if answer.Events && answer.Status == http.StatusOK {
		return r.forwardEvents(answer)
	}
	if answer.Length > maxBufferedAnswer {
		return r.forwardUnbuffered(answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	r.recordFirstByte()
	if err != nil {
		return figbank.UnknownOutcomeError{Detail: "reading the answer failed: " + err.Error()}
	}
	if len(body) > maxBufferedAnswer {
		answer.Body = rejoinedBody{Reader: io.MultiReader(bytes.NewReader(body), answer.Body), Closer: answer.Body}
		return r.forwardUnbuffered(answer)
	}
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError && r.request.Route.Repeatable() && !r.response.Started() {
		r.failedAnswer = buffered
		return figbank.FailedAnswerError{Status: answer.Status}
	}
	if r.response.Started() {
		return figbank.IncompleteAnswerError{Detail: "the stream could not be resumed at another upstream"}
	}
	return buffered.writeTo(r.response)
}

// forwardEvents forwards each event as soon as it has arrived completely. Events of a route of streams
// have numbers; those of other routes may have none.
func (r *run) forwardEvents(answer *Answer) error {
	if r.request.Route.Streamed() {
		return r.forwardNumbered(answer)
	}
	events := newEventReader(answer.Body)
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.endEvents(answer)
		}
		if err != nil {
			return err
		}
		if err := r.order.check(id); err != nil {
			return quoteBytes(faultOrder, err, event)
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

// forwardUnbuffered forwards an answer as it arrives. After an error the caller is left with
// an incomplete answer.
func (r *run) forwardUnbuffered(answer *Answer) error {
	r.recordFirstByte()
	if r.response.Started() {
		return figbank.IncompleteAnswerError{Detail: "the stream could not be resumed at another upstream"}
	}
	r.response.Head(answer.Status, answer.Header, answer.Length)
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

func (b *bufferedAnswer) writeTo(response ResponseWriter) error {
	response.Head(b.status, b.header, int64(len(b.body)))
	return response.Write(b.body)
}
