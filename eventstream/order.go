package eventstream

import (
	"bytes"
	"strconv"

	"figbank"
)

// firstEventID is the highest id with which a numbered stream begins.
const firstEventID = 1

// Order checks the ids of a stream's events, over all upstreams that send parts of it. The zero
// value is the order of a stream that has not begun.
type Order struct {
	last int64
	// known is set once last is.
	known bool
	// steps is the number of events that followed another. consecutive is set while all ids are
	// one higher than the one before, so that a missing event shows.
	steps       int
	consecutive bool
}

// NewOrder returns the order of a stream that the caller already has up to the event with an
// id, or from its beginning if that is empty.
func NewOrder(lastEvent string) Order {
	last, err := strconv.ParseInt(lastEvent, 10, 64)
	return Order{last: last, known: err == nil, consecutive: true}
}

// Check returns a ProtocolError if an event with this id can't come next: if it or a later one has
// come before, or if one is missing. It accepts events without a number.
func (o *Order) Check(id string) error {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return nil //nolint:nilerr // ids need not be numbers
	}
	return o.CheckNumber(number)
}

// CheckNumber is Check for an event with a number.
func (o *Order) CheckNumber(number int64) error {
	switch {
	case !o.known:
		o.known, o.consecutive = true, true
		o.steps = 0
		if number <= firstEventID {
			o.steps = 1
		}
	case number <= o.last:
		return figbank.ProtocolError{Detail: "event " + strconv.FormatInt(number, 10) + " after event " + strconv.FormatInt(o.last, 10)}
	case number == o.last+1:
		o.steps++
	case o.consecutive && o.steps > 0:
		return figbank.ProtocolError{Detail: "events are missing between " + strconv.FormatInt(o.last, 10) + " and " + strconv.FormatInt(number, 10)}
	default:
		o.consecutive = false
	}
	o.last = number
	return nil
}

// Last returns the id of the last event that was checked.
func (o *Order) Last() int64 {
	return o.last
}

// wellFormed reports whether bytes between two empty lines are an event, each line of it a field or a
// comment (HTML Living Standard, section 9.2.5), with at least one field that the standard names. The
// head or the text of an error that an upstream writes into its stream is no event.
func wellFormed(event []byte) bool {
	known := false
	event = bytes.TrimPrefix(event, []byte("\uFEFF"))
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, _, colon := bytes.Cut(line, []byte(":"))
		standard := isStandardField(name) || colon && len(name) == 0
		if !standard && (!colon || !isToken(name)) {
			return false
		}
		known = known || standard
	}
	// Empty lines between events are allowed.
	return known || len(bytes.TrimSpace(event)) == 0
}

func isStandardField(name []byte) bool {
	switch string(name) {
	case "data", "id", "event", "retry":
		return true
	}
	return false
}

func isToken(name []byte) bool {
	for _, c := range name {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && c != '-' && c != '_' {
			return false
		}
	}
	return len(name) > 0
}
