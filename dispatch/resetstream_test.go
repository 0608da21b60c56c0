package dispatch

import (
	"errors"
	"io"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"figbank"
)

// resetReader returns the text, then once that the connection was reset, then its end.
type resetReader struct {
	text  io.Reader
	reset bool
}

func (r *resetReader) Read(buffer []byte) (int, error) {
	n, err := r.text.Read(buffer)
	if errors.Is(err, io.EOF) && !r.reset {
		r.reset = true
		return n, unix.ECONNRESET
	}
	return n, err
}

// A stream without a frame whose connection was reset between two events was delivered as if complete, as
// a look at the next bytes took the error away.
func TestResetIsNoEndOfAStream(t *testing.T) {
	for _, text := range []string{"", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n: ping\n\n", "id: 1\ndata: a\n", "\uFEFFid: 1\ndata: a\n\n"} {
		events := newNumberedReader(&resetReader{text: strings.NewReader(text)}, &eventFormat{})
		events.skipMark()
		var err error
		for err == nil {
			_, _, err = events.next()
		}
		if !errors.As(err, new(figbank.IncompleteAnswerError)) {
			t.Errorf("end of %q after a reset = %v, want IncompleteAnswerError", text, err)
		}
	}
}
