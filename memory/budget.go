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
		limit   figbank.Bytes
		used    atomic.Int64
		refused [uses]atomic.Int64
	}

	// Reservation is one request's part of the budget, for one use. It is not safe for concurrent
	// use. A nil Reservation counts nothing and has no limit.
	Reservation struct {
		budget *Budget
		use    Use
		// share is the part of needed that is not taken from the budget.
		share  figbank.Bytes
		needed figbank.Bytes
	}
)

// NewBudget returns a budget of limit bytes.
func NewBudget(limit figbank.Bytes) *Budget {
	return &Budget{limit: limit}
}

// Used returns the bytes that are reserved now.
func (b *Budget) Used() figbank.Bytes {
	return figbank.Bytes(b.used.Load())
}

// TakeRefused returns how many times a reservation could not grow, by use, since the last call.
func (b *Budget) TakeRefused() map[Use]int64 {
	counts := map[Use]int64{}
	for use := range uses {
		if count := b.refused[use].Swap(0); count > 0 {
			counts[use] = count
		}
	}
	return counts
}

// Reserve returns a reservation of no bytes. It must be released. Its first share bytes are not
// taken from the budget, and never refused.
func (b *Budget) Reserve(use Use, share figbank.Bytes) *Reservation {
	return &Reservation{budget: b, use: use, share: share}
}

// Grow reserves more bytes. It returns false if the budget has no room for them.
func (r *Reservation) Grow(bytes figbank.Bytes) bool {
	if r == nil {
		return true
	}
	return r.Fit(r.needed + bytes)
}

// Fit makes the reservation hold at least total bytes. It returns false if the budget has no room
// for them.
func (r *Reservation) Fit(total figbank.Bytes) bool {
	if r == nil || r.budget == nil || total <= r.needed {
		return true
	}
	more := max(0, total-r.share) - r.taken()
	if !r.budget.take(r.use, more) {
		return false
	}
	r.needed = total
	return true
}

// Release gives all reserved bytes back. It may be called more than once.
func (r *Reservation) Release() {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.used.Add(-int64(r.taken()))
	r.needed = 0
}

// taken returns the bytes that the reservation has taken from the budget.
func (r *Reservation) taken() figbank.Bytes {
	return max(0, r.needed-r.share)
}

func (b *Budget) take(use Use, bytes figbank.Bytes) bool {
	if bytes == 0 {
		return true
	}
	if figbank.Bytes(b.used.Add(int64(bytes))) > most(use, b.limit) {
		b.used.Add(-int64(bytes))
		b.refused[use].Add(1)
		return false
	}
	return true
}
