package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"figbank"
)

const (
	// maxEvent is the largest size of an event in bytes.
	maxEvent = 256 << 10
	// eventBuffer is the size of the read buffer in bytes. It holds a few typical events.
	eventBuffer = 4 << 10
)

// eventReader splits a stream of server-sent events (HTML Living Standard, section 9.2)
// into complete events, each of which ends with an empty line.
type eventReader struct {
	reader *bufio.Reader
	event  bytes.Buffer
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer)}
}

// next returns the bytes of the next complete event, and its id if it has one. The
// bytes are valid until the next call. It returns io.EOF when the stream ends after a
// complete event or is empty, IncompleteAnswerError when it ends inside an event or cannot
// be read, and ProtocolError when an event is too long or is none.
func (r *eventReader) next() (event []byte, id string, err error) {
	r.event.Reset()
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event.Write(line)
		switch {
		case r.event.Len() > maxEvent:
			return nil, "", newStreamError(faultLength, "event is too long", r.event.Bytes())
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
			return nil, "", newStreamError(faultGrammar, "bytes in the stream are no event", r.event.Bytes())
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
