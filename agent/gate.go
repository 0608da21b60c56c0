package agent

import (
	"context"
	"sync"

	"figbank"
	"figbank/schema"
)

// gate admits a call only while the upstream is ready and serves the version that the call names.
// It counts the running calls, so that a switch to another version can wait for their end. It is
// safe for concurrent use.
type gate struct {
	mu       sync.Mutex
	state    schema.UpstreamState
	manifest string
	running  int
	// idle is closed when running becomes 0. It is nil while nobody waits.
	idle chan struct{}
}

func newGate() *gate {
	return &gate{state: schema.UpstreamState_UPSTREAM_STATE_STARTING}
}

// enter admits a call for the version with this manifest, or returns the reason for the
// refusal and false. Each admitted call must call exit.
func (g *gate) enter(manifest string) (figbank.Reason, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.state != schema.UpstreamState_UPSTREAM_STATE_READY:
		return figbank.ReasonUpstreamLeaving, false
	case g.manifest != manifest:
		return figbank.ReasonWrongVersion, false
	}
	g.running++
	return "", true
}

func (g *gate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// set changes the state and manifest. It reports whether one of them has changed.
func (g *gate) set(state schema.UpstreamState, manifest string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == state && g.manifest == manifest {
		return false
	}
	g.state, g.manifest = state, manifest
	return true
}

func (g *gate) current() (schema.UpstreamState, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state, g.manifest
}

// awaitIdle waits until no call is running. The caller must first set a state that admits no calls.
func (g *gate) awaitIdle(ctx context.Context) error {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return figbank.WrapError("agent", "AwaitIdle", ctx.Err())
	}
}
