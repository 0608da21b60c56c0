package staging

import "testing"

func TestDecide(t *testing.T) {
	scenarios := []struct {
		name string
		now  Situation
		want Action
	}{
		{name: "nothing known", want: Wait},
		{name: "empty engine, nothing here", now: Situation{Known: true, Wanted: 1, AllLayers: 16}, want: Collect},
		{name: "empty engine, all here", now: Situation{Known: true, Wanted: 1, AllLayers: 16, Held: true}, want: Switch},
		{name: "serves, others may need it", now: Situation{Known: true, Loaded: 1, Wanted: 1, Layers: 16, AllLayers: 16}, want: Seed},
		{name: "serves and gives", now: Situation{Known: true, Loaded: 1, Wanted: 1, Layers: 16, AllLayers: 16, Held: true}, want: Wait},
		{name: "old version, not its turn", now: Situation{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, Held: true}, want: Wait},
		{name: "old version, its turn", now: Situation{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, Held: true, MaySwitch: true}, want: Switch},
		{name: "old version, its turn, most is here", now: Situation{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, HeldShare: 0.6, MaySwitch: true}, want: Drain},
		{name: "old version, its turn, little is here", now: Situation{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, HeldShare: 0.5, MaySwitch: true}, want: Collect},
		{name: "an order is under way", now: Situation{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, Held: true, MaySwitch: true, Busy: true}, want: Wait},
		{name: "part of the layers", now: Situation{Known: true, Loaded: 2, Wanted: 2, Layers: 7, AllLayers: 16, Held: true}, want: Switch},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := Decide(s.now); got != s.want {
				t.Errorf("Decide() = %v, want %v", got, s.want)
			}
		})
	}
}
