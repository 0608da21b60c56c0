package eventstream

import (
	"bytes"
	"math"
	"unicode/utf8"
)

// The fields that a server-sent event may have (HTML Living Standard, section 9.2.5).
const (
	fieldID fieldSet = 1 << iota
	fieldData
	fieldEvent
	fieldRetry
	fieldVersion
)

type (
	// fieldSet is a set of fields.
	fieldSet uint8

	// Format tells which events a stream of numbered events may have: all their lines are known
	// fields, one is a number, at least one holds data. The zero value is that of a stream that has not begun.
	Format struct {
		// VersionField is the name of the field that states the version of the weights, as the first
		// one of an event, empty if there is none.
		VersionField string
		// Version is the version that the answer has stated last, 0 if none.
		Version int64
		// first are the fields of the stream's first event, 0 before it. Later ones have no others.
		first fieldSet
	}

	// numberedEvent is what the lines of an event so far have stated.
	numberedEvent struct {
		fields  fieldSet
		number  int64
		version int64
	}
)

// add adds a line, without its end, to the event. It returns a fault if the event can't have this line.
func (f *Format) add(event *numberedEvent, line []byte) Fault {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	field := f.field(name)
	switch {
	case field == 0, f.first != 0 && field&^(f.first|fieldVersion) != 0:
		return FaultField
	case !isText(line):
		return FaultText
	}
	valid := true
	switch field {
	case fieldID:
		event.number, valid = parseNumber(value)
		valid = valid && event.fields&fieldID == 0
	case fieldVersion:
		event.version, valid = parseNumber(value)
		valid = valid && event.fields == 0 && event.version >= f.Version
	case fieldRetry:
		_, valid = parseNumber(value)
	}
	event.fields |= field
	switch {
	case valid:
		return NoFault
	case field == fieldID:
		return FaultNumber
	case field == fieldVersion:
		return FaultVersion
	}
	return FaultGrammar
}

// check returns a fault if the event, whose lines have all been added, lacks something.
func (f *Format) check(event *numberedEvent) Fault {
	switch {
	case event.fields&fieldID == 0:
		return FaultNumber
	case event.fields&fieldData == 0:
		return FaultData
	}
	return NoFault
}

// accept records an event that is passed on.
func (f *Format) accept(event *numberedEvent) {
	if f.first == 0 {
		f.first = event.fields
	}
	f.Version = max(f.Version, event.version)
}

// mayFollow reports whether the bytes that have arrived after an event can be the beginning of
// another, or lines without a meaning.
func (f *Format) mayFollow(arrived []byte) bool {
	var next numberedEvent
	for len(arrived) > 0 {
		line, rest, complete := bytes.Cut(arrived, []byte("\n"))
		if !complete {
			return f.mayBegin(line)
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0 && next.fields != 0:
			return f.check(&next) == NoFault
		case isFiller(line) && next.fields == 0:
			if !isText(line) {
				return false
			}
		case f.add(&next, line) != NoFault:
			return false
		}
		arrived = rest
	}
	return true
}

// mayBegin reports whether a line of an event can begin with these bytes.
func (f *Format) mayBegin(start []byte) bool {
	start = bytes.TrimSuffix(start, []byte("\r"))
	name, _, complete := bytes.Cut(start, []byte(":"))
	if bytes.ContainsAny(start, "\x00\r") {
		return false
	}
	if complete {
		return len(name) == 0 || f.field(name) != 0
	}
	for _, known := range [...]string{"id", "data", "event", "retry", f.VersionField} {
		if len(start) <= len(known) && known[:len(start)] == string(start) {
			return true
		}
	}
	return false
}

// field returns the field of that name, 0 if there is none.
func (f *Format) field(name []byte) fieldSet {
	switch string(name) {
	case "id":
		return fieldID
	case "data":
		return fieldData
	case "event":
		return fieldEvent
	case "retry":
		return fieldRetry
	case "":
		return 0
	case f.VersionField:
		return fieldVersion
	}
	return 0
}

// isFiller reports whether a line between two events means nothing: it is empty or a comment.
func isFiller(line []byte) bool {
	return len(line) == 0 || line[0] == ':'
}

// isText reports whether a line is text. Its end has been removed.
func isText(line []byte) bool {
	return bytes.IndexByte(line, 0) < 0 && bytes.IndexByte(line, '\r') < 0 && utf8.Valid(line)
}

// parseNumber parses a decimal number without a sign or zeros before it.
func parseNumber(text []byte) (int64, bool) {
	if len(text) == 0 || text[0] == '0' && len(text) > 1 {
		return 0, false
	}
	number := int64(0)
	for _, c := range text {
		digit := int64(c) - '0'
		if digit < 0 || digit > 9 || number > (math.MaxInt64-digit)/10 {
			return 0, false
		}
		number = 10*number + digit
	}
	return number, true
}
