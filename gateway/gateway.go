// Package gateway is the front door: it takes callers' requests over HTTP,
// admits and routes them, and passes whole answers back.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/admission"
	"figbank/configuration"
	"figbank/retry"
	"figbank/routing"
	"figbank/schema"
	"figbank/transport"

	"github.com/gin-gonic/gin"
)

type (
	// Settings of a gateway.
	Settings struct {
		Place        routing.Place
		MaxBody      figbank.Bytes
		MaxHeld      figbank.Bytes
		StreamWindow figbank.Bytes
		QueueLength  int
		QueueAge     time.Duration
		Deadline     time.Duration
		RetryShare   int64
		// CallerKeys maps the hex SHA-256 of each caller's key to its workspace.
		CallerKeys map[string]figbank.Workspace
	}

	// Gateway serves callers. It is safe for concurrent use.
	Gateway struct {
		common   figbank.Common
		settings Settings
		holder   *configuration.Holder
		pool     *transport.Pool
		proposer figbank.Proposer
		ready    func() bool

		table    atomic.Pointer[routing.Table]
		rebuild  sync.Mutex
		alive    []*schema.Upstream
		waiting  *waiting
		memory   *memory
		budget   *retry.Budget
		traffic  *traffic
		shutting atomic.Int32
		running  sync.WaitGroup
		router   *gin.Engine

		cancel context.CancelFunc
		group  sync.WaitGroup
	}
)

// Stages of a shutdown.
const (
	serving int32 = iota
	// noticed fails readiness but still takes requests, until the platform's
	// balancer has noticed.
	noticed
	// refusing takes no new requests.
	refusing
)

// waitingInterval is how often the queues are looked at without news.
const waitingInterval = 20 * time.Millisecond

// New returns a gateway that serves through Handler. Ready tells whether the
// rest of the process is ready for callers.
func New(common figbank.Common, settings Settings, holder *configuration.Holder,
	pool *transport.Pool, proposer figbank.Proposer, ready func() bool,
) *Gateway {
	g := &Gateway{
		common: common.For("gateway"), settings: settings, holder: holder, pool: pool, proposer: proposer, ready: ready,
		memory:  newMemory(settings.MaxHeld),
		budget:  retry.NewBudget(settings.RetryShare),
		traffic: newTraffic(),
	}
	g.table.Store(routing.NewTable(nil, settings.Place, holder.Current(), nil))
	g.waiting = newWaiting(common.Clock, &g.table, func() *admission.Queue {
		return admission.NewQueue(settings.QueueLength, settings.QueueAge)
	})
	g.router = g.routes()
	holder.Watch(func(*schema.Configuration) { g.refresh(nil) })
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.group.Go(func() { g.serveWaiting(ctx) })
	return g
}

// Handler serves the callers' HTTP interface.
func (g *Gateway) Handler() http.Handler {
	return g.router
}

// SetUpstreams takes the live upstreams into routing.
func (g *Gateway) SetUpstreams(alive []*schema.Upstream) {
	g.refresh(alive)
}

// HearLoad notes an upstream's announced load.
func (g *Gateway) HearLoad(upstream *schema.Upstream) {
	g.table.Load().Hear(upstream, g.common.Clock.Now())
	g.waiting.wake(figbank.ServiceName(upstream.GetService()))
}

// Warm counts a service's routable upstreams, in one domain and in all.
func (g *Gateway) Warm(service figbank.ServiceName, domain figbank.FailureDomain) (inDomain, inAll int64) {
	for _, candidate := range g.table.Load().Candidates(service) {
		inAll++
		if candidate.FailureDomain == domain {
			inDomain++
		}
	}
	return inDomain, inAll
}

// Ready tells whether the platform's balancer should send callers here.
func (g *Gateway) Ready() bool {
	return g.shutting.Load() == serving && g.ready() &&
		!configuration.DomainOut(g.holder.Current(), g.settings.Place.FailureDomain)
}

// Traffic counts requests by service and outcome.
func (g *Gateway) Traffic() []*schema.ServiceTraffic {
	return g.traffic.counts(g.waiting.lengths())
}

// Shutdown fails readiness, goes on serving for notice, then refuses new
// requests and returns when all that run have ended.
func (g *Gateway) Shutdown(ctx context.Context, notice time.Duration) error {
	g.shutting.Store(noticed)
	select {
	case <-g.common.Clock.After(notice):
	case <-ctx.Done():
	}
	g.shutting.Store(refusing)
	ended := make(chan struct{})
	go func() {
		g.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return figbank.Fail("gateway", "ShutdownCut", ctx.Err())
	}
}

// Close stops the gateway's own work.
func (g *Gateway) Close() {
	g.cancel()
	g.group.Wait()
}

// refresh builds the routing table anew; nil keeps the known upstreams.
func (g *Gateway) refresh(alive []*schema.Upstream) {
	g.rebuild.Lock()
	defer g.rebuild.Unlock()
	if alive != nil {
		g.alive = alive
	}
	next := routing.NewTable(g.table.Load(), g.settings.Place, g.holder.Current(), g.alive)
	g.table.Store(next)
	g.waiting.wakeAll()
}

func (g *Gateway) serveWaiting(ctx context.Context) {
	ticks, stop := g.common.Clock.Tick(waitingInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			g.waiting.expire()
			g.waiting.wakeAll()
		}
	}
}

// newRandom returns a source for one request.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // spreads load, no secret
}
