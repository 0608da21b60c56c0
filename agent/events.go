package agent

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"figbank"
	"figbank/schema"
)

const (
	eventStreamType = "text/event-stream"
	// streamEndMarker is the data of the last event of a stream.
	streamEndMarker = "[DONE]"
	// maxEvent limits the bytes that an engine may send until an event with data is complete.
	maxEvent      = 256 << 10
	dataField     = "data"
	byteOrderMark = "\uFEFF"
)

type (
	// answerCheck selects the bytes of an answer that may be sent to the gateway, and decides whether
	// the answer is complete.
	answerCheck interface {
		// add takes the next bytes of the body and returns those that may be sent now. After an error,
		// no more bytes may be sent.
		add(piece []byte) ([]byte, error)
		// end returns the bytes that may be sent last. It returns an error if the answer is not
		// complete.
		end() ([]byte, error)
	}

	// wholeBody checks an answer that is not a stream of events. HTTP shows whether it is complete.
	wholeBody struct{}

	// eventStream checks a stream of server-sent events (HTML Living Standard, section 9.2). It lets
	// only complete events pass. The stream must end with an event whose data is streamEndMarker,
	// since a truncated stream cannot be recognized otherwise.
	eventStream struct {
		// pending holds the event that is not complete yet, from start. Its lines up to checked are
		// fields or comments.
		pending        []byte
		start, checked int
		event          eventFields
		// unproductive counts the bytes since the last complete event with data.
		unproductive int
		begun        bool
		// marker is the event with streamEndMarker, once it has arrived.
		marker []byte
	}

	// eventFields is what is known of the lines of one event. data is the first data line.
	eventFields struct {
		lines, dataLines int
		data             string
	}
)

// newAnswerCheck returns the check for an answer with these headers.
func newAnswerCheck(headers []*schema.Header) answerCheck {
	for _, header := range headers {
		mediaType, _, _ := strings.Cut(string(header.GetValue()), ";")
		if strings.EqualFold(header.GetName(), "Content-Type") && strings.EqualFold(strings.TrimSpace(mediaType), eventStreamType) {
			return &eventStream{}
		}
	}
	return wholeBody{}
}

func (wholeBody) add(piece []byte) ([]byte, error) { return piece, nil }

func (wholeBody) end() ([]byte, error) { return nil, nil }

// add returns the events that are complete. It returns a ProtocolError at the first line that is
// neither a field nor a comment, and for bytes after the end marker.
func (s *eventStream) add(piece []byte) ([]byte, error) {
	unsearched := len(s.pending)
	s.pending = append(s.pending, piece...)
	s.unproductive += len(piece)
	defer s.dropComplete()
	var complete []byte
	for {
		length := bytes.IndexByte(s.pending[unsearched:], '\n') + 1
		if length == 0 {
			break
		}
		unsearched += length
		if err := s.addLine(s.pending[s.checked:unsearched], &complete); err != nil {
			return complete, err
		}
	}
	if s.unproductive > maxEvent {
		return complete, figbank.ProtocolError{Detail: "event is too long"}
	}
	return complete, nil
}

// dropComplete removes the complete events from pending.
func (s *eventStream) dropComplete() {
	s.pending = s.pending[:copy(s.pending, s.pending[s.start:])]
	s.checked -= s.start
	s.start = 0
}

// addLine checks a line. If the line ends an event, addLine appends the event to complete.
func (s *eventStream) addLine(line []byte, complete *[]byte) error {
	s.checked += len(line)
	content := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	if !s.begun {
		content = bytes.TrimPrefix(content, []byte(byteOrderMark))
	}
	s.begun = true
	if len(content) == 0 {
		s.endEvent(complete)
		return nil
	}
	if s.marker != nil {
		return figbank.ProtocolError{Detail: "bytes after the end of the stream"}
	}
	if !s.event.add(content) {
		return figbank.ProtocolError{Detail: "bytes in the stream are no event"}
	}
	return nil
}

// endEvent appends the pending event to complete, unless it is the end marker or has no lines.
func (s *eventStream) endEvent(complete *[]byte) {
	event := s.pending[s.start:s.checked]
	if s.event.dataLines > 0 {
		s.unproductive = len(s.pending) - s.checked
	}
	switch {
	case s.event.lines == 0:
	case s.event.dataLines == 1 && s.event.data == streamEndMarker:
		s.marker = bytes.Clone(event)
	default:
		*complete = append(*complete, event...)
	}
	s.start, s.event = s.checked, eventFields{}
}

// end returns the event with the end marker, if nothing but that was missing.
func (s *eventStream) end() ([]byte, error) {
	if s.marker == nil || len(s.pending) > 0 {
		return nil, figbank.IncompleteAnswerError{Detail: "stream ended without its end marker"}
	}
	return s.marker, nil
}

// add reports whether a line is a field of the standard or a comment, and notes it.
func (e *eventFields) add(line []byte) bool {
	if !utf8.Valid(line) || bytes.ContainsAny(line, "\x00\r") {
		return false
	}
	name, value, colon := strings.Cut(string(line), ":")
	e.lines++
	switch name {
	case dataField:
		if e.dataLines == 0 {
			e.data = strings.TrimPrefix(value, " ")
		}
		e.dataLines++
		return true
	case "event", "id", "retry":
		return true
	}
	return colon && name == ""
}
