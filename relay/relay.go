// Package relay carries requests to upstreams behind agents: it lets them wait
// in fair order, tries upstreams, and passes answers back under credit.
package relay

import (
	"context"
	"errors"
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

// waitingInterval is how often the queues are looked at without news.
const waitingInterval = 20 * time.Millisecond

type (
	// Settings of a relay.
	Settings struct {
		Place        routing.Place
		StreamWindow figbank.Bytes
		QueueLength  int
		QueueAge     time.Duration
		Deadline     time.Duration
		RetryShare   int64
	}

	// Request is one caller's request.
	Request struct {
		ID         figbank.RequestID
		Workspace  figbank.Workspace
		Service    figbank.ServiceName
		Method     string
		Path       string
		Headers    []*schema.Header
		Body       []byte
		Cost       figbank.Cost
		Affinity   uint64
		Repeatable bool
	}

	// Reply takes an answer to the caller.
	Reply interface {
		// SetHead keeps the head until the first write.
		SetHead(head *schema.AnswerHead)
		// Write passes a piece of the body on. It blocks while the caller is slow.
		Write(piece []byte) error
		// Started tells whether the caller has received any part of the answer.
		Started() bool
	}

	// Relay is safe for concurrent use.
	Relay struct {
		common   figbank.Common
		settings Settings
		holder   *configuration.Holder
		pool     *transport.Pool
		budget   *retry.Budget

		table   atomic.Pointer[routing.Table]
		waiting *waiting

		rebuild sync.Mutex
		alive   []*schema.Upstream

		cancel context.CancelFunc
		group  sync.WaitGroup
	}
)

// New returns a relay that follows the configuration in force until Close.
func New(common figbank.Common, settings Settings, holder *configuration.Holder, pool *transport.Pool) *Relay {
	r := &Relay{
		common: common.For("relay"), settings: settings, holder: holder, pool: pool,
		budget: retry.NewBudget(settings.RetryShare),
	}
	r.table.Store(routing.NewTable(nil, settings.Place, holder.Current(), nil))
	r.waiting = newWaiting(common.Clock, &r.table, func() *admission.Queue {
		return admission.NewQueue(settings.QueueLength, settings.QueueAge)
	})
	holder.Watch(func(*schema.Configuration) { r.refresh(nil) })
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group.Go(func() { r.serveWaiting(ctx) })
	return r
}

// Close stops the relay's own work.
func (r *Relay) Close() {
	r.cancel()
	r.group.Wait()
}

// SetUpstreams takes the live upstreams into routing.
func (r *Relay) SetUpstreams(alive []*schema.Upstream) {
	r.refresh(alive)
}

// HearLoad notes an upstream's announced load.
func (r *Relay) HearLoad(upstream *schema.Upstream) {
	r.table.Load().Hear(upstream, r.common.Clock.Now())
	r.waiting.wake(figbank.ServiceName(upstream.GetService()))
}

// Warm counts a service's routable upstreams, in one domain and in all.
func (r *Relay) Warm(service figbank.ServiceName, domain figbank.FailureDomain) (inDomain, inAll int64) {
	for _, candidate := range r.table.Load().Candidates(service) {
		inAll++
		if candidate.FailureDomain == domain {
			inDomain++
		}
	}
	return inDomain, inAll
}

// Waiting counts the requests that wait, by service.
func (r *Relay) Waiting() map[figbank.ServiceName]int {
	return r.waiting.lengths()
}

// Serve tries upstreams until one has answered or retry gives up.
func (r *Relay) Serve(ctx context.Context, request *Request, reply Reply) error {
	route := &routing.Request{Service: request.Service, Cost: request.Cost, Affinity: request.Affinity}
	random := newRandom()
	r.budget.Deposit()
	deadline := r.common.Clock.Now().Add(r.settings.Deadline)
	var last error
	for attempt := 1; ; attempt++ {
		candidate, err := r.waiting.acquire(ctx, request.Workspace, route)
		if err != nil {
			return firstFailure(last, err)
		}
		r.event("Routed", request, string(candidate.ID))
		try := &attemptAt{relay: r, request: request, candidate: candidate, reply: reply, deadline: deadline}
		last = try.run(ctx)
		if last == nil {
			return nil
		}
		action := retry.Decide(retry.Failed{Err: last, Repeatable: request.Repeatable, Passed: reply.Started()}, r.budget)
		if action == retry.GiveUp || !r.common.Clock.Now().Before(deadline) {
			return last
		}
		if action == retry.Again {
			r.event("Retry", request, last.Error())
			route.Tried = append(route.Tried, candidate.ID)
			if !r.pause(ctx, retry.Delay(attempt, random)) {
				return last
			}
		}
	}
}

// firstFailure reports the failed try rather than that no other upstream was
// left, unless the try proved that nothing ran anyway.
func firstFailure(tried, none error) error {
	if tried == nil || errors.As(tried, new(figbank.NotRunError)) {
		return none
	}
	return tried
}

// refresh builds the routing table anew; nil keeps the known upstreams.
func (r *Relay) refresh(alive []*schema.Upstream) {
	r.rebuild.Lock()
	defer r.rebuild.Unlock()
	if alive != nil {
		r.alive = alive
	}
	next := routing.NewTable(r.table.Load(), r.settings.Place, r.holder.Current(), r.alive)
	r.table.Store(next)
	r.waiting.wakeAll()
}

func (r *Relay) serveWaiting(ctx context.Context) {
	ticks, stop := r.common.Clock.Tick(waitingInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			r.waiting.expire()
			r.waiting.wakeAll()
		}
	}
}

func (r *Relay) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.common.Clock.After(d):
		return true
	}
}

func (r *Relay) event(name string, request *Request, detail string) {
	r.common.Recorder.Record(&schema.Event{Part: "relay", Name: name, RequestId: string(request.ID), Detail: detail})
}

// newRandom returns a source for one request.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // spreads load, no secret
}
