package gateway

import (
	"bytes"
	"crypto/sha256"
	"hash"
	"net/http"
	"slices"

	"figbank"
	"figbank/schema"
)

// maxRecordedBody is the largest response body, in bytes, that is recorded under an
// idempotency key. For a larger body only the digest is recorded.
const maxRecordedBody figbank.Bytes = 16 << 10

type (
	// responseWriter writes a response to the caller. It is not safe for concurrent use.
	responseWriter struct {
		writer  http.ResponseWriter
		id      figbank.RequestID
		head    *schema.AnswerHead
		started bool
		// recording is set for a response that is to be recorded. A small response is
		// recorded before it is sent.
		recording *recording
	}

	// recording collects a response for the ledger. released is set when the collected body
	// is sent to the caller, which happens when the body is complete or too large.
	recording struct {
		body     bytes.Buffer
		digest   hash.Hash
		released bool
	}
)

func newResponseWriter(writer http.ResponseWriter, id figbank.RequestID) *responseWriter {
	return &responseWriter{writer: writer, id: id}
}

// startRecording starts to record the response. Write then buffers the body until
// finish, or until the body becomes larger than maxRecordedBody.
func (r *responseWriter) startRecording() {
	r.recording = &recording{digest: sha256.New()}
}

// Started reports whether any part of the response has been sent to the caller.
func (r *responseWriter) Started() bool {
	return r.started
}

// SetHead stores the head, which is sent before the first part of the body.
func (r *responseWriter) SetHead(head *schema.AnswerHead) {
	r.head = head
}

// Write writes a piece of the body. It blocks while the caller reads slowly.
func (r *responseWriter) Write(piece []byte) error {
	if r.recording != nil {
		r.recording.digest.Write(piece)
		if !r.recording.released && figbank.Bytes(r.recording.body.Len()+len(piece)) <= maxRecordedBody {
			r.recording.body.Write(piece)
			return nil
		}
		if err := r.releaseRecording(); err != nil {
			return err
		}
	}
	return r.send(piece)
}

// recordedAnswer returns the complete response as it is stored in the ledger. It must be
// called before finish, which sends the buffered body.
func (r *responseWriter) recordedAnswer() *schema.RecordedAnswer {
	answer := &schema.RecordedAnswer{Status: r.head.GetStatus(), ContentType: contentType(r.head)}
	if r.recording.released {
		answer.Digest = r.recording.digest.Sum(nil)
		return answer
	}
	answer.Body = r.recording.body.Bytes()
	return answer
}

// finish sends the head and the buffered body, unless they have been sent already.
func (r *responseWriter) finish() error {
	if r.recording != nil {
		return r.releaseRecording()
	}
	return r.send(nil)
}

// replay sends a response that was recorded earlier.
func (r *responseWriter) replay(answer *schema.RecordedAnswer) error {
	r.head = &schema.AnswerHead{Status: answer.GetStatus(), Headers: []*schema.Header{
		{Name: "Content-Type", Value: answer.GetContentType()},
		{Name: "Figbank-Replayed", Value: []byte("yes")},
	}}
	return r.send(answer.GetBody())
}

// releaseRecording sends the buffered body. After that, Write no longer buffers.
func (r *responseWriter) releaseRecording() error {
	if r.recording.released {
		return nil
	}
	r.recording.released = true
	return r.send(r.recording.body.Bytes())
}

func (r *responseWriter) send(piece []byte) error {
	if !r.started {
		r.sendHead()
	}
	if _, err := r.writer.Write(piece); err != nil {
		return figbank.IncompleteAnswerError{Detail: "the caller is gone"}
	}
	return r.flush()
}

func (r *responseWriter) flush() error {
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return figbank.IncompleteAnswerError{Detail: "the caller is gone"}
	}
	return nil
}

func (r *responseWriter) sendHead() {
	r.started = true
	header := r.writer.Header()
	for _, h := range r.head.GetHeaders() {
		if !slices.Contains(droppedHeaders, http.CanonicalHeaderKey(h.GetName())) {
			header.Add(h.GetName(), string(h.GetValue()))
		}
	}
	header.Set(headerRequestID, string(r.id))
	header.Set(headerOutcome, outcomeName(schema.Outcome_OUTCOME_RAN))
	r.writer.WriteHeader(int(r.head.GetStatus()))
}

func contentType(head *schema.AnswerHead) []byte {
	for _, h := range head.GetHeaders() {
		if http.CanonicalHeaderKey(h.GetName()) == "Content-Type" {
			return h.GetValue()
		}
	}
	return nil
}
