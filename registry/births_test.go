package registry

import (
	"testing"
	"time"

	"figbank/schema"
)

// The clock of an upstream's host is ahead for a moment in which the upstream starts, and right again when it starts the next
// time, under its id. Reports of the second incarnation, born before the first by the clock, were acknowledged and ignored.
func TestClockThatWentBackHidesNoIncarnation(t *testing.T) {
	const ahead, right = 5000, 2600
	type step struct {
		after    time.Duration
		born     int64
		sequence uint64
		state    schema.InstanceState
	}
	first := step{born: ahead, sequence: 1, state: ready}
	scenarios := []struct {
		name  string
		steps []step
		born  int64
		state schema.InstanceState
	}{
		{name: "reports again and again", steps: []step{first, {time.Second, right, 1, ready}, {time.Second, right, 2, ready}, {time.Second, right, 3, ready}}, born: right, state: ready},
		{name: "leaves at once", steps: []step{first, {time.Second, right, 1, ready}, {time.Second, right, 2, leaving}, {time.Second, right, 3, leaving}}, born: right, state: leaving},
		{name: "after the first has left", steps: []step{first, {0, ahead, 2, gone}, {time.Second, right, 1, ready}, {time.Second, right, 2, ready}, {time.Second, right, 3, ready}}, born: right, state: ready},
		{name: "two late reports of an earlier one", steps: []step{first, {time.Second, right, 7, ready}, {time.Second, right, 8, leaving}}, born: ahead, state: ready},
		{name: "late reports that arrive together", steps: []step{first, {time.Second, right, 7, ready}, {0, right, 8, ready}, {0, right, 9, ready}, {0, right, 10, ready}}, born: ahead, state: ready},
		{name: "late reports beside those of the known one", steps: []step{first, {time.Second, right, 7, ready}, {time.Second, right, 8, ready}, {0, ahead, 2, ready}, {time.Second, right, 9, ready}}, born: ahead, state: ready},
		{name: "the same report again", steps: []step{first, {time.Second, right, 7, ready}, {time.Second, right, 7, ready}, {time.Second, right, 7, ready}}, born: ahead, state: ready},
		{name: "reports without a birth", steps: []step{first, {time.Second, 0, 1, ready}, {time.Second, 0, 2, ready}, {time.Second, 0, 3, ready}}, born: ahead, state: ready},
		{
			name:  "a late report of the first does not end the second",
			steps: []step{first, {time.Second, right, 1, ready}, {time.Second, right, 2, ready}, {time.Second, right, 3, ready}, {0, ahead, 2, leaving}}, born: right, state: ready,
		},
		{
			name:  "a third, born after both",
			steps: []step{first, {time.Second, right, 1, ready}, {time.Second, right, 2, ready}, {time.Second, right, 3, ready}, {time.Second, ahead + 2, 1, ready}}, born: ahead + 2, state: ready,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			now, r := start, New(lease)
			var history []*schema.Instance
			for _, step := range s.steps {
				now = now.Add(step.after)
				if step.state == gone {
					r.Leave(now, instance(step.born, 0, ready))
				} else {
					r.Report(now, instance(step.born, step.sequence, step.state))
				}
				history = append(history, r.Instance("i", "s"))
			}
			if got := r.Instance("i", "s"); got.GetBornUnixMilli() != s.born || got.GetState() != s.state {
				t.Errorf("incarnation born at %d, %v, want %d, %v", got.GetBornUnixMilli(), got.GetState(), s.born, s.state)
			}
			// What other replicas are told comes in any order.
			other := New(lease)
			for i := range history {
				other.Announce(now, history[len(history)-1-i])
			}
			if got := other.Instance("i", "s"); got.GetBornUnixMilli() != s.born || got.GetState() != s.state {
				t.Errorf("elsewhere: incarnation born at %d, %v, want %d, %v", got.GetBornUnixMilli(), got.GetState(), s.born, s.state)
			}
		})
	}
}

// An upstream crashes whose host's clock was ahead, and another one, with an id of its own, starts at its address.
func TestIncarnationThatServesOwnsItsAddress(t *testing.T) {
	r := New(lease)
	dead, next := instance(5000, 1, ready), instance(2600, 1, ready)
	next.Id = "j"
	r.Report(start, dead)
	r.Report(start.Add(lease), next)
	r.Expire(start.Add(lease + time.Second))
	if got := r.Upstreams(AnyService); len(got) != 1 || got[0].Record.GetId() != "j" {
		t.Errorf("upstreams = %v, want the one that serves", got)
	}
}

// An engine starts again after its host's clock went back. Its agent's reports of it were ignored.
func TestEngineStatesOfOneAgentAreOrderedByTheirSequence(t *testing.T) {
	r := New(lease)
	r.MergeEngine(start, &schema.EngineState{Address: "10.0.0.1:1", BornUnixMilli: 5000, AgentStartUnixNano: 1, Sequence: 1})
	r.MergeEngine(start, &schema.EngineState{Address: "10.0.0.1:1", BornUnixMilli: 2600, AgentStartUnixNano: 1, Sequence: 2, Leaving: true})
	r.Report(start, instance(2600, 1, ready))
	if got := r.Upstreams(AnyService); len(got) != 1 || !got[0].Leaving {
		t.Errorf("upstreams = %v, want one that leaves", got)
	}
}
