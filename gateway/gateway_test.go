package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"figbank/engine"
	"figbank/schema"
)

// TestOutcomes lets an upstream respond or fail in different ways. It checks the
// response to the caller and how often the request ran.
func TestOutcomes(t *testing.T) {
	scenarios := []struct {
		name           string
		repeatable     bool
		key            string
		handlers       []http.HandlerFunc
		wantStatus     int
		wantOutcome    string
		wantRuns       int64
		wantIncomplete bool
	}{
		{name: "answered", handlers: []http.HandlerFunc{answerOK}, wantStatus: 200, wantOutcome: outcomeRan, wantRuns: 1},
		{name: "answered under a key", key: "k", handlers: []http.HandlerFunc{answerOK}, wantStatus: 200, wantOutcome: outcomeRan, wantRuns: 1},
		{name: "crash, not repeatable, no key", handlers: []http.HandlerFunc{crash, crash}, wantStatus: 502, wantOutcome: outcomeUnknown, wantRuns: 1},
		{name: "crash, not repeatable, with a key", key: "k", handlers: []http.HandlerFunc{crash, crash}, wantStatus: 502, wantOutcome: outcomeUnknown, wantRuns: 1},
		{name: "crash everywhere, repeatable", repeatable: true, handlers: []http.HandlerFunc{crash, crash}, wantStatus: 502, wantOutcome: outcomeUnknown, wantRuns: 2},
		{
			name: "answer of another request", handlers: []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(engine.HeaderRequestID, "another")
				answerOK(w, r)
			}},
			wantStatus: 502, wantOutcome: outcomeUnknown, wantRuns: 1,
		},
		{
			name: "answer shorter than its Content-Length", handlers: []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "part")
			}},
			wantStatus: 200, wantOutcome: outcomeRan, wantRuns: 1, wantIncomplete: true,
		},
		{
			name: "event stream without its end marker", handlers: []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "data: {}\n\n")
			}},
			wantStatus: 200, wantOutcome: outcomeRan, wantRuns: 1, wantIncomplete: true,
		},
		{
			name: "incomplete answer under a key is not forwarded", key: "k", handlers: []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "part")
			}},
			wantStatus: 502, wantOutcome: outcomeUnknown, wantRuns: 1,
		},
		{
			name: "the service's own error", handlers: []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusTeapot)
			}},
			wantStatus: 418, wantOutcome: outcomeRan, wantRuns: 1,
		},
		{name: "no upstream", wantStatus: 503, wantOutcome: outcomeNotRun},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.declare(plain(s.repeatable))
			var backends []*backend
			for _, handler := range s.handlers {
				backend, service := newBackend(t, handler)
				backends = append(backends, backend)
				h.addAgent(service, 8)
			}
			got := h.send(http.MethodPost, "/services/s/jobs", s.key, "body")
			if got.status != s.wantStatus || got.outcome != s.wantOutcome || got.incomplete != s.wantIncomplete {
				t.Errorf("answer = %d, %s, incomplete %t, want %d, %s, incomplete %t: %s", got.status, got.outcome, got.incomplete, s.wantStatus, s.wantOutcome, s.wantIncomplete, got.body)
			}
			var runs int64
			for _, backend := range backends {
				runs += backend.runs.Load()
			}
			if runs != s.wantRuns {
				t.Errorf("runs = %d, want %d", runs, s.wantRuns)
			}
		})
	}
}

func TestCrashedCallIsRetriedElsewhere(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(true))
	// The upstream that gets the first call crashes.
	var calls atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			crash(w, r)
			return
		}
		answerOK(w, r)
	}
	for range 2 {
		_, service := newBackend(t, handler)
		h.addAgent(service, 8)
	}
	if got := h.send(http.MethodPost, "/services/s/jobs", "", "body"); got.status != 200 || got.body != "done" {
		t.Errorf("answer = %d %q, want 200 done", got.status, got.body)
	}
}

