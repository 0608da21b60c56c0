package soak

import (
	"slices"
	"time"

	"figbank/platform/standin"
)

// Retries that all gateways together may send to a service in any window of time. The settings of
// the processes say the same.
const (
	retryRatio  = 0.2
	retrySlack  = 30
	retryWindow = 10 * time.Second
)

type (
	// serviceTraffic is what callers and upstreams saw of one service.
	serviceTraffic struct {
		// requests holds when callers sent requests, repeats when requests arrived at upstreams that
		// had arrived before.
		requests, repeats []time.Time
	}

	// excess is a window of time in which a service got more repeats than it may.
	excess struct {
		from                       time.Time
		repeats, requests, allowed int
	}
)

// worstExcess returns the window in which the repeats exceed the allowed number by most, and false
// if none does. The requests that count are those of the window, of the one before it or of the one
// half a window before it, whichever has most.
func (t *serviceTraffic) worstExcess() (excess, bool) {
	slices.SortFunc(t.requests, time.Time.Compare)
	slices.SortFunc(t.repeats, time.Time.Compare)
	worst, found := excess{}, false
	for _, from := range t.repeats {
		window := excess{from: from, repeats: countFrom(t.repeats, from)}
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			window.requests = max(window.requests, countFrom(t.requests, from.Add(-back)))
		}
		window.allowed = retrySlack + int(retryRatio*float64(window.requests))
		if window.repeats > window.allowed && (!found || window.repeats-window.allowed > worst.repeats-worst.allowed) {
			worst, found = window, true
		}
	}
	return worst, found
}

// countFrom counts the times within one window that begins at from. The times must be sorted.
func countFrom(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - first
}

// checkRetries records a violation for each service that got more repeats than it may.
func (r *run) checkRetries() {
	traffic := map[string]*serviceTraffic{standin.AppService: {}, standin.ModelService: {}, standin.FaultyService: {}}
	r.callers.mu.Lock()
	for _, request := range r.callers.sent {
		if !request.unreachable {
			service := traffic[serviceOf(request.route)]
			service.requests = append(service.requests, request.at)
		}
	}
	r.callers.mu.Unlock()
	for service, arrivals := range r.cluster.arrivals() {
		traffic[service].repeats = repeatsOf(arrivals)
	}
	for service, seen := range traffic {
		if worst, found := seen.worstExcess(); found {
			r.record.addViolation("Retries", "%s: %d arrivals beyond the first in %v from %v, %d requests, %d allowed",
				service, worst.repeats, retryWindow, worst.from.Sub(r.record.started), worst.requests, worst.allowed)
		}
	}
}

// repeatsOf returns when requests arrived that had arrived before.
func repeatsOf(arrivals []standin.Arrival) []time.Time {
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	var repeats []time.Time
	for _, arrival := range arrivals {
		if seen[arrival.ID] && arrival.ID != probeID {
			repeats = append(repeats, arrival.At)
		}
		seen[arrival.ID] = true
	}
	return repeats
}

func serviceOf(route string) string {
	switch {
	case isFaulty(route):
		return standin.FaultyService
	case isStream(route):
		return standin.ModelService
	}
	return standin.AppService
}
