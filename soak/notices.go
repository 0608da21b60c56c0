package soak

import (
	"time"

	"figbank/platform/standin"
)

const (
	// drainTime is how long after an upstream has said that it leaves requests may still reach it.
	drainTime = 2 * time.Second
	// refusalTime is how long after an upstream has refused requests for a time some may still reach
	// it, maxWhileRefused how many may later.
	refusalTime     = 500 * time.Millisecond
	maxWhileRefused = 2
)

type (
	// sentBy tells of a request which gateway got it, and when its caller sent it.
	sentBy struct {
		gateway string
		at      time.Time
	}

	// noticeCheck counts requests that a gateway sent to an upstream against the upstream's notices.
	noticeCheck struct {
		// requests holds the callers' requests by id.
		requests map[string]sentBy
		// disturbed reports whether a gateway was stopped, started or paused within a time.
		disturbed func(gateway string, from, to time.Time) bool
	}
)

// countAfterLeaving counts the arrivals of requests that were sent later than drainTime after their
// gateway had an answer in which the upstream said that it leaves.
func (c noticeCheck) countAfterLeaving(notices []standin.Notice, arrivals []standin.Arrival) int {
	first := map[string]time.Time{}
	for _, notice := range notices {
		gateway := c.requests[notice.ID].gateway
		if known, found := first[gateway]; notice.Leaving && (!found || notice.At.Before(known)) {
			first[gateway] = notice.At
		}
	}
	count := 0
	for _, arrival := range arrivals {
		request := c.requests[arrival.ID]
		noticed, found := first[request.gateway]
		if found && request.at.After(noticed.Add(drainTime)) && !c.disturbed(request.gateway, noticed, arrival.At) {
			count++
		}
	}
	return count
}

// countWhileRefused returns the most arrivals from one gateway between refusalTime after a refusal for a
// time and the end of that time.
func (c noticeCheck) countWhileRefused(notices []standin.Notice, arrivals []standin.Arrival) int {
	most := 0
	for _, notice := range notices {
		if notice.Leaving {
			continue
		}
		gateway, count := c.requests[notice.ID].gateway, 0
		for _, arrival := range arrivals {
			within := arrival.At.After(notice.At.Add(refusalTime)) && arrival.At.Before(notice.Until)
			if within && c.requests[arrival.ID].gateway == gateway && !c.disturbed(gateway, notice.At, arrival.At) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// checkNotices records a violation for each upstream that got requests after it had said that it
// wants none.
func (r *run) checkNotices() {
	check := noticeCheck{requests: r.callers.sentByID(), disturbed: r.cluster.disturbed}
	for i, u := range r.cluster.allIncarnations() {
		notices, arrivals := u.Notices(), u.Arrivals()
		if count := check.countAfterLeaving(notices, arrivals); count > 0 {
			r.record.addViolation("Drain", "incarnation %d of %s got %d requests later than %v after it said that it leaves", i, u.Service(), count, drainTime)
		}
		if count := check.countWhileRefused(notices, arrivals); count > maxWhileRefused {
			r.record.addViolation("Refusal", "incarnation %d of %s got %d requests from one gateway while it refused requests for a time", i, u.Service(), count)
		}
	}
}

// sentByID returns which gateway got each request, and when it was sent.
func (c *callers) sentByID() map[string]sentBy {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]sentBy{}
	for id, request := range c.sent {
		all[id] = sentBy{gateway: request.gateway, at: request.at}
	}
	return all
}

// disturbed reports whether the process that listens for callers at an address was stopped, started or
// paused within a time.
func (c *cluster) disturbed(gateway string, from, to time.Time) bool {
	for i, address := range c.gateways {
		if address == gateway {
			return c.processes[c.size.Replicas+i].disturbedWithin(from, to)
		}
	}
	return true
}
