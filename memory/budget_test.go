package memory

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"figbank"
)

const kib figbank.Bytes = 1 << 10

// Answers that can be passed on must not push out the requests of other callers.
func TestExpendableUsesStopFirst(t *testing.T) {
	scenarios := []struct {
		name string
		use  Use
		used figbank.Bytes
		want bool
	}{
		{name: "answer within half", use: Answer, used: 3 * kib, want: true},
		{name: "answer beyond half", use: Answer, used: 4 * kib},
		{name: "event beside answers", use: Event, used: 4 * kib, want: true},
		{name: "event beyond three quarters", use: Event, used: 6 * kib},
		{name: "body beside events", use: Body, used: 6 * kib, want: true},
		{name: "body beyond its share", use: Body, used: 7 * kib},
		{name: "request beside bodies", use: Request, used: 7 * kib, want: true},
		{name: "request beyond the budget", use: Request, used: 8 * kib},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			budget := NewBudget(8 * kib)
			budget.Reserve(Request, 0).Grow(s.used)
			if got := budget.Reserve(s.use, 0).Grow(kib); got != s.want {
				t.Errorf("Grow() beside %d bytes = %t, want %t", s.used, got, s.want)
			}
			if got := budget.TakeRefused()[s.use] == 0; got != s.want {
				t.Errorf("counted as granted = %t, want %t", got, s.want)
			}
		})
	}
}

func TestShareIsNeverRefused(t *testing.T) {
	budget := NewBudget(0)
	r := budget.Reserve(Answer, 16*kib)
	if !r.Grow(10*kib) || !r.Fit(16*kib) {
		t.Error("Grow() within the share = false, want true")
	}
	if r.Grow(1) {
		t.Error("Grow() beyond the share = true, want false")
	}
	r.Release()
	if got := budget.Used(); got != 0 {
		t.Errorf("Used() = %d, want 0", got)
	}
}

func TestReadAll(t *testing.T) {
	scenarios := []struct {
		name          string
		bytes, length int
		limit, budget figbank.Bytes
		want          int
		wantFull      bool
		maxReserved   figbank.Bytes
	}{
		{name: "empty", length: -1, limit: 64 * kib, budget: 1 << 20, maxReserved: 4 * kib},
		{name: "of known length", bytes: 40_000, length: 40_000, limit: 64 * kib, budget: 1 << 20, want: 40_000, maxReserved: 40_001},
		{name: "of unknown length", bytes: 40_000, length: -1, limit: 64 * kib, budget: 1 << 20, want: 40_000, maxReserved: 64 * kib},
		{name: "longer than its limit", bytes: 90_000, length: -1, limit: 64 * kib, budget: 1 << 20, want: 64<<10 + 1, maxReserved: 64*kib + 1},
		{name: "as long as its limit", bytes: 64 << 10, length: -1, limit: 64 * kib, budget: 1 << 20, want: 64 << 10, maxReserved: 64*kib + 1},
		{name: "longer than the room", bytes: 40_000, length: -1, limit: 64 * kib, budget: 32 * kib, want: 16 << 10, wantFull: true, maxReserved: 16 * kib},
		{name: "little of what is promised", bytes: 100, length: 40_000, limit: 64 * kib, budget: 32 * kib, want: 100, maxReserved: 4 * kib},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			budget := NewBudget(s.budget)
			source := bytes.Repeat([]byte("a"), s.bytes)
			r := budget.Reserve(Answer, 0)
			got, err := r.ReadAll(bytes.NewReader(source), figbank.Bytes(s.length), s.limit)
			if !bytes.Equal(got, source[:s.want]) || errors.As(err, new(FullError)) != s.wantFull || !s.wantFull && err != nil {
				t.Errorf("ReadAll() = %d bytes, %v, want %d, full: %t", len(got), err, s.want, s.wantFull)
			}
			if used := budget.Used(); used > s.maxReserved || used < figbank.Bytes(len(got)) {
				t.Errorf("Used() = %d, want at least %d and at most %d", used, len(got), s.maxReserved)
			}
			r.Release()
			if used := budget.Used(); used != 0 {
				t.Errorf("Used() = %d after Release(), want 0", used)
			}
		})
	}
}

func TestReadAllReturnsWhatCameBeforeAnError(t *testing.T) {
	var r *Reservation
	got, err := r.ReadAll(io.MultiReader(strings.NewReader("part"), brokenReader{}), -1, kib)
	if string(got) != "part" || !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("ReadAll() = %q, %v, want %q, %v", got, err, "part", io.ErrClosedPipe)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestConcurrentReservationsStayWithinTheBudget(t *testing.T) {
	budget := NewBudget(64 * kib)
	var group sync.WaitGroup
	for seed := range uint64(16) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 0))
			for range 2000 {
				r := budget.Reserve(Use(random.IntN(int(uses))), figbank.Bytes(random.IntN(100)))
				r.Grow(figbank.Bytes(random.IntN(9000)))
				r.Grow(figbank.Bytes(random.IntN(9000)))
				r.Release()
			}
		})
	}
	group.Wait()
	if got := budget.Used(); got != 0 {
		t.Errorf("Used() = %d, want 0", got)
	}
}
