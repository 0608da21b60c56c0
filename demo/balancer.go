package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"figbank"
	"figbank/deployment"
)

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer stands in for the platform's load balancer. It sends callers only to gateways
// whose readiness check succeeds.
type balancer struct {
	clock    figbank.Clock
	gateways []string
	http     *http.Client

	mu    sync.Mutex
	ready []string
}

func newBalancer(clock figbank.Clock, plan *deployment.Plan) *balancer {
	b := &balancer{clock: clock, http: &http.Client{Timeout: probeTimeout}}
	for _, gateway := range plan.Gateways {
		b.gateways = append(b.gateways, gateway.GetGateway().GetListenCallers())
	}
	return b
}

func (b *balancer) run(ctx context.Context) {
	ticks, stop := b.clock.Tick(probeInterval)
	defer stop()
	for {
		b.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// pick returns a random ready gateway, or false if none is ready.
func (b *balancer) pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[rand.IntN(len(b.ready))], true //nolint:gosec // spreads load, no secret
}

func (b *balancer) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

func (b *balancer) probe(ctx context.Context) {
	var ready []string
	for _, gateway := range b.gateways {
		if b.isReady(ctx, gateway) {
			ready = append(ready, gateway)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) isReady(ctx context.Context, gateway string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
