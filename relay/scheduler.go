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
	// scheduler assigns requests to upstreams with free capacity. A request for which no
	// upstream has free capacity waits in the fair queue of its service. A scheduler is safe
	// for concurrent use.
	scheduler struct {
		clock    figbank.Clock
		table    *atomic.Pointer[routing.Table]
		newQueue func() *admission.Queue

		mu      sync.Mutex
		random  *rand.Rand
		queues  map[figbank.ServiceName]*admission.Queue
		waiters map[*admission.Ticket]*waiter
	}

	// waiter receives the assignment of one waiting request.
	waiter struct {
		request  *routing.Request
		assigned chan assignment
	}

	// assignment is the upstream for a request, or the reason why there is none.
	assignment struct {
		candidate routing.Candidate
		err       error
	}
)

func newScheduler(clock figbank.Clock, table *atomic.Pointer[routing.Table], newQueue func() *admission.Queue) *scheduler {
	return &scheduler{
		clock: clock, table: table, newQueue: newQueue, random: newRandom(),
		queues:  map[figbank.ServiceName]*admission.Queue{},
		waiters: map[*admission.Ticket]*waiter{},
	}
}

// acquire waits for an upstream with free capacity, subtracts the request's cost
// from the estimate of that capacity, and returns the upstream. It returns a NotRunError
// if no upstream is eligible, the queue is full, the request has waited too long, or ctx
// ends.
func (s *scheduler) acquire(ctx context.Context, workspace figbank.Workspace, request *routing.Request) (routing.Candidate, error) {
	ticket, waiter, done := s.enqueue(workspace, request)
	if done != nil {
		return done.candidate, done.err
	}
	select {
	case assigned := <-waiter.assigned:
		return assigned.candidate, assigned.err
	case <-ctx.Done():
		return s.cancel(ticket, waiter)
	}
}

// enqueue assigns the request at once if no other request is queued and an upstream has free
// capacity. It refuses the request if no upstream is eligible or the queue is full. Otherwise
// it queues the request, returns its ticket and waiter, and the assignment is nil.
func (s *scheduler) enqueue(workspace figbank.Workspace, request *routing.Request) (*admission.Ticket, *waiter, *assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queue(request.Service)
	if queue.Len() == 0 {
		if candidate, found := s.pick(request); found {
			return nil, nil, &assignment{candidate: candidate}
		}
	}
	if !s.table.Load().HasEligible(request) {
		return nil, nil, &assignment{err: figbank.NotRunError{Reason: figbank.ReasonNoUpstream}}
	}
	ticket := &admission.Ticket{Workspace: workspace, Cost: request.Cost}
	if !queue.Push(s.clock.Now(), ticket) {
		return nil, nil, &assignment{err: figbank.NotRunError{Reason: figbank.ReasonQueueFull}}
	}
	waiter := &waiter{request: request, assigned: make(chan assignment, 1)}
	s.waiters[ticket] = waiter
	return ticket, waiter, nil
}

// cancel removes a request whose context has ended. If the request has been assigned in
// the meantime, it releases the reserved capacity.
func (s *scheduler) cancel(ticket *admission.Ticket, waiter *waiter) (routing.Candidate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.waiters[ticket]; found {
		s.queue(waiter.request.Service).Remove(ticket)
		delete(s.waiters, ticket)
	} else if assigned := <-waiter.assigned; assigned.err == nil {
		assigned.candidate.Load.Release(waiter.request.Cost)
	}
	return routing.Candidate{}, figbank.NotRunError{Reason: figbank.ReasonCallerGone}
}

// schedule assigns a service's waiting requests to capacity that is now free.
func (s *scheduler) schedule(service figbank.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if queue, found := s.queues[service]; found {
		s.assignQueued(queue)
	}
}

func (s *scheduler) scheduleAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range s.queues {
		s.assignQueued(queue)
	}
}

// assignQueued assigns the requests of a queue in order. It stops at the first request that
// still has to wait for capacity. The caller holds mu.
func (s *scheduler) assignQueued(queue *admission.Queue) {
	for {
		ticket := queue.Peek()
		if ticket == nil {
			return
		}
		waiter := s.waiters[ticket]
		candidate, found := s.pick(waiter.request)
		if !found && s.table.Load().HasEligible(waiter.request) {
			return
		}
		queue.Pop()
		delete(s.waiters, ticket)
		if !found {
			waiter.assigned <- assignment{err: figbank.NotRunError{Reason: figbank.ReasonNoUpstream}}
			continue
		}
		waiter.assigned <- assignment{candidate: candidate}
	}
}

// expire refuses the requests that have waited too long.
func (s *scheduler) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range s.queues {
		for _, ticket := range queue.Expire(s.clock.Now()) {
			s.waiters[ticket].assigned <- assignment{err: figbank.NotRunError{Reason: figbank.ReasonQueueTimeout}}
			delete(s.waiters, ticket)
		}
	}
}

func (s *scheduler) queueLengths() map[figbank.ServiceName]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lengths := map[figbank.ServiceName]int{}
	for service, queue := range s.queues {
		lengths[service] = queue.Len()
	}
	return lengths
}

// queue returns a service's queue. The first call for a service creates it. The caller
// holds mu.
func (s *scheduler) queue(service figbank.ServiceName) *admission.Queue {
	queue, found := s.queues[service]
	if !found {
		queue = s.newQueue()
		s.queues[service] = queue
	}
	return queue
}

// pick chooses an upstream for the request and reserves the capacity for it. The caller
// holds mu.
func (s *scheduler) pick(request *routing.Request) (routing.Candidate, bool) {
	request.Now = s.clock.Now()
	candidate, found := s.table.Load().Pick(request, s.random)
	if found {
		candidate.Load.Reserve(request.Cost, request.Now)
	}
	return candidate, found
}
