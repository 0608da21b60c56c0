package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestUpstreamLimitIsNotExceeded sends more concurrent requests than an upstream
// may hold. The upstream never holds more than its limit, and every request gets
// a response.
func TestUpstreamLimitIsNotExceeded(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Relay.QueueAge = waitTimeout; s.Relay.QueueLength = 200 })
	h.declare(plain(true))
	var running, peak atomic.Int64
	_, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		for was := peak.Load(); now > was && !peak.CompareAndSwap(was, now); was = peak.Load() {
		}
		time.Sleep(10 * time.Millisecond)
		running.Add(-1)
		answerOK(w, r)
	})
	h.addAgent(service, 4)
	var group sync.WaitGroup
	var answered atomic.Int64
	for range 60 {
		group.Go(func() {
			if got := h.send(http.MethodPost, "/services/s/x", "", ""); got.status == 200 {
				answered.Add(1)
			}
		})
	}
	group.Wait()
	if got := peak.Load(); got > 4 {
		t.Errorf("most calls at once = %d, want at most 4", got)
	}
	if got := answered.Load(); got != 60 {
		t.Errorf("answered = %d, want 60", got)
	}
}

func TestQueueTimeoutIsRefused(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(true))
	release := make(chan struct{})
	_, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	h.addAgent(service, 1)
	first := make(chan result, 1)
	go func() { first <- h.send(http.MethodPost, "/services/s/x", "", "") }()
	h.waitFor("first call to run", func() bool { return h.agents[0].Record().GetInUse() == 1 })
	got := h.send(http.MethodPost, "/services/s/x", "", "")
	if got.status != 503 || got.outcome != outcomeNotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("answer = %d, %s, Retry-After %q, want 503, NotRun, a time", got.status, got.outcome, got.header.Get("Retry-After"))
	}
	close(release)
	if got := <-first; got.status != 200 {
		t.Errorf("first call's answer = %d, want 200", got.status)
	}
}

// TestSlowReaderLimitsBufferedBytes uses a caller that does not read at all. The
// part of the response that is buffered on the way must stay within the window
// and the buffers of the connections.
func TestSlowReaderLimitsBufferedBytes(t *testing.T) {
	const answer = 64 << 20
	h := newHarness(t, nil)
	h.declare(plain(true))
	var written atomic.Int64
	piece := make([]byte, 32<<10)
	_, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/small" {
			answerOK(w, r)
			return
		}
		for range answer / len(piece) {
			n, err := w.Write(piece)
			if err != nil {
				return
			}
			written.Add(int64(n))
		}
	})
	h.addAgent(service, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, h.server.URL+"/services/s/large", http.NoBody)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := h.server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	last := int64(-1)
	h.waitFor("the engine to be blocked", func() bool {
		now := written.Load()
		stalled := now == last && now > 0
		last = now
		time.Sleep(100 * time.Millisecond)
		return stalled
	})
	// The kernel's socket buffers hold a few MB on each of the two connections.
	if got := written.Load(); got > answer/4 {
		t.Errorf("engine wrote %d bytes for a caller that reads none, want at most %d", got, answer/4)
	}
	if got := h.send(http.MethodGet, "/services/s/small", "", ""); got.status != 200 {
		t.Errorf("another caller's answer = %d, want 200", got.status)
	}
}

func TestMemoryBudget(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MaxBufferedBytes = 40 << 10 })
	h.declare(plain(true))
	_, service := newBackend(t, answerOK)
	h.addAgent(service, 8)
	if got := h.send(http.MethodPost, "/services/s/x", "", strings.Repeat("x", 100<<10)); got.status != 503 || got.outcome != outcomeNotRun {
		t.Errorf("answer over the budget = %d, %s, want 503, NotRun", got.status, got.outcome)
	}
	if got := h.send(http.MethodPost, "/services/s/x", "", "small"); got.status != 200 {
		t.Errorf("answer within the budget = %d, want 200", got.status)
	}
	if used := h.gateway.memory.Used(); used != 0 {
		t.Errorf("bytes reserved with no request = %d, want 0", used)
	}
}

func TestShutdownWaitsForRunningRequests(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(true))
	release := make(chan struct{})
	_, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
		answerOK(w, r)
	})
	h.addAgent(service, 8)
	running := make(chan result, 1)
	go func() { running <- h.send(http.MethodPost, "/services/s/held", "", "") }()
	h.waitFor("call to run", func() bool { return h.agents[0].Record().GetInUse() == 1 })
	ended := make(chan error, 1)
	go func() { ended <- h.gateway.Shutdown(context.Background(), 20*time.Millisecond) }()
	h.waitFor("readiness to fail", func() bool { return !h.gateway.Ready() })
	h.waitFor("refusal of new calls", func() bool {
		got := h.send(http.MethodGet, "/services/s/x", "", "")
		return got.status == 503 && strings.Contains(got.body, "ShuttingDown")
	})
	select {
	case <-ended:
		t.Fatal("shutdown ended before its last request")
	default:
	}
	close(release)
	if got := <-running; got.status != 200 {
		t.Errorf("running call's answer = %d, want 200", got.status)
	}
	if err := <-ended; err != nil {
		t.Errorf("Shutdown() = %v", err)
	}
}