func TestRequestSentAgainWithSameKey(t *testing.T) {
	scenarios := []struct {
		name        string
		handler     http.HandlerFunc
		secondBody  string
		wantStatus  int
		wantOutcome string
		wantReplay  bool
	}{
		{name: "gets the recorded answer", handler: answerOK, secondBody: "body", wantStatus: 200, wantOutcome: outcomeRan, wantReplay: true},
		{name: "gets an unknown outcome after a crash", handler: crash, secondBody: "body", wantStatus: 409, wantOutcome: outcomeUnknown},
		{name: "is refused for another request", handler: answerOK, secondBody: "other", wantStatus: 422, wantOutcome: outcomeNotRun},
		{
			name: "learns that the answer was too large to be recorded", secondBody: "body", wantStatus: 409, wantOutcome: outcomeRan,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", int(maxRecordedBody)+1))
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.declare(plain(false))
			backend, service := newBackend(t, s.handler)
			h.addAgent(service, 8)
			h.send(http.MethodPost, "/services/s/jobs", "k", "body")
			got := h.send(http.MethodPost, "/services/s/jobs", "k", s.secondBody)
			if got.status != s.wantStatus || got.outcome != s.wantOutcome {
				t.Errorf("answer = %d, %s, want %d, %s: %s", got.status, got.outcome, s.wantStatus, s.wantOutcome, got.body)
			}
			if replayed := got.header.Get("Figbank-Replayed") != ""; replayed != s.wantReplay {
				t.Errorf("replayed = %t, want %t", replayed, s.wantReplay)
			}
			if runs := backend.runs.Load(); runs != 1 {
				t.Errorf("runs = %d, want 1", runs)
			}
		})
	}
}

// TestConcurrentRequestsWithSameKey sends many concurrent requests with one key. Only one may
// run. Every other caller must get the response to that request, or learn that the outcome is
// unknown.
func TestConcurrentRequestsWithSameKey(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(false))
	backend, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		answerOK(w, r)
	})
	h.addAgent(service, 8)
	var group sync.WaitGroup
	var answered atomic.Int64
	for range 20 {
		group.Go(func() {
			got := h.send(http.MethodPost, "/services/s/jobs", "k", "body")
			switch {
			case got.status == 200:
				answered.Add(1)
			case got.status != 409 || got.outcome != outcomeUnknown:
				t.Errorf("answer = %d, %s, want 200, or 409 and Unknown while it runs", got.status, got.outcome)
			}
		})
	}
	group.Wait()
	if runs := backend.runs.Load(); runs != 1 || answered.Load() == 0 {
		t.Errorf("runs = %d and answered = %d, want 1 run and an answer", runs, answered.Load())
	}
}

// wantNotRun sends a request with a key and expects that it is refused without
// having run.
func (h *harness) wantNotRun(backend *backend) {
	h.t.Helper()
	got := h.send(http.MethodPost, "/services/s/jobs", "k", "body")
	if got.status != 503 || got.outcome != outcomeNotRun || backend.runs.Load() != 0 {
		h.t.Errorf("answer = %d, %s after %d runs, want 503, NotRun, 0 runs", got.status, got.outcome, backend.runs.Load())
	}
}

func TestRequestWithKeyIsNotRunWhileLogIsUnavailable(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(false))
	backend, service := newBackend(t, answerOK)
	h.addAgent(service, 8)
	h.proposer.SetDown(true)
	h.wantNotRun(backend)
	h.proposer.SetDown(false)
	if got := h.send(http.MethodPost, "/services/s/jobs", "k", "body"); got.status != 200 {
		t.Errorf("answer after the log is back = %d, want 200", got.status)
	}
}

