package dispatch

import (
	"testing"
	"time"

	"figbank/placement"
	"figbank/schema"
	"figbank/traffic"
)

// A route that is not asked for any more must not hold others back, nor refusals of a load that has
// passed.
func TestKindsAreForgotten(t *testing.T) {
	start := time.Unix(100, 0)
	request := func(route string, prompt int) *Request {
		return &Request{Route: &traffic.Route{Route: &schema.Route{Name: route}, LatencyTarget: 400 * time.Millisecond}, PromptTokens: prompt}
	}
	k := &kinds{routes: map[string]*kind{}}
	for i := range 40 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		k.record(now, request("old", 4000))
		k.record(now, request("new", 400))
		k.recordRefusal(now)
	}
	now := start.Add(400 * time.Millisecond)
	if got := k.competition(now, "new"); len(got.Kinds) != 2 || got.Pressure < 0.3 || got.Pressure > 0.5 {
		t.Errorf("competition() = %+v, want two routes and a pressure near one half", got)
	}
	now = start.Add(kindLifetime)
	k.record(now, request("new", 400))
	now = now.Add(kindLifetime / 2)
	got := k.competition(now, "new")
	if len(got.Kinds) != 1 || got.Own != got.Kinds[0] || got.Own.LargePrompt > 1000 {
		t.Errorf("routes that compete later = %+v, want the one that is still asked for", got)
	}
	if got.Pressure > 0.05 {
		t.Errorf("pressure later = %v, want none", got.Pressure)
	}
	if other := k.competition(now, "old").Own; other != (placement.Kind{}) {
		t.Errorf("a route that is forgotten = %+v, want none", other)
	}
}
