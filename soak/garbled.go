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

// checkResumed records a violation if too few streams were complete: of those that were garbled at least
// minResumedShare, of the others as many as in the calm time after the faults.
func (r *run) checkResumed() {
	isStream := func(request *sentRequest) bool { return request.route == standin.Stream }
	sent, took := r.callers.sentWithin(r.faultsBegan, r.faultsEnded, isStream)
	calm, calmTook := r.callers.sentWithin(r.calmBegan, r.restartsBegan, isStream)
	garbled := r.callers.garbledWithin(r.faultsBegan, r.faultsEnded)
	if garbled == 0 || calm == 0 {
		r.record.addViolation("Soak", "streams: %d garbled during the faults, %d sent later, want some", garbled, calm)
		return
	}
	calmShare := float64(len(calmTook)) / float64(calm)
	want := minResumedShare*float64(garbled) + calmShare*float64(sent-garbled)
	r.printf("streams: %d of %d were complete during the faults, %d garbled, half within %v; later %.3f of %d, within %v",
		len(took), sent, garbled, median(took), calmShare, calm, median(calmTook))
	if float64(len(took)) < want {
		r.record.addViolation("Served", "streams: %d of %d were complete during the faults, %d garbled, want %.1f", len(took), sent, garbled, want)
	}
}

// garbledWithin returns how many streams that were sent within a time were garbled.
func (c *callers) garbledWithin(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for id, request := range c.sent {
		if !request.unreachable && !request.at.Before(from) && !request.at.After(to) && len(c.garbled(id)) > 0 {
			count++
		}
	}
	return count
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
