package transfer

import (
	"testing"
	"time"

	"figbank"
)

// Chunks of 49,152 bytes on a link of 9.4 Mbit/s, as they arrive in turn.
func TestNarrow(t *testing.T) {
	const (
		chunk   = figbank.Bytes(49_152)
		nominal = figbank.Bytes(1_175_000)
		quick   = 50 * time.Millisecond
		slow    = 400 * time.Millisecond
	)
	tests := []struct {
		name string
		took []time.Duration
		age  time.Duration
		want bool
	}{
		{name: "nothing has arrived yet"},
		{name: "all quick", took: []time.Duration{quick, quick, quick, quick}},
		{name: "one slow chunk tells nothing", took: []time.Duration{slow}},
		{name: "narrowed to an eighth", took: []time.Duration{slow, slow, slow}, want: true},
		{name: "one peer of several is slow", took: []time.Duration{slow, quick, slow, slow, slow}},
		{name: "narrowed a while ago, wide again", took: []time.Duration{slow, slow, slow, slow, slow, slow, quick}},
		{name: "wide a while ago, narrow now", took: []time.Duration{quick, slow, slow, slow, slow, slow, slow}, want: true},
		{name: "long ago", took: []time.Duration{slow, slow, slow}, age: linkMemory + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := &stillClock{now: time.Unix(1000, 0)}
			link := NewLink(clock, nominal)
			for _, took := range test.took {
				link.observe(chunk, took, 1)
			}
			clock.now = clock.now.Add(test.age)
			rate, got := link.Narrow()
			if got != test.want {
				t.Errorf("narrow: got %t at %d bytes a second, want %t", got, rate, test.want)
			}
		})
	}
}

func TestChunksThatShareTheLinkCountTogether(t *testing.T) {
	link := NewLink(&stillClock{now: time.Unix(1000, 0)}, 1_000_000)
	for range 3 {
		link.observe(50_000, 150*time.Millisecond, 3)
	}
	if rate, got := link.Narrow(); got {
		t.Errorf("narrow: got true at %d bytes a second, want false", rate)
	}
}

// stillClock stands still.
type stillClock struct {
	now time.Time
}

func (c *stillClock) Now() time.Time                              { return c.now }
func (*stillClock) After(time.Duration) <-chan time.Time          { return nil }
func (*stillClock) Tick(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }
