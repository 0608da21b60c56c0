// Package rollout decides which upstreams may leave service to switch to another
// version, so that a rollout never takes too many out of service at once.
package rollout

import (
	"time"

	"figbank/schema"
)

const (
	// outDivisor limits the upstreams of a failure domain that may be out of service
	// at once: to the number of warm ones, those that can serve requests now, divided by
	// outDivisor and rounded down, but at least one.
	outDivisor = 3
	// grantLifetime limits how long a grant counts if its holder dies before it
	// releases the grant.
	grantLifetime = 2 * time.Minute
)

// MayGrant reports whether the requested grant can be given in addition to the active
// ones. outDivisor limits the grants in the upstream's failure domain. In all failure
// domains together, at least one warm upstream of the service must stay in service,
// unless there is only one. A grant that the upstream already holds is given again.
func MayGrant(active []*schema.GrantRecord, requested *schema.Grant, now time.Time) bool {
	outInDomain, outInAll := int64(0), int64(0)
	for _, record := range active {
		granted := record.GetGrant()
		if granted.GetService() != requested.GetService() || Expired(record, now) {
			continue
		}
		if granted.GetUpstream() == requested.GetUpstream() {
			return true
		}
		outInAll++
		if granted.GetFailureDomain() == requested.GetFailureDomain() {
			outInDomain++
		}
	}
	// Once the requesting gateway has learned that an upstream is out of service, it
	// no longer counts it as warm. Subtracting such upstreams again here only makes
	// the limits stricter.
	if outInDomain >= max(1, requested.GetWarmInDomain()/outDivisor) {
		return false
	}
	return requested.GetWarmInAll() <= 1 && outInAll == 0 || requested.GetWarmInAll()-outInAll > 1
}

// Expired reports whether a grant is older than grantLifetime.
func Expired(record *schema.GrantRecord, now time.Time) bool {
	return now.Sub(time.Unix(0, record.GetTimeUnixNano())) > grantLifetime
}
