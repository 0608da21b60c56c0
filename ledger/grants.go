package ledger

import (
	"maps"
	"slices"

	"figbank/rollout"
	"figbank/schema"
)

func keyOfGrant(service, upstream string) grantKey {
	return grantKey{service: service, upstream: upstream}
}

// grant lets an upstream leave service to switch version, if rollout allows.
func (s *State) grant(asked *schema.Grant) *schema.Result {
	maps.DeleteFunc(s.grants, func(_ grantKey, record *schema.GrantRecord) bool {
		return rollout.Expired(record, s.now)
	})
	active := slices.Collect(maps.Values(s.grants))
	if !rollout.May(active, asked, s.now) {
		return refuse(schema.Refusal_REFUSAL_GRANT_WAIT, "too many upstreams are out of service")
	}
	s.grants[keyOfGrant(asked.GetService(), asked.GetUpstream())] = &schema.GrantRecord{
		Grant: asked, CommitIndex: s.applied, TimeUnixNano: s.now.UnixNano(),
	}
	return &schema.Result{CommitIndex: s.applied}
}

func (s *State) release(done *schema.Release) *schema.Result {
	delete(s.grants, keyOfGrant(done.GetService(), done.GetUpstream()))
	return &schema.Result{CommitIndex: s.applied}
}
