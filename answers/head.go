package answers

import (
	"bytes"
	"strconv"
	"strings"
)

// maxQuotedName limits how many bytes of a name an error quotes.
const maxQuotedName = 64

// informational is the first digit of the status of a head that is followed by another one.
const informational = '1'

// Where the next byte of a head belongs.
const (
	// inProtocol is the first word of the status line, beforeStatus the blanks behind it.
	inProtocol position = iota
	beforeStatus
	inStatus
	atLineStart
	inName
	inValue
	// afterReturn follows the carriage return of the empty line that ends a head.
	afterReturn
	afterHead
)

type (
	// headLines checks the names of the fields of a final head, and of informational ones before it, while their bytes arrive.
	// net/http accepts names that hold a blank, so that a field that decides where the body ends is overlooked, and takes a line
	// that begins with a blank for more of the value before, which RFC 9112, section 5.2 allows to refuse. The zero value
	// is at the start of a head.
	headLines struct {
		position position
		// final is set unless another head follows this one.
		final bool
		// name is the beginning of the current line's name.
		name []byte
	}

	position int

	// FieldNameError reports a line of a head that does not begin with the name of a field. Start is the beginning of the line.
	FieldNameError struct {
		Start string
	}
)

// Error quotes the beginning of the line.
func (e FieldNameError) Error() string {
	return "line of an answer's head has no valid field name: " + strconv.QuoteToASCII(e.Start)
}

// add checks the next bytes, and ignores what follows the final head. It returns a FieldNameError for a line without a name.
func (h *headLines) add(content []byte) error {
	for len(content) > 0 && h.position != afterHead {
		if h.position == inStatus || h.position == inValue {
			end := bytes.IndexByte(content, '\n')
			if end < 0 {
				return nil
			}
			h.position, content = atLineStart, content[end+1:]
			continue
		}
		if !h.next(content[0]) {
			return FieldNameError{Start: string(append(h.name, content[0]))}
		}
		content = content[1:]
	}
	return nil
}

// next takes a byte that belongs neither to the status nor to a value. It returns false if the byte cannot stand there.
func (h *headLines) next(c byte) bool {
	switch h.position {
	case inProtocol, beforeStatus:
		h.nextOfStatusLine(c)
		return true
	case atLineStart:
		h.name = h.name[:0]
	}
	switch {
	case c == '\n' && h.position != inName:
		h.end()
	case c == '\r' && h.position == atLineStart:
		h.position = afterReturn
	case c == ':' && h.position == inName:
		h.position = inValue
	case isNameByte(c) && h.position != afterReturn:
		h.position = inName
		if len(h.name) < maxQuotedName {
			h.name = append(h.name, c)
		}
	default:
		return false
	}
	return true
}

// nextOfStatusLine takes a byte before the status, or the first one of it. net/http refuses lines without a status.
func (h *headLines) nextOfStatusLine(c byte) {
	switch {
	case c == '\n':
		h.position = atLineStart
	case c == ' ':
		h.position = beforeStatus
	case h.position == beforeStatus:
		h.position, h.final = inStatus, c != informational
	}
}

// end is the end of a head.
func (h *headLines) end() {
	if h.final {
		h.position = afterHead
		return
	}
	*h = headLines{name: h.name}
}

// isNameByte reports whether the name of a field may hold c (RFC 9110, section 5.6.2).
func isNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
