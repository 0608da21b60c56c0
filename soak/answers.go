package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"figbank/platform/standin"
)

func isStream(route string) bool { return route == standin.Stream || route == standin.FaultyStream }
func isUnsafe(route string) bool { return route == standin.Unsafe || route == standin.FaultyUnsafe }
func isFaulty(route string) bool { return slices.Contains(faultyRoutes, route) }

// checkContent checks the body of an answer with status 200. It reports whether the answer is complete and
// the request's own.
func (c *callers) checkContent(id string, got standin.Answer, request *sentRequest, events int) bool {
	if !isStream(request.route) {
		return c.checkPlain(id, got)
	}
	// A gateway that ends while it writes an event may send only a part of it.
	disturbed := got.Err != nil && c.disturbed(request.gateway, request.at, wall.Now())
	return c.checkStream(id, got, events, disturbed)
}

// checkPlain checks an answer that is no stream.
func (c *callers) checkPlain(id string, got standin.Answer) bool {
	want := "answer to " + id
	switch {
	case got.Err != nil && (strings.HasPrefix(want, got.Body) || len(c.garbled(id)) > 0):
		// A body without end looks like any other until it is cut.
		return false
	case !got.Sealed:
		c.record.addViolation("Mixed", "%s got %d without a seal", id, http.StatusOK)
		return false
	case got.Body != want:
		c.record.addViolation("Mixed", "%s got %.60q; garbled: %q", id, got.Body, c.garbled(id))
		return false
	}
	return got.Err == nil
}

// checkStream checks that the body is exactly the events of the request, each once and in order. If the
// answer ended visibly cut, the body may hold only the first events, and a part of one only if the gateway
// was disturbed.
func (c *callers) checkStream(id string, got standin.Answer, events int, disturbed bool) bool {
	left, next := got.Body, 1
	for next <= events && strings.HasPrefix(left, standin.Event(id, next)) {
		left = strings.TrimPrefix(left, standin.Event(id, next))
		next++
	}
	partial := got.Err != nil && next <= events && strings.HasPrefix(standin.Event(id, next), left)
	switch {
	case left != "" && partial && disturbed:
		return false
	case left != "":
		c.addMixed(id, "has %.60q in place of event %d of %d, error %v", left, next, events, got.Err)
		return false
	case got.Err == nil && next <= events:
		c.addMixed(id, "ended without an error after %d of %d events", next-1, events)
		return false
	}
	return got.Err == nil
}

// addMixed records a stream that is not what it should be.
func (c *callers) addMixed(id, format string, values ...any) {
	garbled := c.garbled(id)
	c.record.addViolation("Mixed", "stream %s "+format+"; garbled: %q", slices.Concat([]any{id}, values, []any{garbled})...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, how := range garbled {
		kind, _, _ := strings.Cut(how, " after ")
		c.passedOn[kind]++
	}
}

// checkServedShare records a violation if the wanted requests that were sent during the faults were served
// much less often than those of the calm time between the faults and the planned restarts. The parameter
// least is the least share, against that of the calm time.
func (r *run) checkServedShare(name string, least float64, wanted func(*sentRequest) bool) {
	during, took := r.callers.sentWithin(r.faultsBegan, r.faultsEnded, wanted)
	calm, calmTook := r.callers.sentWithin(r.calmBegan, r.restartsBegan, wanted)
	if during == 0 || calm == 0 {
		r.record.addViolation("Soak", "%s: %d requests during the faults, %d later, want some", name, during, calm)
		return
	}
	share, calmShare := float64(len(took))/float64(during), float64(len(calmTook))/float64(calm)
	r.printf("%s: %.3f of %d requests were served during the faults, half of them within %v; later %.3f of %d, within %v",
		name, share, during, median(took), calmShare, calm, median(calmTook))
	if share < least*calmShare {
		r.record.addViolation("Served", "%s: %.3f of %d requests were served during the faults, want %.2f of the %.3f of later ones", name, share, during, least, calmShare)
	}
}

// sentWithin returns how many of the wanted requests were sent within a time, and how long the answers took
// of those that were served.
func (c *callers) sentWithin(from, to time.Time, wanted func(*sentRequest) bool) (sent int, took []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.sent {
		if request.unreachable || request.at.Before(from) || request.at.After(to) || !wanted(request) {
			continue
		}
		sent++
		if request.served {
			took = append(took, request.took)
		}
	}
	return sent, took
}

func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2].Round(time.Millisecond)
}
