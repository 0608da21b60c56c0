// Package exchange keeps a gateway's upstreams and configuration up to date. It
// receives the announcements of the upstreams in its failure domain, and exchanges
// changes with the other gateways. Changes are pushed. Periodic reports repair what
// a push missed.
package exchange

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/membership"
	"figbank/schema"
	"figbank/transport"
)

const (
	// reportInterval is the time between reports to another gateway when nothing changes.
	reportInterval = time.Second
	// fullInterval is the time between full reports.
	fullInterval = 10 * time.Second
	// batchDelay is how long changes are collected, so that changes in quick
	// succession are sent in one message.
	batchDelay = 20 * time.Millisecond
	// reconnectDelay is the time between attempts to reach another gateway.
	reconnectDelay = 200 * time.Millisecond
	// expiryChecksPerLease is how often leases are checked per lease duration.
	expiryChecksPerLease = 10
)

type (
	// Exchange holds a gateway's view of the upstreams. It is safe for concurrent use.
	Exchange struct {
		common        figbank.Common
		failureDomain figbank.FailureDomain
		// lease is how long an upstream's announcement or a gateway's report counts without
		// renewal.
		lease          time.Duration
		holder         *configuration.Holder
		pool           *transport.Pool
		onChange       func([]*schema.Upstream)
		onAnnouncement func(*schema.Upstream)

		mu    sync.Mutex
		table *membership.Table
		// changed is closed and replaced at each change of the table.
		changed chan struct{}
		// contacted holds the gateways that have responded or could not be reached
		// since this process started.
		contacted map[figbank.Address]bool
		peers     []figbank.Address

		cancel context.CancelFunc
		group  sync.WaitGroup
	}

	// Option configures an Exchange in New.
	Option func(*Exchange)
)

// WithChangeHandler calls handle with the live upstreams whenever they change. Handle must
// not block or call the Exchange, whose mutex is held during the call.
func WithChangeHandler(handle func([]*schema.Upstream)) Option {
	return func(e *Exchange) { e.onChange = handle }
}

// WithAnnouncementHandler calls handle with each announcement of an upstream, which contains
// its load. Calls for different upstreams may be concurrent.
func WithAnnouncementHandler(handle func(*schema.Upstream)) Option {
	return func(e *Exchange) { e.onAnnouncement = handle }
}

// New returns an Exchange and starts reporting to the gateways at peers.
func New(common figbank.Common, domain figbank.FailureDomain, lease time.Duration,
	holder *configuration.Holder, pool *transport.Pool, peers []figbank.Address, options ...Option,
) *Exchange {
	e := &Exchange{
		common: common.Named("exchange"), failureDomain: domain, lease: lease, holder: holder, pool: pool,
		onChange: func([]*schema.Upstream) {}, onAnnouncement: func(*schema.Upstream) {},
		table:     membership.NewTable(lease),
		changed:   make(chan struct{}),
		contacted: map[figbank.Address]bool{}, peers: peers,
	}
	for _, option := range options {
		option(e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	for _, peer := range peers {
		e.group.Go(func() { e.reportTo(ctx, peer) })
	}
	e.group.Go(func() { e.expire(ctx) })
	return e
}

// Close stops reporting and waits until the background goroutines have ended.
func (e *Exchange) Close() {
	e.cancel()
	e.group.Wait()
}

// Alive returns the live upstreams.
func (e *Exchange) Alive() []*schema.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Alive(e.common.Clock.Now())
}

// CaughtUp reports whether every other gateway has responded or could not be reached
// since the start. If so, this gateway has the newest configuration that any
// reachable gateway had.
func (e *Exchange) CaughtUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.contacted) == len(e.peers)
}

// ServeExchange receives the reports of another gateway and responds to each with
// the configuration if that gateway has an older one.
func (e *Exchange) ServeExchange(_ context.Context, from figbank.ProcessID, stream *transport.Stream) {
	for {
		report := &schema.ExchangeReport{}
		if err := stream.Receive(report); err != nil {
			return
		}
		if report.GetConfiguration() != nil {
			e.holder.Offer(report.GetConfiguration())
		}
		e.update(func(now time.Time) bool {
			return e.table.Report(now, from, report.GetUpstreams(), report.GetFull())
		})
		answer := &schema.ExchangeAnswer{
			ConfigIndex:   uint64(e.holder.Index()),
			Configuration: e.holder.NewerThan(report.GetConfigIndex()),
		}
		if err := stream.Send(answer); err != nil {
			return
		}
	}
}

// update calls change to modify the table. If change returns true, it notifies the sessions
// of all agents, the reporters to all gateways and the change handler.
func (e *Exchange) update(change func(now time.Time) bool) {
	now := e.common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !change(now) {
		return
	}
	close(e.changed)
	e.changed = make(chan struct{})
	e.onChange(e.table.Alive(now))
}

// changeSignal returns a channel that is closed at the next change of the table.
func (e *Exchange) changeSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// expire marks the upstreams whose lease has expired as down. It also reports a change when
// records received from another gateway expire because that gateway has gone silent.
func (e *Exchange) expire(ctx context.Context) {
	ticks, stop := e.common.Clock.Tick(e.lease / expiryChecksPerLease)
	defer stop()
	alive := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		e.update(func(now time.Time) bool {
			expired := e.table.Expire(now)
			before := alive
			alive = len(e.table.Alive(now))
			return expired || alive != before
		})
	}
}
