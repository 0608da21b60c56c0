package transfer

import (
	"testing"
	"time"

	"figbank"
)

// The link's nominal rate is 9.4 Mbit/s. Chunks of 49,152 bytes arrive one after the other.
func TestLinkState(t *testing.T) {
	const (
		chunk   = figbank.Bytes(49_152)
		nominal = figbank.Bytes(1_175_000)
		fast    = 50 * time.Millisecond
		slow    = 400 * time.Millisecond
	)
	tests := []struct {
		name string
		took []time.Duration
		age  time.Duration
		want LinkState
	}{
		{name: "no chunk has arrived yet", want: LinkUnknown},
		{name: "one fast chunk may pass a narrowed link too", took: []time.Duration{fast}, want: LinkUnknown},
		{name: "two fast chunks prove that it is wide", took: []time.Duration{fast, fast}, want: LinkWide},
		{name: "narrowed, and one fast chunk", took: []time.Duration{fast, slow, slow, slow}, want: LinkNarrow},
		{name: "all chunks are fast", took: []time.Duration{fast, fast, fast, fast}, want: LinkWide},
		{name: "one slow chunk makes it suspect", took: []time.Duration{slow}, want: LinkSuspect},
		{name: "narrowed to an eighth", took: []time.Duration{slow, slow, slow}, want: LinkNarrow},
		{name: "one peer of several is slow", took: []time.Duration{slow, fast, slow, fast}, want: LinkWide},
		{name: "narrowed earlier, now wide again", took: []time.Duration{slow, slow, slow, slow, slow, slow, fast, fast}, want: LinkWide},
		{name: "wide earlier, now narrowed", took: []time.Duration{fast, slow, slow, slow, slow, slow, slow}, want: LinkNarrow},
		{name: "samples are too old", took: []time.Duration{slow, slow, slow}, age: sampleLifetime + time.Second, want: LinkUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := &fixedClock{now: time.Unix(1000, 0)}
			link := NewLink(clock, nominal)
			for _, took := range test.took {
				link.observe(chunk, took, 1)
			}
			clock.now = clock.now.Add(test.age)
			got, rate := link.State()
			if got != test.want {
				t.Errorf("state: got %v at %d bytes a second, want %v", got, rate, test.want)
			}
		})
	}
}

func TestConcurrentChunksShareTheLink(t *testing.T) {
	link := NewLink(&fixedClock{now: time.Unix(1000, 0)}, 1_000_000)
	for range 3 {
		link.observe(50_000, 150*time.Millisecond, 3)
	}
	if got, rate := link.State(); got != LinkWide {
		t.Errorf("state: got %v at %d bytes a second, want %v", got, rate, LinkWide)
	}
}

// fixedClock returns the time now, which only the test changes.
type fixedClock struct {
	now time.Time
}

func (c *fixedClock) Now() time.Time                              { return c.now }
func (*fixedClock) After(time.Duration) <-chan time.Time          { return nil }
func (*fixedClock) Tick(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// The origin's own link may be the bottleneck, for example if ten hosts fetch from the origin at
// once. So slow chunks from the origin show nothing about this host's link. Fast chunks still prove
// that this host's link has its full bandwidth.
func TestSlowOriginChunksAreIgnored(t *testing.T) {
	link := NewLink(&fixedClock{now: time.Unix(1000, 0)}, 1_000_000)
	for range 3 {
		link.observeOrigin(50_000, time.Second)
	}
	if got, _ := link.State(); got != LinkUnknown {
		t.Errorf("state after slow chunks: got %v, want %v", got, LinkUnknown)
	}
	link.observeOrigin(50_000, 50*time.Millisecond)
	link.observeOrigin(50_000, 50*time.Millisecond)
	if got, _ := link.State(); got != LinkWide {
		t.Errorf("state after fast chunks: got %v, want %v", got, LinkWide)
	}
}
