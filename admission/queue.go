package admission

import (
	"time"

	"figbank"
)

type (
	// Ticket is the entry of one waiting request in a Queue.
	Ticket struct {
		Workspace figbank.Workspace
		Cost      figbank.Cost
		queuedAt  time.Time
	}

	// Queue is a start-time fair queue over workspaces (Goyal et al., 1996).
	// Waiting workspaces get equal shares of a service by cost, not by number of
	// requests. It is not safe for concurrent use.
	Queue struct {
		maxLength int
		maxAge    time.Duration
		// virtualTime is the virtual start time of the request that Pop returned last.
		virtualTime float64
		flows       map[figbank.Workspace]*flow
		size        int
	}

	// flow holds one workspace's waiting requests, oldest first. start is the virtual time
	// at which its first request is due. finish is the virtual time at which its last popped
	// request ends.
	flow struct {
		tickets []*Ticket
		start   float64
		finish  float64
	}
)

// NewQueue returns a queue that holds at most maxLength requests, each for at most maxAge.
func NewQueue(maxLength int, maxAge time.Duration) *Queue {
	return &Queue{maxLength: maxLength, maxAge: maxAge, flows: map[figbank.Workspace]*flow{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.size
}

// Push adds a request, or returns false when it is refused. From half full on,
// the queue refuses workspaces that already hold their share of it. A full queue
// refuses everyone.
func (q *Queue) Push(now time.Time, ticket *Ticket) bool {
	f, found := q.flows[ticket.Workspace]
	queued := 0
	if found {
		queued = len(f.tickets)
	}
	if q.size >= q.maxLength || q.size >= q.maxLength/2 && queued >= q.maxLength/(len(q.flows)+1) {
		return false
	}
	if !found {
		f = &flow{}
		q.flows[ticket.Workspace] = f
	}
	if len(f.tickets) == 0 {
		f.start = max(q.virtualTime, f.finish)
	}
	ticket.queuedAt = now
	f.tickets = append(f.tickets, ticket)
	q.size++
	return true
}

// Peek returns the request that is due next, or nil.
func (q *Queue) Peek() *Ticket {
	if f := q.next(); f != nil {
		return f.tickets[0]
	}
	return nil
}

// Pop removes and returns the request that is due next, or returns nil.
func (q *Queue) Pop() *Ticket {
	f := q.next()
	if f == nil {
		return nil
	}
	ticket := f.tickets[0]
	f.tickets = f.tickets[1:]
	q.size--
	q.virtualTime = f.start
	f.finish = f.start + float64(ticket.Cost)
	f.start = f.finish
	q.removeIdleFlows()
	return ticket
}

// Remove removes a request, for instance because its caller disconnected. It
// returns false if the request is not in the queue.
func (q *Queue) Remove(ticket *Ticket) bool {
	f, found := q.flows[ticket.Workspace]
	if !found {
		return false
	}
	for i, waiting := range f.tickets {
		if waiting == ticket {
			f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
			q.size--
			return true
		}
	}
	return false
}

// Expire removes and returns the requests that have waited too long.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var expired []*Ticket
	for _, f := range q.flows {
		for len(f.tickets) > 0 && now.Sub(f.tickets[0].queuedAt) >= q.maxAge {
			expired = append(expired, f.tickets[0])
			f.tickets = f.tickets[1:]
			q.size--
		}
	}
	return expired
}

// next returns the flow whose first request is due next, or nil if no request waits.
func (q *Queue) next() *flow {
	var first *flow
	var firstName figbank.Workspace
	for name, f := range q.flows {
		if len(f.tickets) == 0 {
			continue
		}
		if first == nil || f.start < first.start || f.start == first.start && name < firstName {
			first, firstName = f, name
		}
	}
	return first
}

// removeIdleFlows removes empty flows whose finish time no longer affects the order.
func (q *Queue) removeIdleFlows() {
	for name, f := range q.flows {
		if len(f.tickets) == 0 && f.finish <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}
