package soak

import (
	"slices"
	"sync"
	"time"
)

type (
	// outages records when faults disturbed processes, by their indexes. It is safe for concurrent use.
	outages struct {
		mu    sync.Mutex
		spans map[int][]*span
	}

	// span is a time. Its end is zero while it lasts. halts is set if the process did not run or was not reached.
	span struct {
		from, to time.Time
		halts    bool
	}
)

// begin records that a process does not run, or is not reached, from now on until end is called.
func (o *outages) begin(process int) (end func()) {
	return o.add(process, true)
}

// beginDisturbance records that a fault disturbs a process that runs on, until end is called.
func (o *outages) beginDisturbance(process int) (end func()) {
	return o.add(process, false)
}

func (o *outages) add(process int, halts bool) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.spans == nil {
		o.spans = map[int][]*span{}
	}
	s := &span{from: wall.Now(), halts: halts}
	o.spans[process] = append(o.spans[process], s)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		s.to = wall.Now()
	}
}

// disturbed reports whether a fault disturbed a process at any time between from and to.
func (o *outages) disturbed(process int, from, to time.Time) bool {
	return o.any(process, from, to, func(*span) bool { return true })
}

// halted reports whether a process did not run, or was not reached, at any time between from and to.
func (o *outages) halted(process int, from, to time.Time) bool {
	return o.any(process, from, to, func(s *span) bool { return s.halts })
}

func (o *outages) any(process int, from, to time.Time, counts func(*span) bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.spans[process], func(s *span) bool {
		return counts(s) && !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
	})
}

// majorityRan reports whether more than half of the replicas ran, and were reached, from one time to another.
func (c *cluster) majorityRan(from, to time.Time) bool {
	running := 0
	for _, replica := range c.currentHosts() {
		if !c.outages.halted(replica, from, to) {
			running++
		}
	}
	return running > c.size.Replicas/2
}

// stable reports whether no fault disturbed a replica from one time to another.
func (c *cluster) stable(from, to time.Time) bool {
	for _, replica := range c.currentHosts() {
		if c.outages.disturbed(replica, from, to) {
			return false
		}
	}
	return true
}
