package ledger

import (
	"slices"
	"time"

	"figbank/registry"
	"figbank/schema"
	"figbank/traffic"
)

const (
	// leaveRetention is how long a leave is kept. All gateways that run have heard of it long before.
	leaveRetention = 10 * time.Minute
	// maxLeaves is the largest number of leaves that the state stores.
	maxLeaves = 1024
)

// namedServices are the services that the rules with this number name.
type namedServices struct {
	number   int64
	services map[string]bool
}

// leave stores that an incarnation of an upstream leaves. It changes nothing if a newer incarnation, or a
// later state of the same one, is stored already.
func (s *State) leave(request *schema.Leave) *schema.Result {
	upstream := request.GetUpstream()
	if err := registry.CheckInstance(s.now, upstream); err != nil {
		return refuse(schema.Refusal_REFUSAL_INVALID, err.Error())
	}
	if !registry.IsLeave(upstream.GetState()) {
		return refuse(schema.Refusal_REFUSAL_INVALID, "the upstream does not leave")
	}
	same := func(known *schema.LeaveRecord) bool {
		return known.GetUpstream().GetId() == upstream.GetId() && known.GetUpstream().GetService() == upstream.GetService()
	}
	if i := slices.IndexFunc(s.leaves, same); i >= 0 && !registry.Supersedes(upstream, s.leaves[i].GetUpstream()) {
		return &schema.Result{CommitIndex: s.applied}
	}
	oldest := s.now.Add(-leaveRetention).UnixNano()
	s.leaves = slices.DeleteFunc(slices.Clone(s.leaves), func(known *schema.LeaveRecord) bool {
		return same(known) || known.GetRecordedUnixNano() < oldest
	})
	s.leaves = append(s.leaves, &schema.LeaveRecord{Upstream: upstream, RecordedUnixNano: s.now.UnixNano()})
	s.limitLeaves()
	s.newLeaves = append(s.newLeaves, upstream)
	return &schema.Result{CommitIndex: s.applied}
}

// limitLeaves forgets the oldest leaves beyond maxLeaves, first of those of services that the rules in force do not name.
func (s *State) limitLeaves() {
	excess := len(s.leaves) - maxLeaves
	if excess <= 0 {
		return
	}
	named := s.namedServices()
	s.leaves = slices.DeleteFunc(s.leaves, func(known *schema.LeaveRecord) bool {
		forgotten := excess > 0 && !named[known.GetUpstream().GetService()]
		if forgotten {
			excess--
		}
		return forgotten
	})
	s.leaves = s.leaves[max(0, excess):]
}

// namedServices returns the services that the rules in force name, none if they cannot be read.
func (s *State) namedServices() map[string]bool {
	if s.named.services != nil && s.named.number == s.fleet.GetTrafficNumber() {
		return s.named.services
	}
	s.named = namedServices{number: s.fleet.GetTrafficNumber(), services: map[string]bool{}}
	if rules, err := traffic.UnpackRules(s.fleet.GetPackedTraffic()); err == nil {
		for _, service := range rules.GetServices() {
			s.named.services[service.GetName()] = true
		}
	}
	return s.named.services
}

// TakeLeaves returns the upstreams whose leaves were stored since the last call, at first all that are
// stored.
func (s *State) TakeLeaves() []*schema.Instance {
	taken := s.newLeaves
	s.newLeaves = nil
	return taken
}
