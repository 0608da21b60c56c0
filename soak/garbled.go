package soak

import (
	"maps"
	"slices"
	"time"

	"figbank/platform/standin"
)

const (
	// garbledShare is the share of streams that the upstreams of the model garble. Half of the share of
	// requests that may be repeated leaves room for streams that are garbled twice.
	garbledShare = retryRatio / 2
	// minResumedShare is the least share of garbled streams that must be complete at their callers, by
	// a resumption at another upstream.
	minResumedShare = 0.5
	// garbledCallers is the number of callers at each gateway where streams are garbled.
	garbledCallers = 12
)

// garbledStreams makes the upstreams of the model garble streams all the time.
func garbledStreams(length time.Duration) []Fault {
	return []Fault{{Duration: length, Kind: GarbleStreams, RandomBits: 1}}
}

func (i *injector) garbleStreams(fault Fault) {
	i.record.mark("upstream", fault.Duration, "all upstreams of %s garble streams", standin.ModelService)
	upstreams := i.cluster.currentUpstreams(standin.ModelService)
	for _, u := range upstreams {
		u.SetGarbling(standin.FaultyShare{Share: garbledShare, Seed: fault.RandomBits})
	}
	wall.sleep(fault.Duration)
	for _, u := range upstreams {
		u.SetGarbling(standin.FaultyShare{})
	}
}

// checkResumed records a violation if too few streams were complete, against the share that was garbled.
func (r *run) checkResumed() {
	r.checkServedShare("streams", 1-garbledShare*(1-minResumedShare), func(request *sentRequest) bool { return request.route == standin.Stream })
}

// printBroken prints how many violations there were of each promise, and how upstreams garbled the streams
// that were wrong.
func (r *run) printBroken() {
	for _, promise := range slices.Sorted(maps.Keys(r.record.broken)) {
		r.printf("violations of %s: %d", promise, r.record.broken[promise])
	}
	for _, how := range slices.Sorted(maps.Keys(r.callers.passedOn)) {
		r.printf("wrong streams, garbled by %s: %d", how, r.callers.passedOn[how])
	}
}
