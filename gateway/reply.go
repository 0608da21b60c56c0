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

// recordedMost is the largest answer body that is recorded under an idempotency
// key; of larger ones only the digest is.
const recordedMost figbank.Bytes = 16 << 10

type (
	// reply passes an answer on to the caller. It is used by one goroutine.
	reply struct {
		writer http.ResponseWriter
		id     figbank.RequestID
		head   *schema.AnswerHead
		sent   bool
		// record is set when the answer is to be recorded before it is sent.
		record *record
	}

	// record collects an answer for the ledger.
	record struct {
		body   bytes.Buffer
		digest hash.Hash
		passed bool
	}
)

func newReply(writer http.ResponseWriter, id figbank.RequestID) *reply {
	return &reply{writer: writer, id: id}
}

// recordAnswer keeps the answer back until finish, as far as it is small.
func (r *reply) recordAnswer() {
	r.record = &record{digest: sha256.New()}
}

// Started tells whether the caller has received any part of the answer.
func (r *reply) Started() bool {
	return r.sent
}

// SetHead keeps the head until the first write.
func (r *reply) SetHead(head *schema.AnswerHead) {
	r.head = head
}

// Write passes a piece of the body on. It blocks while the caller is slow.
func (r *reply) Write(piece []byte) error {
	if r.record != nil {
		r.record.digest.Write(piece)
		if !r.record.passed && figbank.Bytes(r.record.body.Len()+len(piece)) <= recordedMost {
			r.record.body.Write(piece)
			return nil
		}
		if err := r.release(); err != nil {
			return err
		}
	}
	return r.pass(piece)
}

// recorded is the ledger's form of the whole answer.
func (r *reply) recorded() *schema.RecordedAnswer {
	answer := &schema.RecordedAnswer{Status: r.head.GetStatus(), ContentType: contentType(r.head)}
	if r.record.passed {
		answer.Digest = r.record.digest.Sum(nil)
		return answer
	}
	answer.Body = r.record.body.Bytes()
	return answer
}

// finish sends what was kept back.
func (r *reply) finish() error {
	if r.record != nil {
		return r.release()
	}
	return r.pass(nil)
}

// replay sends an answer that was recorded earlier.
func (r *reply) replay(answer *schema.RecordedAnswer) error {
	r.head = &schema.AnswerHead{Status: answer.GetStatus(), Headers: []*schema.Header{
		{Name: "Content-Type", Value: answer.GetContentType()},
		{Name: "Figbank-Replayed", Value: "yes"},
	}}
	return r.pass(answer.GetBody())
}

func (r *reply) release() error {
	if r.record.passed {
		return nil
	}
	r.record.passed = true
	return r.pass(r.record.body.Bytes())
}

func (r *reply) pass(piece []byte) error {
	if !r.sent {
		r.sendHead()
	}
	if _, err := r.writer.Write(piece); err != nil {
		return figbank.CutAnswerError{Detail: "the caller is gone"}
	}
	return r.flush()
}

func (r *reply) flush() error {
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return figbank.CutAnswerError{Detail: "the caller is gone"}
	}
	return nil
}

func (r *reply) sendHead() {
	r.sent = true
	header := r.writer.Header()
	for _, h := range r.head.GetHeaders() {
		if !slices.Contains(hopHeaders, http.CanonicalHeaderKey(h.GetName())) {
			header.Add(h.GetName(), h.GetValue())
		}
	}
	header.Set(headerRequestID, string(r.id))
	header.Set(headerOutcome, nameOf(schema.Outcome_OUTCOME_RAN))
	r.writer.WriteHeader(int(r.head.GetStatus()))
}

func contentType(head *schema.AnswerHead) string {
	for _, h := range head.GetHeaders() {
		if http.CanonicalHeaderKey(h.GetName()) == "Content-Type" {
			return h.GetValue()
		}
	}
	return ""
}
