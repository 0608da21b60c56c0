package dispatch

import (
	"testing"
	"time"

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
	if competing, pressure := k.current(now); len(competing) != 2 || pressure < 0.3 || pressure > 0.5 {
		t.Errorf("current() = %v, %v, want two routes and a pressure near one half", competing, pressure)
	}
	now = start.Add(kindLifetime)
	k.record(now, request("new", 400))
	now = now.Add(kindLifetime / 2)
	competing, pressure := k.current(now)
	if len(competing) != 1 || competing[0].LargePrompt > 1000 {
		t.Errorf("routes that compete later = %v, want the one that is still asked for", competing)
	}
	if pressure > 0.05 {
		t.Errorf("pressure later = %v, want none", pressure)
	}
}
