package dispatch

import (
	"net/http"
	"strings"
	"testing"
)

// An upstream answers a request for a stream with a success of another kind. The caller got it as the
// whole stream, also where it had asked to go on after an event.
func TestSuccessThatIsNoStreamIsNoAnswer(t *testing.T) {
	scenarios := []struct {
		name   string
		answer streamAnswer
		// delivered is set if the caller must get the answer.
		delivered bool
	}{
		{name: "another type", answer: streamAnswer{status: http.StatusOK, text: "oops", other: true}},
		{name: "another type, long", answer: streamAnswer{status: http.StatusOK, text: strings.Repeat("x", 2*maxBufferedAnswer), other: true}},
		{name: "another type, with events", answer: streamAnswer{status: http.StatusOK, text: soundEvents(1, 4), other: true}},
		{name: "created", answer: streamAnswer{status: http.StatusCreated, text: "oops"}},
		{name: "no content", answer: streamAnswer{status: http.StatusNoContent}},
		{name: "a part of the content", answer: streamAnswer{status: http.StatusPartialContent, text: soundEvents(3, 4)}},
		{name: "moved", answer: streamAnswer{status: http.StatusFound, text: "there"}, delivered: true},
		{name: "not found", answer: streamAnswer{status: http.StatusNotFound, text: "no"}, delivered: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for _, lastEvent := range []string{"", "2"} {
				got := serveStream(t, &streamScript{answers: []streamAnswer{s.answer}}, lastEvent, false)
				if got.response.Started() != s.delivered || (got.err == nil) != s.delivered {
					t.Errorf("answer after event %q = status %d, %.40q, %v, want it delivered: %t", lastEvent, got.response.status, got.response.body.String(), got.err, s.delivered)
				}
			}
			if s.delivered {
				return
			}
			sound := streamAnswer{status: http.StatusOK, text: soundEvents(1, 4)}
			got := serveStream(t, &streamScript{answers: []streamAnswer{s.answer, sound}}, "", true)
			if want := soundEvents(1, 4); got.err != nil || got.response.body.String() != want {
				t.Errorf("resumable stream = %.40q, %v, want %q of the next upstream", got.response.body.String(), got.err, want)
			}
		})
	}
}

// A stream of numbered events ended, with its frame, before the first of them. The caller got it as whole.
func TestStreamWithoutAnEventIsNotWhole(t *testing.T) {
	scenarios := []struct {
		name, lastEvent string
		answer          streamAnswer
		whole           bool
	}{
		{name: "framed", answer: streamAnswer{status: http.StatusOK}},
		{name: "framed, empty lines and a comment", answer: streamAnswer{status: http.StatusOK, text: "\n: ping\n\n"}},
		{name: "unframed", answer: streamAnswer{status: http.StatusOK, unframed: true}},
		{name: "framed, the caller has had events", lastEvent: "4", answer: streamAnswer{status: http.StatusOK}, whole: true},
		{name: "unframed, the caller has had events", lastEvent: "4", answer: streamAnswer{status: http.StatusOK, unframed: true}, whole: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := serveStream(t, &streamScript{answers: []streamAnswer{s.answer}}, s.lastEvent, false)
			if got.response.Started() != s.whole || (got.err == nil) != s.whole {
				t.Errorf("stream = status %d, %v, want it whole: %t", got.response.status, got.err, s.whole)
			}
		})
	}
}
