// Package eventstream splits a stream of server-sent events into complete events, and checks that they are events, and
// come in order, over all upstreams that send parts of it.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"figbank"
	"figbank/memory"
)

const (
	// MaxEvent is the largest size of an event in bytes.
	MaxEvent = 256 << 10
	// BufferSize is the size of the read buffer in bytes. It holds a few typical events.
	BufferSize = 4 << 10
)

// Reader splits a stream of server-sent events (HTML Living Standard, section 9.2)
// into complete events, each of which ends with an empty line.
type Reader struct {
	reader *bufio.Reader
	event  bytes.Buffer
	// Held is the memory for event.
	Held *memory.Reservation
}

// NewReader returns a reader of the events in a body.
func NewReader(body io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(body, BufferSize)}
}

// Next returns the bytes of the next complete event, and its id if it has one. The
// bytes are valid until the next call. It returns io.EOF when the stream ends after a
// complete event or is empty, IncompleteAnswerError when it ends inside an event or cannot
// be read, ProtocolError when an event is too long or is none, and memory.FullError when there is no
// memory for it.
func (r *Reader) Next() (event []byte, id string, err error) {
	r.event.Reset()
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event.Write(line)
		switch {
		case r.event.Len() > MaxEvent:
			return nil, "", NewError(FaultLength, "event is too long", r.event.Bytes())
		case !r.Held.Fit(figbank.Bytes(r.event.Cap())):
			return nil, "", memory.FullError{}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && r.event.Len() > 0:
			return nil, "", figbank.IncompleteAnswerError{Detail: "stream ended inside an event"}
		case errors.Is(err, io.EOF):
			return nil, "", io.EOF
		case err != nil:
			return nil, "", figbank.IncompleteAnswerError{Detail: err.Error()}
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if !wellFormed(r.event.Bytes()) {
			return nil, "", NewError(FaultGrammar, "bytes in the stream are no event", r.event.Bytes())
		}
		return r.event.Bytes(), eventID(r.event.Bytes()), nil
	}
}

// eventID returns the value of the event's last id field, empty when there is none.
func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if found {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return id
}
