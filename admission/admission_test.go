package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"figbank"
)

var noon = time.Unix(1_700_000_000, 0)

func TestRampComplete(t *testing.T) {
	scenarios := []struct {
		name      string
		completed []figbank.Cost
		fail      bool
		want      figbank.Cost
	}{
		{name: "holds the first limit until a round is complete", completed: []figbank.Cost{3}, want: 4},
		{name: "doubles after a full round", completed: []figbank.Cost{2, 2}, want: 8},
		{name: "stops at the ceiling", completed: []figbank.Cost{4, 8, 16, 32}, want: 20},
		{name: "halves after a failure", completed: []figbank.Cost{4, 8}, fail: true, want: 8},
		{name: "never falls below the first limit", fail: true, want: 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			ramp := NewRamp("i", 4, 20)
			for _, cost := range s.completed {
				ramp.Complete(cost)
			}
			if s.fail {
				ramp.Fail()
			}
			if got := ramp.Limit(); got != s.want {
				t.Errorf("Limit() = %v, want %v", got, s.want)
			}
		})
	}
}

// TestLimiterMatchesSum compares a limiter with a plain sum. Admitted work never
// exceeds the limit, except a single larger request with no other work beside
// it. Work of an earlier incarnation counts until it is released.
func TestLimiterMatchesSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewLimiter(4, 32)
		now := noon
		limiter.ConfirmIncarnation(now, limiter.Epoch(), "0")
		var permits []*Permit
		incarnation, sum := 0, figbank.Cost(0)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				cost := figbank.Cost(rapid.IntRange(1, 9).Draw(t, "cost"))
				limit, _ := limiter.Usage()
				permit, _ := limiter.Acquire(now, cost)
				if want := sum == 0 || sum+cost <= limit; (permit != nil) != want {
					t.Fatalf("Acquire(%d) with %d of %d in use = %t, want %t", cost, sum, limit, permit != nil, want)
				}
				if permit != nil {
					permits = append(permits, permit)
					sum += cost
				}
			},
			"release": func(t *rapid.T) {
				if len(permits) == 0 {
					return
				}
				at := rapid.IntRange(0, len(permits)-1).Draw(t, "at")
				permits[at].Release(rapid.SampledFrom([]Result{Abandoned, Completed, Failed}).Draw(t, "end"))
				sum -= permits[at].cost
				permits = append(permits[:at], permits[at+1:]...)
			},
			"restart": func(*rapid.T) {
				incarnation++
				limiter.ConfirmIncarnation(now, limiter.Epoch(), figbank.Incarnation(fmt.Sprint(incarnation)))
				if limit, _ := limiter.Usage(); limit != 4 {
					t.Fatalf("limit of a new incarnation = %d, want 4", limit)
				}
			},
			"": func(t *rapid.T) {
				if _, inUse := limiter.Usage(); inUse != sum {
					t.Fatalf("in use = %d, want %d", inUse, sum)
				}
			},
		})
	})
}

// TestUnconfirmedUpstream uses a warm upstream of limit 16 that may have
// restarted. Until its incarnation is known, it must get no more than the first
// limit.
func TestUnconfirmedUpstream(t *testing.T) {
	const first, ceiling = 4, 16
	scenarios := []struct {
		name string
		act  func(limiter *Limiter)
		// wait is the time since the last confirmation.
		wait time.Duration
		want int
	}{
		{name: "is warm", wait: confirmationLifetime, want: 16},
		{name: "was idle for too long", wait: confirmationLifetime + 1, want: first},
		{name: "failed a call", act: func(l *Limiter) { l.Suspect() }, want: first},
		{
			name: "failed a call, but did not restart",
			act:  func(l *Limiter) { l.Suspect(); l.ConfirmIncarnation(noon, l.Epoch(), "warm") }, want: 16,
		},
		{
			name: "confirmed as not restarted, but asked before the failed call",
			act: func(l *Limiter) {
				epoch := l.Epoch()
				l.Suspect()
				l.ConfirmIncarnation(noon, epoch, "warm")
			},
			want: first,
		},
		{
			name: "failed a call and has restarted",
			act:  func(l *Limiter) { l.Suspect(); l.ConfirmIncarnation(noon, l.Epoch(), "new") }, want: first,
		},
		{
			name: "failed one call of many, the others may still run",
			act: func(l *Limiter) {
				for range 14 {
					l.Acquire(noon, 1)
				}
				l.Suspect()
			},
			want: 2,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			limiter := NewLimiter(first, ceiling)
			limiter.ConfirmIncarnation(noon, limiter.Epoch(), "warm")
			for range 40 {
				permit, _ := limiter.Acquire(noon, 1)
				permit.Release(Completed)
			}
			if s.act != nil {
				s.act(limiter)
			}
			got := 0
			for permit, _ := limiter.Acquire(noon.Add(s.wait), 1); permit != nil; permit, _ = limiter.Acquire(noon.Add(s.wait), 1) {
				got++
			}
			if got != s.want {
				t.Errorf("admitted at once = %d, want %d", got, s.want)
			}
		})
	}
}

