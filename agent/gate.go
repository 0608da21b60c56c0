package agent

import (
	"context"
	"sync"

	"figbank"
	"figbank/schema"
)

// gate lets calls through to the engine while it serves one confirmed version,
// and lets a switch of version wait until no call runs. It is safe for
// concurrent use.
type gate struct {
	mu       sync.Mutex
	state    schema.UpstreamState
	manifest string
	running  int
	idle     chan struct{}
}

func newGate() *gate {
	return &gate{state: schema.UpstreamState_UPSTREAM_STATE_STARTING}
}

// enter starts a call on the version manifest, or says why not.
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

// set moves to a state, and returns whether anything changed.
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

// awaitIdle returns when no call runs. The gate must have been set to a state
// that admits none.
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
		return figbank.Fail("agent", "AwaitIdle", ctx.Err())
	}
}
