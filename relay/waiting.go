package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"figbank"
	"figbank/admission"
	"figbank/routing"
)

type (
	// waiting lets requests wait for an upstream with room, in fair order. It is
	// safe for concurrent use.
	waiting struct {
		clock    figbank.Clock
		table    *atomic.Pointer[routing.Table]
		newQueue func() *admission.Queue

		mu      sync.Mutex
		random  *rand.Rand
		queues  map[figbank.ServiceName]*admission.Queue
		waiters map[*admission.Ticket]*waiter
	}

	// waiter is one request that waits.
	waiter struct {
		request *routing.Request
		picked  chan pick
	}

	// pick is an upstream for a request, or why there is none.
	pick struct {
		candidate routing.Candidate
		err       error
	}
)

func newWaiting(clock figbank.Clock, table *atomic.Pointer[routing.Table], newQueue func() *admission.Queue) *waiting {
	return &waiting{
		clock: clock, table: table, newQueue: newQueue, random: newRandom(),
		queues:  map[figbank.ServiceName]*admission.Queue{},
		waiters: map[*admission.Ticket]*waiter{},
	}
}

// acquire returns an upstream with room, whose believed free capacity is
// lowered, or a NotRunError.
func (w *waiting) acquire(ctx context.Context, workspace figbank.Workspace, request *routing.Request) (routing.Candidate, error) {
	ticket, waiter, done := w.enter(workspace, request)
	if done != nil {
		return done.candidate, done.err
	}
	select {
	case p := <-waiter.picked:
		return p.candidate, p.err
	case <-ctx.Done():
		return w.leave(ticket, waiter)
	}
}

// enter picks at once when nobody waits before the request, else queues it.
func (w *waiting) enter(workspace figbank.Workspace, request *routing.Request) (*admission.Ticket, *waiter, *pick) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue(request.Service)
	if queue.Len() == 0 {
		if candidate, found := w.pick(request); found {
			return nil, nil, &pick{candidate: candidate}
		}
	}
	if !w.table.Load().Reachable(request) {
		return nil, nil, &pick{err: figbank.NotRunError{Reason: figbank.ReasonNoUpstream}}
	}
	ticket := &admission.Ticket{Workspace: workspace, Cost: request.Cost}
	if !queue.Push(w.clock.Now(), ticket) {
		return nil, nil, &pick{err: figbank.NotRunError{Reason: figbank.ReasonQueueFull}}
	}
	waiter := &waiter{request: request, picked: make(chan pick, 1)}
	w.waiters[ticket] = waiter
	return ticket, waiter, nil
}

// leave takes a request out whose caller is gone, and gives back what it was
// picked for meanwhile.
func (w *waiting) leave(ticket *admission.Ticket, waiter *waiter) (routing.Candidate, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, found := w.waiters[ticket]; found {
		w.queue(waiter.request.Service).Remove(ticket)
		delete(w.waiters, ticket)
	} else if p := <-waiter.picked; p.err == nil {
		p.candidate.Load.Return(waiter.request.Cost)
	}
	return routing.Candidate{}, figbank.NotRunError{Reason: figbank.ReasonCallerGone}
}

// wake gives a service's waiting requests what has become free.
func (w *waiting) wake(service figbank.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if queue, found := w.queues[service]; found {
		w.drain(queue)
	}
}

func (w *waiting) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, queue := range w.queues {
		w.drain(queue)
	}
}

func (w *waiting) drain(queue *admission.Queue) {
	for {
		ticket := queue.Peek()
		if ticket == nil {
			return
		}
		waiter := w.waiters[ticket]
		candidate, found := w.pick(waiter.request)
		if !found && w.table.Load().Reachable(waiter.request) {
			return
		}
		queue.Pop()
		delete(w.waiters, ticket)
		if !found {
			waiter.picked <- pick{err: figbank.NotRunError{Reason: figbank.ReasonNoUpstream}}
			continue
		}
		waiter.picked <- pick{candidate: candidate}
	}
}

// expire refuses the requests that have waited too long.
func (w *waiting) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, queue := range w.queues {
		for _, ticket := range queue.Expire(w.clock.Now()) {
			w.waiters[ticket].picked <- pick{err: figbank.NotRunError{Reason: figbank.ReasonQueueTimeout}}
			delete(w.waiters, ticket)
		}
	}
}

func (w *waiting) lengths() map[figbank.ServiceName]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	lengths := map[figbank.ServiceName]int{}
	for service, queue := range w.queues {
		lengths[service] = queue.Len()
	}
	return lengths
}

func (w *waiting) queue(service figbank.ServiceName) *admission.Queue {
	queue, found := w.queues[service]
	if !found {
		queue = w.newQueue()
		w.queues[service] = queue
	}
	return queue
}

func (w *waiting) pick(request *routing.Request) (routing.Candidate, bool) {
	request.Now = w.clock.Now()
	candidate, found := w.table.Load().Pick(request, w.random)
	if found {
		candidate.Load.Take(request.Cost, request.Now)
	}
	return candidate, found
}
