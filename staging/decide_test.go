package staging

import "testing"

func TestDecide(t *testing.T) {
	scenarios := []struct {
		name  string
		input DecisionInput
		want  Action
	}{
		{name: "nothing is known", want: ActionWait},
		{name: "empty engine, nothing fetched", input: DecisionInput{Known: true, Wanted: 1, AllLayers: 16}, want: ActionFetch},
		{name: "empty engine, everything fetched", input: DecisionInput{Known: true, Wanted: 1, AllLayers: 16, Held: true}, want: ActionSwitch},
		{name: "serves the wanted version, which is not stored", input: DecisionInput{Known: true, Loaded: 1, Wanted: 1, Layers: 16, AllLayers: 16}, want: ActionSeed},
		{name: "serves the wanted version, which is stored", input: DecisionInput{Known: true, Loaded: 1, Wanted: 1, Layers: 16, AllLayers: 16, Held: true}, want: ActionWait},
		{name: "old version, may not switch", input: DecisionInput{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, Held: true}, want: ActionWait},
		{name: "old version, may switch", input: DecisionInput{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, Held: true, MaySwitch: true}, want: ActionSwitch},
		{name: "old version, may switch, most is fetched", input: DecisionInput{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, HeldShare: 0.6, InSight: true, MaySwitch: true}, want: ActionDrain},
		{name: "old version, may switch, most is fetched, the rest is nowhere", input: DecisionInput{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, HeldShare: 0.6, MaySwitch: true}, want: ActionFetch},
		{name: "old version, may switch, too little is fetched", input: DecisionInput{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, HeldShare: 0.5, InSight: true, MaySwitch: true}, want: ActionFetch},
		{name: "the engine carries out an order", input: DecisionInput{Known: true, Loaded: 1, Wanted: 2, Layers: 16, AllLayers: 16, Held: true, MaySwitch: true, Busy: true}, want: ActionWait},
		{name: "only a part of the layers is loaded", input: DecisionInput{Known: true, Loaded: 2, Wanted: 2, Layers: 7, AllLayers: 16, Held: true}, want: ActionSwitch},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := Decide(s.input); got != s.want {
				t.Errorf("Decide() = %v, want %v", got, s.want)
			}
		})
	}
}
