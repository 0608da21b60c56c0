package dispatch

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/traffic"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// served is what became of a request.
type served struct {
	response *responseRecorder
	err      error
	log      []observer.LoggedEntry
	targets  []*Target
}

// serveStream serves a request for a stream by the upstreams of the script, one for each answer.
func serveStream(t *testing.T, script *streamScript, lastEvent string, resumable bool) served {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	d := newTestDispatcher(script)
	d.common.Log = zap.New(core)
	targets := make([]*Target, len(script.answers))
	for i := range targets {
		targets[i] = &Target{ID: figbank.UpstreamID(rune('a' + i)), Slots: 8, Load: &Load{}}
	}
	d.table.Store(&Table{services: map[figbank.ServiceName][]*Target{"s": targets}})
	now := time.Now()
	response := &responseRecorder{}
	err := d.Serve(context.Background(), &Request{
		ID: "r", Service: "s", LastEvent: lastEvent, ReceivedAt: now, Deadline: now.Add(time.Second),
		Route: &traffic.Route{Route: &schema.Route{Kind: schema.CallKind_CALL_KIND_STREAM, Resumable: resumable, MaxUpstreams: 4}, LatencyTarget: time.Second},
	}, response)
	return served{response: response, err: err, log: logs.All(), targets: targets}
}

// A stream was cut for its bytes, and the log told neither which they were nor where they came.
func TestBadStreamIsLogged(t *testing.T) {
	broken := streamAnswer{status: http.StatusOK, text: "id: 1\ndata: a\n\n", breaks: true}
	bad := streamAnswer{status: http.StatusOK, text: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n" + strings.Repeat("no event ", 20) + "\n\n", unframed: true}
	got := serveStream(t, &streamScript{answers: []streamAnswer{broken, bad}}, "", true)
	want := map[string]any{
		"request": "r", "attempt": int64(2), "reason": "NoEventBehind", "resumed": true, "after": "1", "framed": false,
		"lastEvent": "2", "events": int64(1), "bytes": `"` + strings.Repeat("no event ", 20)[:maxQuoted] + `"`,
	}
	lines := 0
	for _, entry := range got.log {
		if entry.Message != "bytes of an upstream are no event" {
			continue
		}
		lines++
		fields := entry.ContextMap()
		for key, value := range want {
			if fields[key] != value {
				t.Errorf("logged %s = %v, want %v", key, fields[key], value)
			}
		}
	}
	if lines != 1 {
		t.Errorf("lines about the bytes = %d, want 1", lines)
	}
}
