package admission

import (
	"time"

	"figbank"
)

type (
	// Ticket is one request that waits.
	Ticket struct {
		Workspace figbank.Workspace
		Cost      figbank.Cost
		queuedAt  time.Time
	}

	// Queue is a start-time fair queue over workspaces (Goyal et al., 1996):
	// workspaces share a service by cost, whoever sends more requests. It is not
	// safe for concurrent use.
	Queue struct {
		length  int
		age     time.Duration
		virtual float64
		flows   map[figbank.Workspace]*flow
		size    int
	}

	// flow is one workspace's waiting requests, oldest first. Start is the virtual
	// time at which its first request is due.
	flow struct {
		tickets []*Ticket
		start   float64
		finish  float64
	}
)

// NewQueue returns a queue of at most length requests, each for at most age.
func NewQueue(length int, age time.Duration) *Queue {
	return &Queue{length: length, age: age, flows: map[figbank.Workspace]*flow{}}
}

// Len is the number of waiting requests.
func (q *Queue) Len() int {
	return q.size
}

// Push adds a request, or returns false when the queue is full. A workspace
// that holds more than its share of a full queue is refused first.
func (q *Queue) Push(now time.Time, ticket *Ticket) bool {
	f, found := q.flows[ticket.Workspace]
	held := 0
	if found {
		held = len(f.tickets)
	}
	if q.size >= q.length || q.size >= q.length/2 && held >= q.length/(len(q.flows)+1) {
		return false
	}
	if !found {
		f = &flow{}
		q.flows[ticket.Workspace] = f
	}
	if len(f.tickets) == 0 {
		f.start = max(q.virtual, f.finish)
	}
	ticket.queuedAt = now
	f.tickets = append(f.tickets, ticket)
	q.size++
	return true
}

// Peek returns the request that is due next, or nil.
func (q *Queue) Peek() *Ticket {
	if f := q.due(); f != nil {
		return f.tickets[0]
	}
	return nil
}

// Pop removes the request that Peek returns.
func (q *Queue) Pop() *Ticket {
	f := q.due()
	if f == nil {
		return nil
	}
	ticket := f.tickets[0]
	f.tickets = f.tickets[1:]
	q.size--
	q.virtual = f.start
	f.finish = f.start + float64(ticket.Cost)
	f.start = f.finish
	q.forgetIdle()
	return ticket
}

// Remove takes a request out, for instance because its caller is gone.
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
		for len(f.tickets) > 0 && now.Sub(f.tickets[0].queuedAt) >= q.age {
			expired = append(expired, f.tickets[0])
			f.tickets = f.tickets[1:]
			q.size--
		}
	}
	return expired
}

func (q *Queue) due() *flow {
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

// forgetIdle drops workspaces whose past no longer matters.
func (q *Queue) forgetIdle() {
	for name, f := range q.flows {
		if len(f.tickets) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}
