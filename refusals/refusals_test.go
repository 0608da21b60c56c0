package refusals

import (
	"testing"
	"time"
)

// A caller is refused by one gateway and comes back to another one of its failure domain.
func TestCallerIsKnownAtOtherGateways(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := NewSet(), NewSet()
	first.Record(now, 7)
	second.Receive(now.Add(100*time.Millisecond), first.Report())
	if again := first.Report(); len(again) != 0 {
		t.Errorf("the second report has %v, want nothing", again)
	}
	for name, set := range map[string]*Set{"first": first, "second": second} {
		if !set.Contains(now.Add(time.Second), 7) {
			t.Errorf("the %s gateway does not know the caller", name)
		}
		if set.Contains(now.Add(time.Second), 8) {
			t.Errorf("the %s gateway knows a caller that was not refused", name)
		}
		if set.Contains(now.Add(lifetime+time.Second), 7) {
			t.Errorf("the %s gateway knows the caller for ever", name)
		}
	}
	if got := second.Report(); len(got) != 0 {
		t.Errorf("the second gateway passes on %v, want nothing", got)
	}
}

// A flood of refusals takes bounded memory, and what is forgotten makes room.
func TestRefusalsAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSet()
	for i := range uint64(2 * maxRemembered) {
		s.Record(now, i)
	}
	if got := len(s.expires); got != maxRemembered {
		t.Errorf("%d refusals are remembered, want %d", got, maxRemembered)
	}
	if got := len(s.Report()); got != maxReported {
		t.Errorf("%d refusals are reported, want %d", got, maxReported)
	}
	later := now.Add(lifetime + time.Second)
	s.Record(later, 1<<40)
	if !s.Contains(later, 1<<40) || len(s.expires) != 1 {
		t.Errorf("%d refusals are remembered later, want the new one only", len(s.expires))
	}
}
