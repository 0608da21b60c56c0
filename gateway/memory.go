package gateway

import (
	"sync/atomic"

	"figbank"
)

type (
	// memoryBudget limits the bytes that all requests together hold in this
	// process. It is safe for concurrent use.
	memoryBudget struct {
		limit int64
		used  atomic.Int64
	}

	// reservation is one request's part of the budget. It is not safe for concurrent use.
	reservation struct {
		budget *memoryBudget
		bytes  int64
	}
)

func newMemoryBudget(limit figbank.Bytes) *memoryBudget {
	return &memoryBudget{limit: int64(limit)}
}

// reserve returns a reservation of no bytes.
func (m *memoryBudget) reserve() *reservation {
	return &reservation{budget: m}
}

// grow reserves more bytes. It returns false if that would exceed the budget.
func (r *reservation) grow(bytes int64) bool {
	if r.budget.used.Add(bytes) > r.budget.limit {
		r.budget.used.Add(-bytes)
		return false
	}
	r.bytes += bytes
	return true
}

// release returns all reserved bytes to the budget.
func (r *reservation) release() {
	r.budget.used.Add(-r.bytes)
	r.bytes = 0
}
