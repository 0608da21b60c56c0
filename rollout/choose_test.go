package rollout

import (
	"testing"
	"time"
)

// Versions 2 and 3 are named three seconds apart, and requests may begin on a version until eight
// seconds after the next one was named.
func TestChoose(t *testing.T) {
	const second, copyTime = time.Second, 2500 * time.Millisecond
	older := Candidate{Number: 2, ServableFor: 8 * second}
	newest := Candidate{Number: 3, Newest: true}
	held := func(c Candidate) Candidate {
		c.Held = true
		return c
	}
	ending := func(c Candidate, left time.Duration) Candidate {
		c.ServableFor = left
		return c
	}
	scenarios := []struct {
		name       string
		candidates []Candidate
		transfer   Transfer
		loadedFor  time.Duration
		want       Choice
	}{
		{name: "one version", candidates: []Candidate{newest}, loadedFor: 8 * second, want: Choice{Fetch: 3, Load: 3}},
		{name: "one version, under way", candidates: []Candidate{newest}, transfer: Transfer{Version: 3, Share: 0.5, CopyTime: copyTime}, loadedFor: 6 * second, want: Choice{Fetch: 3, Load: 3}},
		{
			name: "an older transfer that ends in time is finished", candidates: []Candidate{older, newest},
			transfer: Transfer{Version: 2, Share: 0.3, CopyTime: copyTime}, loadedFor: 5 * second, want: Choice{Fetch: 2, Load: 2},
		},
		{
			name: "an older transfer that has hardly begun gives way", candidates: []Candidate{older, newest},
			transfer: Transfer{Version: 2, Share: 0.05, CopyTime: copyTime}, loadedFor: 5 * second, want: Choice{Fetch: 3, Load: 3},
		},
		{
			name: "an older transfer without progress gives way", candidates: []Candidate{older, newest},
			transfer: Transfer{Version: 2, Share: 0.9, IdleFor: stalledTime, CopyTime: copyTime}, loadedFor: 5 * second, want: Choice{Fetch: 3, Load: 3},
		},
		{
			name: "an older transfer that is too slow gives way", candidates: []Candidate{older, newest},
			transfer: Transfer{Version: 2, Share: 0.3, CopyTime: 10 * copyTime}, loadedFor: 5 * second, want: Choice{Fetch: 3, Load: 3},
		},
		{
			name: "a whole older version is loaded while the newest makes no progress", candidates: []Candidate{held(older), newest},
			transfer: Transfer{Version: 3, IdleFor: stalledTime, CopyTime: copyTime}, loadedFor: 4 * second, want: Choice{Fetch: 3, Load: 2},
		},
		{
			name: "a whole older version is skipped if the newest comes in time", candidates: []Candidate{held(older), newest},
			transfer: Transfer{Version: 3, Share: 0.8, CopyTime: copyTime}, loadedFor: 4 * second, want: Choice{Fetch: 3, Load: 3},
		},
		{
			name: "a whole older version is loaded if the newest comes too late", candidates: []Candidate{held(older), newest},
			transfer: Transfer{Version: 3, Share: 0.1, CopyTime: copyTime}, loadedFor: 4 * second, want: Choice{Fetch: 3, Load: 2},
		},
		{
			name: "a whole older version is loaded by an empty engine", candidates: []Candidate{held(older), newest},
			transfer: Transfer{Version: 3, Share: 0.9, CopyTime: copyTime}, want: Choice{Fetch: 3, Load: 2},
		},
		{
			name: "an older version that soon ends is not loaded", candidates: []Candidate{held(ending(older, second)), newest},
			transfer: Transfer{Version: 3}, loadedFor: -second, want: Choice{Fetch: 3, Load: 3},
		},
		{name: "the newest is whole", candidates: []Candidate{held(older), held(newest)}, loadedFor: 4 * second, want: Choice{Fetch: 3, Load: 3}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := Choose(s.candidates, s.transfer, s.loadedFor); got != s.want {
				t.Errorf("Choose() = %+v, want %+v", got, s.want)
			}
		})
	}
}