func TestRefusals(t *testing.T) {
	scenarios := []struct {
		name        string
		prepare     func(*harness)
		path        string
		body        string
		wantStatus  int
		wantOutcome string
	}{
		{name: "failure domain is out", prepare: func(h *harness) { h.declare(plain(true), domain) }, path: "/services/s/x", wantStatus: 503, wantOutcome: outcomeNotRun},
		{name: "unknown service", path: "/services/other/x", wantStatus: 404, wantOutcome: outcomeNotRun},
		{name: "plain service requested as a model", path: chatPath, body: `{"model":"s"}`, wantStatus: 404, wantOutcome: outcomeNotRun},
		{name: "not JSON", path: chatPath, body: `{`, wantStatus: 400, wantOutcome: outcomeNotRun},
		{name: "body too large", path: "/services/s/x", body: strings.Repeat("x", 2<<20), wantStatus: 413, wantOutcome: outcomeNotRun},
		{
			name: "agent no longer has the version in the routing table", path: "/services/s/x", wantStatus: 503, wantOutcome: outcomeNotRun,
			prepare: func(h *harness) {
				h.declare(&schema.ServiceDeclaration{Name: "s", Kind: kindPlain, Manifest: "v9", Repeatable: true})
				stale := h.agents[0].Record()
				stale.Manifest = "v9"
				h.gateway.Relay().SetUpstreams([]*schema.Upstream{stale})
			},
		},
		{
			name: "upstream is down", path: "/services/s/x", wantStatus: 503, wantOutcome: outcomeNotRun,
			prepare: func(h *harness) {
				gone := h.agents[0].Record()
				gone.Address = "127.0.0.1:1"
				h.gateway.Relay().SetUpstreams([]*schema.Upstream{gone})
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.declare(plain(true))
			backend, service := newBackend(t, answerOK)
			h.addAgent(service, 8)
			if s.prepare != nil {
				s.prepare(h)
			}
			got := h.send(http.MethodPost, s.path, "", s.body)
			if got.status != s.wantStatus || got.outcome != s.wantOutcome {
				t.Errorf("answer = %d, %s, want %d, %s: %s", got.status, got.outcome, s.wantStatus, s.wantOutcome, got.body)
			}
			if got.header.Get("Content-Type") != "application/problem+json" {
				t.Errorf("content type = %q, want a problem body", got.header.Get("Content-Type"))
			}
			if runs := backend.runs.Load(); runs != 0 {
				t.Errorf("runs = %d, want 0", runs)
			}
		})
	}
}

func TestChatStream(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(model())
	const events = 50
	backend, _ := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(engine.HeaderManifest, "v1")
		for i := range events {
			_, _ = fmt.Fprintf(w, "data: {\"n\":%d}\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	h.addAgent(engine.NewModel(backend.server.URL), 8)
	got := h.send(http.MethodPost, chatPath, "", `{"model":"s","stream":true,"messages":[]}`)
	if got.status != 200 || strings.Count(got.body, "data: ") != events+1 || !strings.HasSuffix(got.body, "[DONE]\n\n") {
		t.Errorf("stream = %d with %d events, want 200 with %d and a complete end", got.status, strings.Count(got.body, "data: "), events+1)
	}
}

func TestResponseFromAnotherVersionIsNotForwarded(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(model())
	backend, _ := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderManifest, "v0")
		answerOK(w, r)
	})
	h.addAgent(engine.NewModel(backend.server.URL), 8)
	got := h.send(http.MethodPost, chatPath, "", `{"model":"s","messages":[]}`)
	if got.status != 502 || got.outcome != outcomeUnknown || strings.Contains(got.body, "done") {
		t.Errorf("answer = %d, %s, %q, want 502, Unknown, without the answer", got.status, got.outcome, got.body)
	}
}

// TestUnconfirmedClaimDoesNotBlockKey lets the log commit a claim without confirming it. The
// caller gets the answer that the request did not run. When the caller sends the request
// again, it must be served.
func TestUnconfirmedClaimDoesNotBlockKey(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(false))
	backend, service := newBackend(t, answerOK)
	h.addAgent(service, 8)
	h.proposer.SetResultsLost(true)
	h.wantNotRun(backend)
	h.proposer.SetResultsLost(false)
	h.waitFor("an answer under the key", func() bool {
		return h.send(http.MethodPost, "/services/s/jobs", "k", "body").status == 200
	})
	if runs := backend.runs.Load(); runs != 1 {
		t.Errorf("runs = %d, want 1", runs)
	}
}

// TestResponseDoesNotWaitForLog makes the log unavailable while a claimed request
// runs. The caller must still get the response, which is recorded later.
func TestResponseDoesNotWaitForLog(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(false))
	backend, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		h.proposer.SetDown(true)
		answerOK(w, r)
	})
	h.addAgent(service, 8)
	if got := h.send(http.MethodPost, "/services/s/jobs", "k", "body"); got.status != 200 {
		t.Errorf("answer while the log is unavailable = %d, want 200", got.status)
	}
	h.proposer.SetDown(false)
	h.waitFor("the recorded answer", func() bool {
		got := h.send(http.MethodPost, "/services/s/jobs", "k", "body")
		return got.status == 200 && got.body == "done" && got.header.Get("Figbank-Replayed") != ""
	})
	if runs := backend.runs.Load(); runs != 1 {
		t.Errorf("runs = %d, want 1", runs)
	}
}
