// Package relay forwards requests to upstreams through their agents. It queues
// requests in fair order, retries them at other upstreams, and streams responses
// back under credit-based flow control.
package relay

import (
	"context"
	"math/rand/v2"
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
)

// scheduleInterval is how often the queues are checked even if no event triggers a check.
const scheduleInterval = 20 * time.Millisecond

type (
	// Settings holds the settings of a relay.
	Settings struct {
		Location routing.Location
		// StreamWindow is how much of a response an agent may send before the caller has
		// read it.
		StreamWindow figbank.Bytes
		// QueueLength bounds how many requests of a service wait. QueueAge bounds how long each
		// of them waits.
		QueueLength int
		QueueAge    time.Duration
		// Deadline is the time from a request's arrival to the first byte of its answer. It
		// bounds all attempts together.
		Deadline time.Duration
		// RetryShare is the number of retries allowed per hundred requests.
		RetryShare int64
	}

	// Request holds what the relay needs to route, send and retry a caller's request. Its
	// body has been received completely.
	Request struct {
		ID        figbank.RequestID
		Workspace figbank.Workspace
		Service   figbank.ServiceName
		Method    string
		Path      string
		Headers   []*schema.Header
		Body      []byte
		Cost      figbank.Cost
		// Affinity groups requests that share a prompt prefix; 0 for none.
		Affinity uint64
		// Repeatable is set when the request may run more than once.
		Repeatable bool
	}

	// ResponseWriter writes a response to the caller.
	ResponseWriter interface {
		// SetHead stores the head, which is sent before the first part of the body.
		SetHead(head *schema.AnswerHead)
		// Write writes a piece of the body. It blocks while the caller reads slowly.
		Write(piece []byte) error
		// Started reports whether any part of the response has been sent to the caller.
		Started() bool
	}

	// Relay queues requests and forwards them to upstreams. It is safe for
	// concurrent use.
	Relay struct {
		common   figbank.Common
		settings Settings
		holder   *configuration.Holder
		pool     *transport.Pool
		budget   *retry.Budget

		table     atomic.Pointer[routing.Table]
		scheduler *scheduler

		refreshMu sync.Mutex
		live      []*schema.Upstream

		cancel context.CancelFunc
		group  sync.WaitGroup
	}
)

// New returns a relay that follows the changes of the configuration in holder. Its background
// goroutine runs until Close.
func New(common figbank.Common, settings Settings, holder *configuration.Holder, pool *transport.Pool) *Relay {
	r := &Relay{
		common: common.Named("relay"), settings: settings, holder: holder, pool: pool,
		budget: retry.NewBudget(settings.RetryShare, common.Clock.Now()),
	}
	r.table.Store(routing.NewTable(nil, settings.Location, holder.Current(), nil))
	r.scheduler = newScheduler(common.Clock, &r.table, func() *admission.Queue {
		return admission.NewQueue(settings.QueueLength, settings.QueueAge)
	})
	holder.Watch(func(*schema.Configuration) { r.refresh(nil) })
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group.Go(func() { r.runScheduler(ctx) })
	return r
}

// Close stops the relay's background goroutine.
func (r *Relay) Close() {
	r.cancel()
	r.group.Wait()
}

// SetUpstreams replaces the list of live upstreams and rebuilds the routing table. A nil list
// keeps the previous one.
func (r *Relay) SetUpstreams(live []*schema.Upstream) {
	r.refresh(live)
}

// UpdateLoad records the load that an upstream announced.
func (r *Relay) UpdateLoad(upstream *schema.Upstream) {
	r.table.Load().UpdateLoad(upstream, r.common.Clock.Now())
	r.scheduler.schedule(figbank.ServiceName(upstream.GetService()))
}

// CountRoutable counts a service's routable upstreams, in one failure domain and in total.
func (r *Relay) CountRoutable(service figbank.ServiceName, domain figbank.FailureDomain) (inDomain, inAll int64) {
	for _, candidate := range r.table.Load().Candidates(service) {
		inAll++
		if candidate.FailureDomain == domain {
			inDomain++
		}
	}
	return inDomain, inAll
}

// QueueLengths returns the number of waiting requests by service.
func (r *Relay) QueueLengths() map[figbank.ServiceName]int {
	return r.scheduler.queueLengths()
}

// Serve runs a request at one upstream after another, until one has responded or
// the retry rules give up. A nil error means that the complete answer was passed to
// response.
func (r *Relay) Serve(ctx context.Context, request *Request, response ResponseWriter) error {
	route := &routing.Request{Service: request.Service, Cost: request.Cost, Affinity: request.Affinity}
	random := newRandom()
	r.budget.Deposit(r.common.Clock.Now())
	deadline := r.common.Clock.Now().Add(r.settings.Deadline)
	var outcome retry.Outcome
	for number := 1; ; number++ {
		candidate, err := r.scheduler.acquire(ctx, request.Workspace, route)
		if err != nil {
			return outcome.Error(err)
		}
		r.recordEvent("Routed", request, string(candidate.ID))
		try := &attempt{relay: r, request: request, candidate: candidate, response: response, deadline: deadline}
		err = try.run(ctx)
		outcome.Record(err)
		if err == nil {
			return nil
		}
		action := retry.Decide(r.common.Clock.Now(), retry.Failure{Err: err, Repeatable: request.Repeatable, AnswerStarted: response.Started()}, r.budget)
		if action.Ends() || !r.common.Clock.Now().Before(deadline) {
			return outcome.Error(err)
		}
		if action == retry.RetryElsewhere {
			r.recordEvent("Retry", request, err.Error())
			route.Tried = append(route.Tried, candidate.ID)
			if !r.pause(ctx, retry.Delay(number, random)) {
				return outcome.Error(err)
			}
		}
	}
}

// refresh rebuilds the routing table. If live is nil, the known upstreams stay.
func (r *Relay) refresh(live []*schema.Upstream) {
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	if live != nil {
		r.live = live
	}
	next := routing.NewTable(r.table.Load(), r.settings.Location, r.holder.Current(), r.live)
	r.table.Store(next)
	r.scheduler.scheduleAll()
}

// runScheduler refuses requests that have waited too long, and assigns waiting requests to
// upstreams, until ctx ends.
func (r *Relay) runScheduler(ctx context.Context) {
	ticks, stop := r.common.Clock.Tick(scheduleInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			r.scheduler.expire()
			r.scheduler.scheduleAll()
		}
	}
}

// pause waits for d. It returns false if ctx ends first.
func (r *Relay) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.common.Clock.After(d):
		return true
	}
}

func (r *Relay) recordEvent(name string, request *Request, detail string) {
	r.common.Recorder.Record(&schema.Event{Part: "relay", Name: name, RequestId: string(request.ID), Detail: detail})
}

// newRandom returns a random source with its own seed.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // used to spread load, not for secrets
}
