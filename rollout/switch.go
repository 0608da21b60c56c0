package rollout

import "time"

const (
	// Every upstream may switch when at most unconditionalTime remains until the end of
	// versionTime, whatever the state of the others.
	unconditionalTime = 1700 * time.Millisecond
	// At most N/switchDivisor of the N upstreams of a failure domain, rounded up, may be out of
	// service at once.
	switchDivisor = 3
)

// Switching is the state of one upstream of a failure domain during a change of
// version.
type Switching struct {
	// Old is set if the upstream still serves an older version.
	Old bool
	// OutOfService is set while the upstream accepts no new requests.
	OutOfService bool
	// Self is set for the upstream that wants to switch.
	Self bool
}

// MaySwitch reports whether an upstream may leave service now to switch its version. sinceNamed is
// the time since the operator named the oldest version that is newer than the upstream's.
// versionTime is the time after which no request may begin on an older version.
//
// To keep capacity, at most a third of a failure domain, rounded up, is out of service at once.
// Without this limit, all upstreams would switch at once. At saturation, every request would then
// be refused for as long as the longest running request takes. Upstreams switch in the order of the
// list, which must be the same for all of them.
func MaySwitch(upstreams []Switching, sinceNamed, versionTime time.Duration) bool {
	if sinceNamed >= versionTime-unconditionalTime {
		return true
	}
	out, oldAhead := 0, 0
	seenSelf := false
	for _, upstream := range upstreams {
		seenSelf = seenSelf || upstream.Self
		switch {
		case upstream.Self:
		case upstream.OutOfService:
			out++
		case upstream.Old && !seenSelf:
			oldAhead++
		}
	}
	return out+oldAhead < (len(upstreams)+switchDivisor-1)/switchDivisor
}
