package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// resetTransport answers each attempt with a stream without a frame, whose connection is reset after text. As
// the kernel does, it reports the reset once, and the end after it.
type resetTransport struct{ text string }

type resetBody struct {
	io.Reader
	reported bool
}

func (b *resetBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if err == io.EOF && !b.reported {
		b.reported = true
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (s *resetTransport) Send(context.Context, *Request, Attempt) (*Answer, error) {
	body := &resetBody{Reader: strings.NewReader(s.text)}
	return &Answer{Status: http.StatusOK, Length: -1, Unframed: true, Events: true, Body: io.NopCloser(body)}, nil
}

// A stream without a frame was reset. A look at what comes next took the error, and the end that the
// connection reported after it was taken for the end of a whole stream.
func TestResetIsNotTheEndOfAStream(t *testing.T) {
	scenarios := []struct{ name, text, lastEvent string }{
		{name: "after an event", text: "id: 1\ndata: a\n\n"},
		{name: "after two events", text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{name: "after a comment", text: "id: 1\ndata: a\n\n: c\n"},
		{name: "before the first event, the caller has some", lastEvent: "3"},
		{name: "before the first event"},
		{name: "after a byte order mark", text: "\uFEFF", lastEvent: "3"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d, _ := newStreamDispatcher(&streamScript{answers: make([]streamAnswer, 2)})
			d.transport = &resetTransport{text: s.text}
			request := streamRequest("b")
			request.LastEvent = s.lastEvent
			response := &responseRecorder{}
			if err := d.Serve(context.Background(), request, response); err == nil {
				t.Errorf("Serve() = nil with %q, want an error", response.body.String())
			}
		})
	}
}
