// Package rollout decides which upstream may leave service now to switch its
// version, so that a rollout never takes out too many at once.
package rollout

import (
	"time"

	"figbank/schema"
)

const (
	// outShare is the part of a domain's warm upstreams that may be out at once:
	// one in outShare, but at least one.
	outShare = 3
	// grantLifetime bounds a grant whose holder died before releasing it.
	grantLifetime = 2 * time.Minute
)

// May tells whether asked can be granted beside the active grants. A grant that
// is already held is granted again.
func May(active []*schema.GrantRecord, asked *schema.Grant, now time.Time) bool {
	outInDomain, outInAll := int64(0), int64(0)
	for _, record := range active {
		held := record.GetGrant()
		if held.GetService() != asked.GetService() || Expired(record, now) {
			continue
		}
		if held.GetUpstream() == asked.GetUpstream() {
			return true
		}
		outInAll++
		if held.GetFailureDomain() == asked.GetFailureDomain() {
			outInDomain++
		}
	}
	// Upstreams that are out are no longer counted as warm by the asking gateway,
	// unless it has not heard yet; counting them twice only errs on the safe side.
	if outInDomain >= max(1, asked.GetWarmInDomain()/outShare) {
		return false
	}
	return asked.GetWarmInAll() <= 1 && outInAll == 0 || asked.GetWarmInAll()-outInAll > 1
}

// Expired tells whether a grant's holder has had its time.
func Expired(record *schema.GrantRecord, now time.Time) bool {
	return now.Sub(time.Unix(0, record.GetTimeUnixNano())) > grantLifetime
}
