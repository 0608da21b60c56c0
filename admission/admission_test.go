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
		{name: "ends at the ceiling", completed: []figbank.Cost{4, 8, 16, 32}, want: 20},
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

// TestLimiterAgainstSum holds a limiter against a plain sum: work admitted to
// one incarnation never exceeds its limit, but for one request alone.
func TestLimiterAgainstSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewLimiter(4, 32)
		now := noon
		limiter.Confirm(now, "0")
		var held []*Held
		var incarnations []int
		incarnation, sum := 0, figbank.Cost(0)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				cost := figbank.Cost(rapid.IntRange(1, 9).Draw(t, "cost"))
				limit, _ := limiter.Usage()
				h, _ := limiter.Acquire(now, cost)
				if want := sum == 0 || sum+cost <= limit; (h != nil) != want {
					t.Fatalf("Acquire(%d) with %d of %d in use = %t, want %t", cost, sum, limit, h != nil, want)
				}
				if h != nil {
					held = append(held, h)
					incarnations = append(incarnations, incarnation)
					sum += cost
				}
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				at := rapid.IntRange(0, len(held)-1).Draw(t, "at")
				held[at].Release(rapid.Bool().Draw(t, "succeeded"))
				if incarnations[at] == incarnation {
					sum -= held[at].cost
				}
				incarnations = append(incarnations[:at], incarnations[at+1:]...)
				held = append(held[:at], held[at+1:]...)
			},
			"restart": func(*rapid.T) {
				incarnation++
				limiter.Confirm(now, figbank.Incarnation(fmt.Sprint(incarnation)))
				sum = 0
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

// TestDoubtfulUpstream has a warm upstream of limit 16 that may have turned
// cold: it gets no more than a cold one bears until its incarnation is known.
func TestDoubtfulUpstream(t *testing.T) {
	const first, ceiling = 4, 16
	scenarios := []struct {
		name string
		act  func(limiter *Limiter)
		// wait is the time since the last sign of life.
		wait time.Duration
		want int
	}{
		{name: "is warm", wait: confirmAge, want: 16},
		{name: "was idle for long", wait: confirmAge + 1, want: first},
		{name: "broke a call", act: func(l *Limiter) { l.Suspect() }, want: first},
		{
			name: "broke a call, but is the same",
			act:  func(l *Limiter) { l.Suspect(); l.Confirm(noon, "warm") }, want: 16,
		},
		{
			name: "broke a call and has restarted",
			act:  func(l *Limiter) { l.Suspect(); l.Confirm(noon, "new") }, want: first,
		},
		{
			name: "broke a call of many, the others may still run",
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
			limiter.Confirm(noon, "warm")
			for range 40 {
				held, _ := limiter.Acquire(noon, 1)
				held.Release(true)
			}
			if s.act != nil {
				s.act(limiter)
			}
			got := 0
			for held, _ := limiter.Acquire(noon.Add(s.wait), 1); held != nil; held, _ = limiter.Acquire(noon.Add(s.wait), 1) {
				got++
			}
			if got != s.want {
				t.Errorf("admitted at once = %d, want %d", got, s.want)
			}
		})
	}
}

func TestQueueSharesByCost(t *testing.T) {
	queue := NewQueue(1000, time.Minute)
	// One workspace sends many cheap requests, one a few dear ones.
	for range 400 {
		queue.Push(noon, &Ticket{Workspace: "many", Cost: 1})
	}
	for range 50 {
		queue.Push(noon, &Ticket{Workspace: "dear", Cost: 8})
	}
	served := map[figbank.Workspace]figbank.Cost{}
	for range 180 {
		ticket := queue.Pop()
		served[ticket.Workspace] += ticket.Cost
	}
	difference := served["many"] - served["dear"]
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
		{name: "takes requests", push: []figbank.Workspace{"a"}, want: true},
		{name: "is full", push: []figbank.Workspace{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, want: false},
		{name: "keeps room for others", push: []figbank.Workspace{"a", "a", "a", "a", "a"}, want: false},
		{name: "lets others use that room", push: []figbank.Workspace{"a", "a", "a", "a", "b"}, want: true},
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
	old, young := &Ticket{Workspace: "a", Cost: 1}, &Ticket{Workspace: "a", Cost: 1}
	queue.Push(noon, old)
	queue.Push(noon.Add(time.Second), young)
	expired := queue.Expire(noon.Add(time.Second))
	if len(expired) != 1 || expired[0] != old {
		t.Errorf("Expire() = %v, want the old request", expired)
	}
	if got := queue.Pop(); got != young {
		t.Errorf("Pop() = %v, want the young request", got)
	}
	if queue.Remove(young) || queue.Len() != 0 {
		t.Errorf("queue is not empty after its last request: %d", queue.Len())
	}
}
