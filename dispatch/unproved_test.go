package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"figbank"
	"figbank/load"
	"figbank/schema"
	"figbank/traffic"
)

// claimingTransport answers each attempt with a status that callers take for a promise that nothing ran.
type claimingTransport struct {
	status   int
	length   int64
	attempts int
}

func (c *claimingTransport) Send(context.Context, *Request, Attempt) (*Answer, error) {
	c.attempts++
	return &Answer{Status: c.status, Length: c.length, ClaimsNotRun: true, Body: io.NopCloser(strings.NewReader("busy"))}, nil
}

// An upstream runs a request and then answers 503 without proof that it did not. The gateway passed that on, the caller took
// it for the promise that the request had not run, and sent it again: it ran twice.
func TestUnprovedPromiseIsNotPassedOn(t *testing.T) {
	scenarios := []struct {
		name     string
		route    *schema.Route
		length   int64
		attempts int
		passedOn bool
	}{
		{name: "unsafe", route: &schema.Route{Kind: schema.CallKind_CALL_KIND_UNSAFE}, length: 4, attempts: 1},
		{name: "unsafe, long answer", route: &schema.Route{Kind: schema.CallKind_CALL_KIND_UNSAFE}, length: 2 * maxBufferedAnswer, attempts: 1},
		{name: "unsafe, answer of unknown length", route: &schema.Route{Kind: schema.CallKind_CALL_KIND_UNSAFE, MaxUpstreams: 3}, length: -1, attempts: 1},
		{name: "stream", route: &schema.Route{Kind: schema.CallKind_CALL_KIND_STREAM}, length: 4, attempts: 1},
		{name: "stream that may be resumed", route: &schema.Route{Kind: schema.CallKind_CALL_KIND_STREAM, Resumable: true}, length: 4, attempts: 1, passedOn: true},
		{name: "safe", route: &schema.Route{Kind: schema.CallKind_CALL_KIND_SAFE}, length: 4, attempts: 1, passedOn: true},
		{name: "safe, repeated", route: &schema.Route{Kind: schema.CallKind_CALL_KIND_SAFE, MaxUpstreams: 2}, length: 4, attempts: 2, passedOn: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			transport := &claimingTransport{status: http.StatusServiceUnavailable, length: s.length}
			d := newTestDispatcher(transport)
			targets := []*Target{{ID: "a", Slots: 8, Load: &load.Upstream{}}, {ID: "b", Slots: 8, Load: &load.Upstream{}}}
			d.table.Store(&Table{services: map[figbank.ServiceName][]*Target{"s": targets}})
			response := &responseRecorder{}
			err := d.Serve(context.Background(), &Request{
				ID: "r", Route: &traffic.Route{Route: s.route, LatencyTarget: time.Second}, Service: "s",
				ReceivedAt: time.Now(), Deadline: time.Now().Add(10 * time.Second),
			}, response)
			if got := response.Started(); got != s.passedOn {
				t.Errorf("passed on = %t, want %t (Serve() = %v)", got, s.passedOn, err)
			}
			if got := errors.As(err, new(figbank.FailedAnswerError)); got == s.passedOn {
				t.Errorf("Serve() = %v, want a FailedAnswerError exactly if the answer is not passed on", err)
			}
			if got := transport.attempts; got != s.attempts {
				t.Errorf("attempts = %d, want %d", got, s.attempts)
			}
		})
	}
}
