// Package gateway is the front door: it takes callers' requests over HTTP,
// has them carried to upstreams, and passes whole answers back.
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
	"figbank/relay"
	"figbank/schema"
	"figbank/transport"

	"github.com/gin-gonic/gin"
)

type (
	// Settings of a gateway.
	Settings struct {
		Relay   relay.Settings
		MaxBody figbank.Bytes
		MaxHeld figbank.Bytes
		// CallerKeys maps the hex SHA-256 of each caller's key to its workspace.
		CallerKeys map[string]figbank.Workspace
	}

	// Gateway serves callers. It is safe for concurrent use.
	Gateway struct {
		common   figbank.Common
		settings Settings
		holder   *configuration.Holder
		ready    func() bool

		relay    *relay.Relay
		claims   *claims.Claims
		memory   *memory
		traffic  *traffic
		shutting atomic.Int32
		running  sync.WaitGroup
		router   *gin.Engine
	}
)

// recordTimeout bounds the recording of outcomes when the gateway ends.
const recordTimeout = 2 * time.Second

// Stages of a shutdown.
const (
	serving int32 = iota
	// noticed fails readiness but still takes requests, until the platform's
	// balancer has noticed.
	noticed
	// refusing takes no new requests.
	refusing
)

// New returns a gateway that serves through Handler. Ready tells whether the
// rest of the process is ready for callers.
func New(common figbank.Common, settings Settings, holder *configuration.Holder,
	pool *transport.Pool, proposer figbank.Proposer, ready func() bool,
) *Gateway {
	g := &Gateway{
		common: common.For("gateway"), settings: settings, holder: holder, ready: ready,
		relay:   relay.New(common, settings.Relay, holder, pool),
		claims:  claims.New(common, proposer),
		memory:  newMemory(settings.MaxHeld),
		traffic: newTraffic(),
	}
	g.router = g.routes()
	return g
}

// Handler serves the callers' HTTP interface.
func (g *Gateway) Handler() http.Handler {
	return g.router
}

// Relay is the part that carries requests to upstreams.
func (g *Gateway) Relay() *relay.Relay {
	return g.relay
}

// Ready tells whether the platform's balancer should send callers here.
func (g *Gateway) Ready() bool {
	return g.shutting.Load() == serving && g.ready() &&
		!configuration.DomainOut(g.holder.Current(), g.settings.Relay.Place.FailureDomain)
}

// Traffic counts requests by service and outcome.
func (g *Gateway) Traffic() []*schema.ServiceTraffic {
	return g.traffic.counts(g.relay.Waiting())
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

// Close records what is left to record, for a while, and stops the gateway's own work.
func (g *Gateway) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	g.claims.Close(ctx)
	g.relay.Close()
}
