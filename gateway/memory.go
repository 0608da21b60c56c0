package gateway

import (
	"sync/atomic"

	"figbank"
)

type (
	// memory is the budget for all bytes that requests hold in this process. It is
	// safe for concurrent use.
	memory struct {
		most int64
		held atomic.Int64
	}

	// reservation is one request's part of the budget.
	reservation struct {
		memory *memory
		bytes  int64
	}
)

func newMemory(most figbank.Bytes) *memory {
	return &memory{most: int64(most)}
}

func (m *memory) reserve() *reservation {
	return &reservation{memory: m}
}

// grow takes more of the budget, or returns false when it is spent.
func (r *reservation) grow(bytes int64) bool {
	if r.memory.held.Add(bytes) > r.memory.most {
		r.memory.held.Add(-bytes)
		return false
	}
	r.bytes += bytes
	return true
}

func (r *reservation) release() {
	r.memory.held.Add(-r.bytes)
	r.bytes = 0
}
