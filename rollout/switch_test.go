package rollout

import (
	"testing"
	"time"
)

func TestMaySwitch(t *testing.T) {
	const bound = 8 * time.Second
	old, out, done, self := Switching{Old: true}, Switching{Old: true, OutOfService: true}, Switching{}, Switching{Old: true, Self: true}
	scenarios := []struct {
		name      string
		upstreams []Switching
		since     time.Duration
		want      bool
	}{
		{name: "first in the list", upstreams: []Switching{self, old, old, old}, want: true},
		{name: "a third, rounded up, comes before it", upstreams: []Switching{old, old, self, old}},
		{name: "a third, rounded up, is out of service", upstreams: []Switching{self, old, out, out}},
		{name: "a third of five is two", upstreams: []Switching{old, self, old, old, old}, want: true},
		{name: "the upstreams before it have switched", upstreams: []Switching{done, done, self, old}, want: true},
		{name: "only one upstream", upstreams: []Switching{self}, want: true},
		{name: "the bound has nearly passed", upstreams: []Switching{out, out, self, old}, since: bound - unconditionalTime, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := MaySwitch(s.upstreams, s.since, bound); got != s.want {
				t.Errorf("MaySwitch() = %v, want %v", got, s.want)
			}
		})
	}
}
