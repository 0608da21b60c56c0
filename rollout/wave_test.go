package rollout

import (
	"testing"
	"time"
)

func TestMaySwitch(t *testing.T) {
	const bound = 8 * time.Second
	old, out, done, self := Switching{Old: true}, Switching{Old: true, Out: true}, Switching{}, Switching{Old: true, Self: true}
	scenarios := []struct {
		name      string
		upstreams []Switching
		since     time.Duration
		want      bool
	}{
		{name: "first in line", upstreams: []Switching{self, old, old, old}, want: true},
		{name: "a third, rounded up, is before it", upstreams: []Switching{old, old, self, old}},
		{name: "a third, rounded up, is out", upstreams: []Switching{self, old, out, out}},
		{name: "a third of five is two", upstreams: []Switching{old, self, old, old, old}, want: true},
		{name: "those before it are done", upstreams: []Switching{done, done, self, old}, want: true},
		{name: "alone", upstreams: []Switching{self}, want: true},
		{name: "time is nearly over", upstreams: []Switching{out, out, self, old}, since: bound - lastCall, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := MaySwitch(s.upstreams, s.since, bound); got != s.want {
				t.Errorf("MaySwitch() = %v, want %v", got, s.want)
			}
		})
	}
}
