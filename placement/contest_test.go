package placement

import (
	"testing"
	"time"
)

// A route that is not asked for any more must not hold others back, nor refusals of a load that has
// passed.
func TestKindsAreForgotten(t *testing.T) {
	start := time.Unix(100, 0)
	entrant := func(route string, prompt int) Entrant { return Entrant{Route: route, Prompt: prompt} }
	c := NewContest()
	for i := range 40 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c.Enter(now, entrant("old", 4000))
		c.Enter(now, entrant("new", 400))
		c.RecordRefusal(now, entrant("old", 4000))
	}
	now := start.Add(400 * time.Millisecond)
	if got := c.Competition(now, entrant("new", 400)); len(got.Kinds) != 2 || got.Pressure < 0.3 || got.Pressure > 0.5 {
		t.Errorf("Competition() = %+v, want two routes and a pressure near one half", got)
	}
	now = start.Add(kindLifetime)
	c.Enter(now, entrant("new", 400))
	now = now.Add(kindLifetime / 2)
	got := c.Competition(now, entrant("new", 400))
	if len(got.Kinds) != 1 || got.Own != got.Kinds[0] || got.Own.LargePrompt > 1000 {
		t.Errorf("routes that compete later = %+v, want the one that is still asked for", got)
	}
	if got.Pressure > 0.05 {
		t.Errorf("pressure later = %v, want none", got.Pressure)
	}
	if other := c.Competition(now, entrant("old", 4000)).Own; other != (Kind{}) {
		t.Errorf("a route that is forgotten = %+v, want none", other)
	}
}
