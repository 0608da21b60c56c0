package agent

import (
	"errors"
	"strings"
	"testing"

	"figbank"
	"figbank/schema"
)

func newTestStream() answerCheck {
	return newAnswerCheck([]*schema.Header{{Name: "content-type", Value: []byte("text/event-stream")}})
}

// The bytes of a stream arrive in pieces of any size. What passes must not depend on their sizes.
func TestEventsPassWholeWhateverThePieces(t *testing.T) {
	const events = "id: 1\r\ndata: a\r\n\r\n: ping\n\ndata: b\ndata: c\n\n"
	const body = events + "\n\n" + "data: [DONE]\n\n"
	for size := 1; size <= len(body); size++ {
		check := newTestStream()
		var got string
		for rest := body; rest != ""; rest = rest[min(size, len(rest)):] {
			passed, err := check.add([]byte(rest[:min(size, len(rest))]))
			if err != nil {
				t.Fatalf("add() in pieces of %d = %v", size, err)
			}
			got += string(passed)
		}
		last, err := check.end()
		if want := events; got != want || err != nil || string(last) != "data: [DONE]\n\n" {
			t.Errorf("passed in pieces of %d = %q, then %q, %v, want %q, then the end marker", size, got, last, err, want)
		}
	}
}

// An engine sends bytes without end that never become an event. The agent must neither keep them all
// nor wait for an end.
func TestEndlessEventIsRefused(t *testing.T) {
	scenarios := []struct{ name, start, repeated string }{
		{name: "one line", start: "data: ", repeated: "a"},
		{name: "lines of one event", repeated: "data: a\n"},
		{name: "empty lines", repeated: "\n"},
		{name: "comments", repeated: ":\n\n"},
		{name: "events without data", repeated: "id: 1\n\n"},
		{name: "empty lines after the end marker", start: "data: [DONE]\n\n", repeated: "\n"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			check := newTestStream()
			_, err := check.add([]byte(s.start))
			piece := []byte(strings.Repeat(s.repeated, maxFrameBody/len(s.repeated)))
			sent := 0
			for ; err == nil && sent <= 2*maxEvent; sent += len(piece) {
				_, err = check.add(piece)
			}
			if !errors.As(err, new(figbank.ProtocolError)) {
				t.Errorf("add() after %d bytes = %v, want ProtocolError", sent, err)
			}
		})
	}
}