// TestRevalidateAfterRestart admits work to a warm upstream that restarts before the
// work starts. Only as much as the first limit allows may still start.
func TestRevalidateAfterRestart(t *testing.T) {
	limiter := NewLimiter(4, 16)
	limiter.ConfirmIncarnation(noon, limiter.Epoch(), "warm")
	for range 40 {
		permit, _ := limiter.Acquire(noon, 1)
		permit.Release(Completed)
	}
	var admitted []*Permit
	for range 12 {
		permit, _ := limiter.Acquire(noon, 1)
		admitted = append(admitted, permit)
	}
	limiter.ConfirmIncarnation(noon, limiter.Epoch(), "new")
	started := 0
	for _, permit := range admitted {
		if permit.Revalidate() {
			started++
			continue
		}
		permit.Release(Abandoned)
	}
	if started != 4 {
		t.Errorf("started on the cold upstream = %d, want 4", started)
	}
	if permit, _ := limiter.Acquire(noon, 1); permit != nil {
		t.Error("Acquire() at the limit = admitted, want nil")
	}
	if limit, inUse := limiter.Usage(); limit != 4 || inUse != 4 {
		t.Errorf("usage = %d of %d, want 4 of 4", inUse, limit)
	}
}

// TestLateConfirmationOfOldIncarnation checks that a late confirmation of a replaced
// incarnation starts no ramp. Otherwise the running incarnation would count as replaced.
func TestLateConfirmationOfOldIncarnation(t *testing.T) {
	limiter := NewLimiter(4, 16)
	limiter.ConfirmIncarnation(noon, limiter.Epoch(), "old")
	limiter.ConfirmIncarnation(noon, limiter.Epoch(), "new")
	for range 4 {
		limiter.Acquire(noon, 1)
	}
	if limiter.ConfirmIncarnation(noon, limiter.Epoch(), "old") {
		t.Error("ConfirmIncarnation() of the old incarnation started a ramp")
	}
	if limiter.ConfirmIncarnation(noon, limiter.Epoch(), "new") {
		t.Error("ConfirmIncarnation() of the current incarnation started a ramp")
	}
	if _, inUse := limiter.Usage(); inUse != 4 {
		t.Errorf("work in use = %d, want 4", inUse)
	}
}

func TestOnlyCompletedWorkRaisesLimit(t *testing.T) {
	for _, end := range []Result{Abandoned, Failed} {
		limiter := NewLimiter(4, 16)
		limiter.ConfirmIncarnation(noon, limiter.Epoch(), "i")
		for range 40 {
			permit, _ := limiter.Acquire(noon, 1)
			permit.Release(end)
		}
		if limit, _ := limiter.Usage(); limit != 4 {
			t.Errorf("limit after work that ended as %d = %d, want 4", end, limit)
		}
	}
}

func TestQueueSharesByCost(t *testing.T) {
	queue := NewQueue(1000, time.Minute)
	// One workspace sends many cheap requests, another a few expensive ones.
	for range 400 {
		queue.Push(noon, &Ticket{Workspace: "many", Cost: 1})
	}
	for range 50 {
		queue.Push(noon, &Ticket{Workspace: "expensive", Cost: 8})
	}
	served := map[figbank.Workspace]figbank.Cost{}
	for range 180 {
		ticket := queue.Pop()
		served[ticket.Workspace] += ticket.Cost
	}
	difference := served["many"] - served["expensive"]
	if difference < -8 || difference > 8 {
		t.Errorf("served by cost = %v, want equal within one request", served)
	}
}

func TestQueueBounds(t *testing.T) {
	scenarios := []struct {
		name string
		push []figbank.Workspace
		want bool
	}{
		{name: "accepts requests", push: []figbank.Workspace{"a"}, want: true},
		{name: "is full", push: []figbank.Workspace{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, want: false},
		{name: "reserves room for other workspaces", push: []figbank.Workspace{"a", "a", "a", "a", "a"}, want: false},
		{name: "gives the reserved room to another workspace", push: []figbank.Workspace{"a", "a", "a", "a", "b"}, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			queue := NewQueue(8, time.Minute)
			got := false
			for _, workspace := range s.push {
				got = queue.Push(noon, &Ticket{Workspace: workspace, Cost: 1})
			}
			if got != s.want {
				t.Errorf("last Push() = %t, want %t", got, s.want)
			}
		})
	}
}

func TestQueueExpire(t *testing.T) {
	queue := NewQueue(8, time.Second)
	earlier, later := &Ticket{Workspace: "a", Cost: 1}, &Ticket{Workspace: "a", Cost: 1}
	queue.Push(noon, earlier)
	queue.Push(noon.Add(time.Second), later)
	expired := queue.Expire(noon.Add(time.Second))
	if len(expired) != 1 || expired[0] != earlier {
		t.Errorf("Expire() = %v, want the earlier request", expired)
	}
	if got := queue.Pop(); got != later {
		t.Errorf("Pop() = %v, want the later request", got)
	}
	if queue.Remove(later) || queue.Len() != 0 {
		t.Errorf("queue is not empty after its last request: %d", queue.Len())
	}
}

// An upstream restarts while it holds a full load, and the calls that it has lost fail one after
// the other. Each failure makes the new incarnation suspect again. The calls that are admitted in
// between must all fit within the cold limit together.
func TestLateFailuresAdmitNoMoreThanTheColdLimit(t *testing.T) {
	const first, failures = 4, 12
	limiter := NewLimiter(first, 32)
	limiter.ConfirmIncarnation(noon, limiter.Epoch(), "old")
	limiter.Suspect()
	limiter.ConfirmIncarnation(noon, limiter.Epoch(), "new")
	admitted := 0
	for range failures {
		limiter.Suspect()
		for permit, _ := limiter.Acquire(noon, 1); permit != nil; permit, _ = limiter.Acquire(noon, 1) {
			admitted++
		}
		limiter.ConfirmIncarnation(noon, limiter.Epoch(), "new")
	}
	if admitted != first {
		t.Errorf("calls admitted to the cold incarnation = %d, want %d", admitted, first)
	}
}
