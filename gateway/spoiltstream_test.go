package gateway

import (
	"io"
	"net/http"
	"testing"
)

const (
	soundEvent = "data: {\"n\":1}\n\n"
	endEvent   = "data: [DONE]\n\n"
)

// sendToStream returns the result of a request whose answer has the given media type and body.
func sendToStream(t *testing.T, mediaType, body string) result {
	t.Helper()
	h := newHarness(t, nil)
	h.declare(plain(false))
	_, service := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", mediaType)
		_, _ = io.WriteString(w, body)
	})
	h.addAgent(service, 8)
	return h.send(http.MethodPost, "/services/s/jobs", "", "body")
}

// An engine in trouble wrote bytes into its stream that were no events. They were passed on, and
// the answer counted as complete if it ended in the end marker's text.
func TestBytesThatAreNoEventsAreNotPassedOn(t *testing.T) {
	const events = "text/event-stream"
	scenarios := []struct {
		name, mediaType, body string
		// want is what may be passed on.
		want string
	}{
		{name: "text before the marker", body: soundEvent + "no event " + endEvent, want: soundEvent},
		{name: "text that ends like the marker", body: soundEvent + "out of memory [DONE]\n\n", want: soundEvent},
		{name: "data that ends like the marker", body: soundEvent + "data: out of memory [DONE]\n\n", want: soundEvent + "data: out of memory [DONE]\n\n"},
		{name: "comment that ends like the marker", body: soundEvent + ": [DONE]\n\n", want: soundEvent + ": [DONE]\n\n"},
		{name: "marker without its empty line", body: soundEvent + "data: [DONE]\n", want: soundEvent},
		{name: "marker without a line end", body: soundEvent + "data: [DONE]", want: soundEvent},
		{name: "marker in an unfinished event", body: "data: {\"n\":\ndata: [DONE]\n\n", want: "data: {\"n\":\ndata: [DONE]\n\n"},
		{name: "bare marker", body: "[DONE]"},
		{name: "bytes behind the marker", body: soundEvent + endEvent + "no event", want: soundEvent},
		{name: "event behind the marker", body: soundEvent + endEvent + soundEvent, want: soundEvent},
		{name: "marker twice", body: soundEvent + endEvent + endEvent, want: soundEvent},
		{name: "head of an error", body: soundEvent + "HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nbad\n\n" + endEvent, want: soundEvent},
		{name: "header fields beside data", body: soundEvent + "Content-Length: 3\ndata: x\n\n" + endEvent, want: soundEvent},
		{name: "text of an error", body: soundEvent + "Traceback (most recent call last):\n\n" + endEvent, want: soundEvent},
		{name: "JSON of an error", body: soundEvent + "{\"error\": \"no memory\"}\n\n" + endEvent, want: soundEvent},
		{name: "zero bytes", body: soundEvent + "\x00\x00\x00\x00\n\n" + endEvent, want: soundEvent},
		{name: "zero byte in data", body: soundEvent + "data: a\x00b\n\n" + endEvent, want: soundEvent},
		{name: "binary data", body: soundEvent + "data: \xff\xfe\x80\n\n" + endEvent, want: soundEvent},
		{name: "binary bytes first", body: "\xff\xfe\x80\x01\n\n" + endEvent},
		{name: "carriage returns as line ends", body: soundEvent + "data: a\r\rdata: b\r\r\n\n" + endEvent, want: soundEvent},
		{name: "media type in another case", mediaType: "Text/Event-Stream", body: soundEvent, want: soundEvent},
		{name: "media type with a parameter in another case", mediaType: "TEXT/EVENT-STREAM; Charset=UTF-8", body: soundEvent, want: soundEvent},
		{name: "media type with space before it", mediaType: " text/event-stream", body: soundEvent, want: soundEvent},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			mediaType := events
			if s.mediaType != "" {
				mediaType = s.mediaType
			}
			got := sendToStream(t, mediaType, s.body)
			switch {
			case s.want == "" && (got.status != http.StatusBadGateway || got.outcome != outcomeUnknown):
				t.Errorf("answer = %d, %s, %q, want 502, Unknown", got.status, got.outcome, got.body)
			case s.want != "" && (got.body != s.want || !got.incomplete):
				t.Errorf("body = %q, incomplete %t, want %q, incomplete", got.body, got.incomplete, s.want)
			}
		})
	}
}

func TestSoundStreamsArePassedOnWhole(t *testing.T) {
	scenarios := []struct {
		name, mediaType, body string
		// want is the body passed on, if it is not body.
		want string
	}{
		{name: "end marker alone", body: endEvent},
		{name: "events with all fields", body: "event: token\nid: 1\nretry: 5\ndata: a\ndata: b\n\n" + endEvent},
		{name: "fields without a space or a value", body: "data:a\nid\n\ndata:[DONE]\n\n"},
		{name: "comments", body: ": ping\n\n" + soundEvent + ":\n\n" + endEvent},
		{name: "carriage return and line feed", body: "data: a\r\n\r\ndata: [DONE]\r\n\r\n"},
		{name: "byte order mark", body: "\uFEFF" + soundEvent + endEvent},
		{name: "empty lines between events", body: "\n\n" + soundEvent + "\n" + endEvent + "\n", want: soundEvent + endEvent},
		{name: "data in other scripts", body: "data: größer 更大\tx\n\n" + endEvent},
		{name: "charset", mediaType: "text/event-stream; charset=utf-8", body: soundEvent + endEvent},
		{name: "another media type", mediaType: "text/event-streaming", body: "\x00 no event"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			mediaType, want := "text/event-stream", s.body
			if s.mediaType != "" {
				mediaType = s.mediaType
			}
			if s.want != "" {
				want = s.want
			}
			if got := sendToStream(t, mediaType, s.body); got.body != want || got.incomplete || got.status != http.StatusOK {
				t.Errorf("answer = %d, %q, incomplete %t, want 200, %q, complete", got.status, got.body, got.incomplete, want)
			}
		})
	}
}
