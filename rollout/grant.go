// Package rollout decides which upstreams may leave service to switch to another
// version, so that a rollout never takes too many out of service at once.
package rollout

import (
	"time"

	"figbank/schema"
)

const (
	// At most W/outDivisor upstreams of a failure domain may be out of service at once, rounded
	// down, but always at least one may. W is the number of warm upstreams, which can serve
	// requests now.
	outDivisor = 3
	// grantLifetime is how long a grant counts unless it is released. It is limited so that an
	// upstream whose agent dies does not keep others from switching.
	grantLifetime = 2 * time.Minute
)

// MayGrant reports whether the requested grant can be given in addition to the active grants. A
// grant permits one upstream to leave service. outDivisor limits the grants in the upstream's
// failure domain. In all failure domains together, at least one warm upstream of the service must
// stay in service, unless there is only one. A grant that the upstream already holds is given
// again.
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
	// The counts of warm upstreams come from the requesting gateway. They may already exclude
	// upstreams that are out of service. Subtracting these upstreams again only makes the limits
	// stricter.
	if outInDomain >= max(1, requested.GetWarmInDomain()/outDivisor) {
		return false
	}
	return requested.GetWarmInAll() <= 1 && outInAll == 0 || requested.GetWarmInAll()-outInAll > 1
}

// Expired reports whether a grant is older than grantLifetime.
func Expired(record *schema.GrantRecord, now time.Time) bool {
	return now.Sub(time.Unix(0, record.GetTimeUnixNano())) > grantLifetime
}
