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
		c.record.addViolation("Mixed", "%s got %.60q", id, got.Body)
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

// checkServedShare records a violation if less than a share of the requests that were sent during the
// faults was served, of those that wanted accepts.
func (r *run) checkServedShare(name string, least float64, wanted func(*sentRequest) bool) {
	sent, took := 0, []time.Duration{}
	r.callers.mu.Lock()
	for _, request := range r.callers.sent {
		if request.unreachable || request.at.Before(r.faultsBegan) || request.at.After(r.faultsEnded) || !wanted(request) {
			continue
		}
		sent++
		if request.served {
			took = append(took, request.took)
		}
	}
	r.callers.mu.Unlock()
	slices.Sort(took)
	if len(took) > 0 {
		r.printf("%s: %d of %d requests were served during the faults, half of them within %v", name, len(took), sent, took[len(took)/2].Round(time.Millisecond))
	}
	if float64(len(took)) < least*float64(sent) {
		r.record.addViolation("Served", "%s: %d of %d requests were served during the faults, want a share of %.2f", name, len(took), sent, least)
	}
}
