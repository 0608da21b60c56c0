package ledger

import (
	"maps"
	"slices"

	"figbank/rollout"
	"figbank/schema"
)

func grantKeyOf(service, upstream string) grantKey {
	return grantKey{service: service, upstream: upstream}
}

// grant removes expired grants, and then lets an upstream leave service to switch its
// version, if package rollout allows it.
func (s *State) grant(request *schema.Grant) *schema.Result {
	maps.DeleteFunc(s.grants, func(_ grantKey, record *schema.GrantRecord) bool {
		return rollout.Expired(record, s.now)
	})
	active := slices.Collect(maps.Values(s.grants))
	if !rollout.MayGrant(active, request, s.now) {
		return refuse(schema.Refusal_REFUSAL_GRANT_WAIT, "too many upstreams are out of service")
	}
	s.grants[grantKeyOf(request.GetService(), request.GetUpstream())] = &schema.GrantRecord{
		Grant: request, CommitIndex: s.applied, TimeUnixNano: s.now.UnixNano(),
	}
	return &schema.Result{CommitIndex: s.applied}
}

// release ends the grant of an upstream.
func (s *State) release(request *schema.Release) *schema.Result {
	delete(s.grants, grantKeyOf(request.GetService(), request.GetUpstream()))
	return &schema.Result{CommitIndex: s.applied}
}
