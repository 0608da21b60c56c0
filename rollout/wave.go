package rollout

import "time"

const (
	// lastCall is how long before the bound every upstream may switch, whatever the
	// others do.
	lastCall = 1700 * time.Millisecond
	// waves is in how many parts a failure domain switches.
	waves = 3
)

// Switching is the state of one upstream of a failure domain, during a change of
// version.
type Switching struct {
	// Old upstreams still serve the version before.
	Old bool
	// Out upstreams take no new work at present.
	Out bool
	// Self is the upstream that asks.
	Self bool
}

// MaySwitch tells whether an upstream may leave service to switch version now,
// so that capacity stays: at most a third of a failure domain, rounded up, is
// out at once, in the order of the list, which is the same for all that ask. It
// answers a version change at saturation, where a switch of all at once would
// refuse every request for as long as the longest running one lasts.
func MaySwitch(upstreams []Switching, sinceNamed, bound time.Duration) bool {
	if sinceNamed >= bound-lastCall {
		return true
	}
	out, before := 0, 0
	passed := false
	for _, upstream := range upstreams {
		passed = passed || upstream.Self
		switch {
		case upstream.Self:
		case upstream.Out:
			out++
		case upstream.Old && !passed:
			before++
		}
	}
	return out+before < (len(upstreams)+waves-1)/waves
}
