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

// TestUpstreamHoldsNoMoreThanItsLimit sends more than an upstream bears: it
// never holds more than its limit, and everyone is answered or truly refused.
func TestUpstreamHoldsNoMoreThanItsLimit(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Relay.QueueAge = patience; s.Relay.QueueLength = 200 })
	b.declare(plain(true))
	var running, peak atomic.Int64
	_, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		for was := peak.Load(); now > was && !peak.CompareAndSwap(was, now); was = peak.Load() {
		}
		time.Sleep(10 * time.Millisecond)
		running.Add(-1)
		answerOK(w, r)
	})
	b.addAgent(service, 4)
	var group sync.WaitGroup
	var answered atomic.Int64
	for range 60 {
		group.Go(func() {
			if got := b.send(http.MethodPost, "/services/s/x", "", ""); got.status == 200 {
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

func TestWaitingEndsInRefusal(t *testing.T) {
	b := newBench(t, nil)
	b.declare(plain(true))
	release := make(chan struct{})
	_, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	b.addAgent(service, 1)
	first := make(chan seen, 1)
	go func() { first <- b.send(http.MethodPost, "/services/s/x", "", "") }()
	b.await("first call runs", func() bool { return b.agents[0].Record().GetInUse() == 1 })
	got := b.send(http.MethodPost, "/services/s/x", "", "")
	if got.status != 503 || got.outcome != outcomeNotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("answer = %d, %s, Retry-After %q, want 503, NotRun, a time", got.status, got.outcome, got.header.Get("Retry-After"))
	}
	close(release)
	if got := <-first; got.status != 200 {
		t.Errorf("first call's answer = %d, want 200", got.status)
	}
}

// TestSlowReaderHoldsLittle lets a caller not read at all: what its answer holds
// on the way stays within the window and the connections' own buffers.
func TestSlowReaderHoldsLittle(t *testing.T) {
	const answer = 64 << 20
	b := newBench(t, nil)
	b.declare(plain(true))
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
	b.addAgent(service, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, b.front.URL+"/services/s/large", http.NoBody)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := b.front.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	last := int64(-1)
	b.await("the engine to be held back", func() bool {
		now := written.Load()
		stalled := now == last && now > 0
		last = now
		time.Sleep(100 * time.Millisecond)
		return stalled
	})
	// The kernel's socket buffers hold some MB on each of two connections.
	if got := written.Load(); got > answer/4 {
		t.Errorf("engine wrote %d bytes for a caller who reads none, want at most %d", got, answer/4)
	}
	if got := b.send(http.MethodGet, "/services/s/small", "", ""); got.status != 200 {
		t.Errorf("another caller's answer = %d, want 200", got.status)
	}
}

func TestMemoryBudget(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.MaxHeld = 40 << 10 })
	b.declare(plain(true))
	_, service := newBackend(t, answerOK)
	b.addAgent(service, 8)
	if got := b.send(http.MethodPost, "/services/s/x", "", strings.Repeat("x", 100<<10)); got.status != 503 || got.outcome != outcomeNotRun {
		t.Errorf("answer over the budget = %d, %s, want 503, NotRun", got.status, got.outcome)
	}
	if got := b.send(http.MethodPost, "/services/s/x", "", "small"); got.status != 200 {
		t.Errorf("answer within the budget = %d, want 200", got.status)
	}
	if held := b.gateway.memory.held.Load(); held != 0 {
		t.Errorf("bytes held with no request = %d, want 0", held)
	}
}

func TestShutdownCutsNoRequest(t *testing.T) {
	b := newBench(t, nil)
	b.declare(plain(true))
	release := make(chan struct{})
	_, service := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
		answerOK(w, r)
	})
	b.addAgent(service, 8)
	running := make(chan seen, 1)
	go func() { running <- b.send(http.MethodPost, "/services/s/held", "", "") }()
	b.await("call runs", func() bool { return b.agents[0].Record().GetInUse() == 1 })
	ended := make(chan error, 1)
	go func() { ended <- b.gateway.Shutdown(context.Background(), 20*time.Millisecond) }()
	b.await("readiness fails", func() bool { return !b.gateway.Ready() })
	b.await("new calls are refused", func() bool {
		got := b.send(http.MethodGet, "/services/s/x", "", "")
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
