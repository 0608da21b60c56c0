package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"figbank"
)

const (
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// eventBuffer holds a few events.
	eventBuffer = 4 << 10
)

// eventReader splits a stream into whole events, as the living HTML standard
// defines them (section 9.2): lines up to an empty one.
type eventReader struct {
	reader *bufio.Reader
	event  bytes.Buffer
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer)}
}

// next returns the bytes of the next whole event, and its id if it has one. At
// the clean end of the stream it returns io.EOF; a stream that ends inside an
// event was cut.
func (r *eventReader) next() (event []byte, id string, err error) {
	r.event.Reset()
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event.Write(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && r.event.Len() < maxEvent:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, "", figbank.ProtocolError{Detail: "event is too long"}
		case errors.Is(err, io.EOF) && r.event.Len() > 0:
			return nil, "", figbank.CutAnswerError{Detail: "stream ended inside an event"}
		case errors.Is(err, io.EOF):
			return nil, "", io.EOF
		case err != nil:
			return nil, "", figbank.CutAnswerError{Detail: err.Error()}
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return r.event.Bytes(), eventID(r.event.Bytes()), nil
		}
	}
}

// eventID returns the value of the last id field.
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
