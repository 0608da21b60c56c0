package answers

import (
	"errors"
	"strings"
	"testing"
)

// A line of a head whose name is none must be found wherever its bytes are split, and only in the head.
func TestHeadLines(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n"
	scenarios := []struct {
		name, content string
		// want is the beginning of the line that the error quotes, empty if there is no error.
		want string
	}{
		{name: "fields", content: start + "A: b\r\nc-1:\r\nD:\t e : f\r\n\r\n"},
		{name: "no fields", content: start + "\r\n"},
		{name: "lines that end with a line feed alone", content: "HTTP/1.1 200 OK\nA: b\n\n"},
		{name: "all bytes of names", content: start + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n"},
		{name: "a body", content: start + "A: b\r\n\r\n no field\r\n"},
		{name: "a body behind line feeds", content: start + "A: b\n\nno field"},
		{name: "a long name", content: start + strings.Repeat("a", 2*maxQuotedName) + ": b\r\n\r\n"},
		{name: "an informational head", content: "HTTP/1.1  103 Early Hints\r\nA: b\r\n\r\n" + start + "A: b\r\n\r\n no field"},
		{name: "a status behind blanks", content: "HTTP/1.1   200 OK\r\n\r\n no field"},
		{name: "blank in an informational head", content: "HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\n" + start + "\r\n", want: "A "},
		{name: "blank behind informational heads", content: "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\n" + start + "A : b\r\n\r\n", want: "A "},
		{name: "blank before the colon", content: start + "A: b\r\nContent-Length : 3\r\n\r\n", want: "Content-Length "},
		{name: "blank inside", content: start + "Content Length: 3\r\n", want: "Content "},
		{name: "blank at the start of the first line", content: start + " A: b\r\n", want: " "},
		{name: "blank at the start", content: start + "A: b\r\n Content-Length: 3\r\n", want: " "},
		{name: "tab at the start", content: start + "A: b\r\n\tc\r\n", want: "\t"},
		{name: "tab before the colon", content: start + "A\t: b\r\n", want: "A\t"},
		{name: "control byte", content: start + "A\x01: b\r\n", want: "A\x01"},
		{name: "zero", content: start + "\x00: b\r\n", want: "\x00"},
		{name: "delete", content: start + "A\x7f: b\r\n", want: "A\x7f"},
		{name: "byte beyond ASCII", content: start + "A\xe9: b\r\n", want: "A\xe9"},
		{name: "separator", content: start + "A(b): c\r\n", want: "A("},
		{name: "no name", content: start + ": b\r\n", want: ":"},
		{name: "no colon", content: start + "A\r\n", want: "A\r"},
		{name: "carriage return alone", content: start + "\rA: b\r\n", want: "A"},
		{name: "long name with a blank", content: start + strings.Repeat("a", 2*maxQuotedName) + " : b\r\n", want: strings.Repeat("a", maxQuotedName) + " "},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for split := range len(s.content) {
				head := &headLines{}
				err := head.add([]byte(s.content[:split]))
				if err == nil {
					err = head.add([]byte(s.content[split:]))
				}
				var got FieldNameError
				if errors.As(err, &got) != (s.want != "") || got.Start != s.want {
					t.Errorf("split at %d: add() = %v, want a line that begins with %q", split, err, s.want)
				}
			}
		})
	}
}
