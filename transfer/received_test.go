package transfer

import (
	"testing"
	"time"

	"figbank"
)

// A link is squeezed to an eighth of its rate. Six chunks are requested at once, and one after the
// other arrives, since each holder is busy for a while. The five that wait do not share the link:
// if they were counted, the link would look wide.
func TestWaitingChunksDoNotMakeALinkLookWide(t *testing.T) {
	const nominal, squeezed = figbank.Bytes(760_000), 95_000
	const part, parts = 8 << 10, 4
	clock := &fixedClock{now: time.Unix(1000, 0)}
	link := NewLink(clock, nominal)
	for range maxLinkSamples {
		answer := &received{}
		requestedAt := clock.now
		for range parts {
			clock.now = clock.now.Add(part * time.Second / squeezed)
			answer.add(clock.now, make([]byte, part), 1)
		}
		bytes, took := answer.afterFirstPart(clock.now.Sub(requestedAt))
		link.observe(bytes, took, answer.concurrent)
	}
	if got, rate := link.State(); got != LinkNarrow {
		t.Errorf("state = %v at %d bytes a second, want %v", got, rate, LinkNarrow)
	}
}
