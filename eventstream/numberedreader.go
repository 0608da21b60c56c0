package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"figbank"
	"figbank/memory"
)

// maxFiller is how many bytes of empty lines and comments may stand between two events. They are no
// progress of a stream.
const maxFiller = 4 << 10

// NumberedReader splits a stream of numbered events into events that its format allows. It leaves out
// empty lines and comments between them.
type NumberedReader struct {
	reader *bufio.Reader
	format *Format
	// event holds the bytes of the event, line the start of its last line, filler the number of bytes
	// that were left out before it.
	event  []byte
	line   int
	filler int
	// stated is what the lines of the event state.
	stated numberedEvent
	// Held is the memory for event.
	Held *memory.Reservation
}

// NewNumberedReader returns a reader of the numbered events in a body. It checks them by format.
func NewNumberedReader(body io.Reader, format *Format) *NumberedReader {
	return &NumberedReader{reader: bufio.NewReaderSize(&stickyReader{source: body}, BufferSize), format: format}
}

// SkipMark removes a byte order mark, which may stand at the very start of a stream.
func (r *NumberedReader) SkipMark() {
	mark := []byte("\uFEFF")
	if start, err := r.reader.Peek(1); err != nil || start[0] != mark[0] {
		return
	}
	if start, err := r.reader.Peek(len(mark)); err == nil && bytes.Equal(start, mark) {
		_, _ = r.reader.Discard(len(mark))
	}
}

// Next returns the bytes of the next event, valid until the next call, and its number. It returns
// io.EOF when the stream ends after an event or is empty, IncompleteAnswerError when it ends inside an
// event or cannot be read, memory.FullError when there is no memory for it, and Error when the bytes are no event, or have arrived with
// bytes that are none.
func (r *NumberedReader) Next() (event []byte, number int64, err error) {
	r.event, r.line, r.filler, r.stated = r.event[:0], 0, 0, numberedEvent{}
	for {
		if err := r.readLine(); err != nil {
			return nil, 0, err
		}
		line := bytes.TrimSuffix(r.event[r.line:len(r.event)-1], []byte("\r"))
		switch {
		case r.line == 0 && isFiller(line):
			if err := r.skipFiller(line); err != nil {
				return nil, 0, err
			}
			continue
		case len(line) == 0:
			return r.event, r.stated.number, r.complete()
		}
		if fault := r.format.add(&r.stated, line); fault != NoFault {
			return nil, 0, NewError(fault, "bytes in the stream are no event", r.event[r.line:])
		}
		r.line = len(r.event)
	}
}

// Accept records that the last event is passed on.
func (r *NumberedReader) Accept() {
	r.format.accept(&r.stated)
}

// readLine appends the next line, with its end, to the event.
func (r *NumberedReader) readLine() error {
	if start := r.start(); len(start) > 0 && !r.format.mayBegin(start) {
		return NewError(FaultField, "bytes in the stream are no event", start)
	}
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if err := r.checkSize(); err != nil {
			return err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return figbank.IncompleteAnswerError{Detail: "stream ended inside an event"}
		case errors.Is(err, io.EOF):
			return io.EOF
		case err != nil:
			return figbank.IncompleteAnswerError{Detail: err.Error()}
		}
		return nil
	}
}

// checkSize returns an error if there are too many bytes without an event, or no memory for them.
func (r *NumberedReader) checkSize() error {
	switch {
	case len(r.event) > MaxEvent:
		return NewError(FaultLength, "event is too long", r.event)
	case !r.Held.Fit(figbank.Bytes(cap(r.event))):
		return memory.FullError{}
	case r.line == 0 && len(r.event) > 0 && isFiller(r.event) && r.filler+len(r.event) > maxFiller:
		return r.tooMuchFiller()
	}
	return nil
}

// start waits for the next line and returns what has arrived of it if its end has not. Bytes that begin
// no line need no more.
func (r *NumberedReader) start() []byte {
	if r.reader.Buffered() == 0 {
		if _, err := r.reader.Peek(1); err != nil {
			return nil
		}
	}
	arrived, _ := r.reader.Peek(r.reader.Buffered())
	if bytes.IndexByte(arrived, '\n') >= 0 {
		return nil
	}
	return arrived
}

// skipFiller leaves a line between two events out.
func (r *NumberedReader) skipFiller(line []byte) error {
	if !isText(line) {
		return NewError(FaultText, "bytes in the stream are no event", r.event)
	}
	r.filler += len(r.event)
	if r.filler > maxFiller {
		return r.tooMuchFiller()
	}
	r.event = r.event[:0]
	return nil
}

func (r *NumberedReader) tooMuchFiller() error {
	return NewError(FaultFiller, "too many bytes between two events", r.event)
}

// complete checks a whole event and what has arrived behind it.
func (r *NumberedReader) complete() error {
	if fault := r.format.check(&r.stated); fault != NoFault {
		return NewError(fault, "bytes in the stream are no event", r.event)
	}
	arrived, _ := r.reader.Peek(r.reader.Buffered())
	if !r.follows(arrived) {
		return NewError(FaultFollower, "bytes behind an event are no event", arrived)
	}
	return nil
}

// follows reports whether the bytes can follow the event. Behind the first event of a stream too, they
// may only be fields that it has.
func (r *NumberedReader) follows(arrived []byte) bool {
	if len(arrived) == 0 {
		return true
	}
	format := *r.format
	format.accept(&r.stated)
	return format.mayFollow(arrived)
}
