package ledger

import (
	"slices"
	"time"

	"figbank/registry"
	"figbank/schema"
)

const (
	// leaveRetention is how long a leave is kept. All gateways that run have heard of it long before.
	leaveRetention = 10 * time.Minute
	// maxLeaves is the largest number of leaves that the state stores.
	maxLeaves = 1024
)

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
	same := func(known *schema.LeaveRecord) bool { return known.GetUpstream().GetId() == upstream.GetId() }
	if i := slices.IndexFunc(s.leaves, same); i >= 0 && !registry.Supersedes(upstream, s.leaves[i].GetUpstream()) {
		return &schema.Result{CommitIndex: s.applied}
	}
	oldest := s.now.Add(-leaveRetention).UnixNano()
	s.leaves = slices.DeleteFunc(slices.Clone(s.leaves), func(known *schema.LeaveRecord) bool {
		return same(known) || known.GetRecordedUnixNano() < oldest
	})
	s.leaves = append(s.leaves[max(0, len(s.leaves)-maxLeaves+1):], &schema.LeaveRecord{Upstream: upstream, RecordedUnixNano: s.now.UnixNano()})
	s.newLeaves = append(s.newLeaves, upstream)
	return &schema.Result{CommitIndex: s.applied}
}

// TakeLeaves returns the upstreams whose leaves were stored since the last call, at first all that are
// stored.
func (s *State) TakeLeaves() []*schema.Instance {
	taken := s.newLeaves
	s.newLeaves = nil
	return taken
}
