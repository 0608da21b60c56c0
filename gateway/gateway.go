// Package gateway serves callers over HTTP. It authenticates and checks their
// requests, forwards them to upstreams, and writes the responses back.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/claims"
	"figbank/configuration"
	"figbank/memory"
	"figbank/relay"
	"figbank/schema"
	"figbank/transport"

	"github.com/gin-gonic/gin"
)

type (
	// Settings holds the settings of a gateway.
	Settings struct {
		Relay relay.Settings
		// MaxBody is the largest body of a request.
		MaxBody figbank.Bytes
		// MaxBufferedBytes bounds the bytes that all requests together hold in memory.
		MaxBufferedBytes figbank.Bytes
		// CallerKeys maps the hex SHA-256 of each caller's key to its workspace.
		CallerKeys map[string]figbank.Workspace
	}

	// Gateway serves requests of callers. It is safe for concurrent use.
	Gateway struct {
		common   figbank.Common
		settings Settings
		holder   *configuration.Holder
		ready    func() bool

		relay         *relay.Relay
		claims        *claims.Claims
		memory        *memory.Budget
		requestCounts *requestCounts
		// stage is one of the shutdown stages below.
		stage   atomic.Int32
		running sync.WaitGroup
		router  *gin.Engine
	}
)

// recordTimeout limits how long Close waits for outcomes to be recorded.
const recordTimeout = 2 * time.Second

// Stages of a shutdown.
const (
	serving int32 = iota
	// draining fails readiness but still accepts requests. It lasts for the time given to
	// Shutdown, in which the platform's load balancer should notice that the gateway is not
	// ready.
	draining
	// refusing accepts no new requests.
	refusing
)

// New returns a gateway that serves requests through Handler. Ready reports whether
// the rest of the process is ready to serve callers.
func New(common figbank.Common, settings Settings, holder *configuration.Holder,
	pool *transport.Pool, proposer figbank.Proposer, ready func() bool,
) *Gateway {
	g := &Gateway{
		common: common.Named("gateway"), settings: settings, holder: holder, ready: ready,
		relay:         relay.New(common, settings.Relay, holder, pool),
		claims:        claims.New(common, proposer),
		memory:        memory.NewBudget(settings.MaxBufferedBytes),
		requestCounts: newRequestCounts(),
	}
	g.router = g.routes()
	return g
}

// Handler returns the HTTP interface for callers.
func (g *Gateway) Handler() http.Handler {
	return g.router
}

// Relay returns the relay that forwards requests to upstreams.
func (g *Gateway) Relay() *relay.Relay {
	return g.relay
}

// Ready reports whether the platform's load balancer should send callers to this gateway.
func (g *Gateway) Ready() bool {
	return g.stage.Load() == serving && g.ready() &&
		!configuration.IsDomainOut(g.holder.Current(), g.settings.Relay.Location.FailureDomain)
}

// Traffic returns, for each service, the number of requests by outcome and the number of
// waiting requests.
func (g *Gateway) Traffic() []*schema.ServiceTraffic {
	return g.requestCounts.list(g.relay.QueueLengths())
}

// Shutdown fails readiness and keeps serving for the time given by notice. Then it refuses
// new requests, and returns when all running requests have ended. When ctx ends, Shutdown
// stops waiting, and returns an error if requests are still running.
func (g *Gateway) Shutdown(ctx context.Context, notice time.Duration) error {
	g.stage.Store(draining)
	select {
	case <-g.common.Clock.After(notice):
	case <-ctx.Done():
	}
	g.stage.Store(refusing)
	ended := make(chan struct{})
	go func() {
		g.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return figbank.WrapError("gateway", "ShutdownCut", ctx.Err())
	}
}

// Close waits up to recordTimeout for pending outcomes to be recorded, then stops
// the relay.
func (g *Gateway) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	g.claims.Close(ctx)
	g.relay.Close()
}
