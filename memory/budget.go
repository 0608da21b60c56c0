// Package memory limits the bytes that all requests of a process hold together.
package memory

import (
	"sync/atomic"

	"figbank"
)

type (
	// Budget counts and limits the bytes that all requests together hold in this process. It is
	// safe for concurrent use. A nil Budget counts nothing and has no limit.
	Budget struct {
		limit int64
		used  atomic.Int64
	}

	// Reservation is one request's part of the budget. It is not safe for concurrent use.
	Reservation struct {
		budget *Budget
		bytes  int64
	}
)

// NewBudget returns a budget of limit bytes.
func NewBudget(limit figbank.Bytes) *Budget {
	return &Budget{limit: int64(limit)}
}

// Used returns the bytes that are reserved now.
func (b *Budget) Used() figbank.Bytes {
	return figbank.Bytes(b.used.Load())
}

// Reserve returns a reservation of no bytes. It must be released.
func (b *Budget) Reserve() *Reservation {
	return &Reservation{budget: b}
}

// Grow reserves more bytes. It returns false if that would exceed the budget.
func (r *Reservation) Grow(bytes figbank.Bytes) bool {
	if r.budget == nil {
		return true
	}
	if r.budget.used.Add(int64(bytes)) > r.budget.limit {
		r.budget.used.Add(-int64(bytes))
		return false
	}
	r.bytes += int64(bytes)
	return true
}

// Release returns all reserved bytes to the budget. It may be called more than once.
func (r *Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.used.Add(-r.bytes)
	r.bytes = 0
}
