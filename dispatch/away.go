package dispatch

import (
	"math/rand/v2"

	"figbank/placement"
)

// leaving returns how the request may leave the failure domain.
func (r *run) leaving(candidates []placement.Candidate, random *rand.Rand) placement.Leaving {
	if !r.settings.HomeFirst {
		return placement.Leaving{Cost: r.settings.LeaveCost}
	}
	home := 0
	for _, candidate := range candidates {
		if candidate.SameDomain {
			home++
		}
	}
	domains := len(r.settings.Location.Regions)
	share := float64(home*domains) / float64(max(1, len(candidates)))
	return placement.Leaving{HomeFirst: true, Cost: r.settings.LeaveCost, HomeShare: share, Stays: !r.away(r.request.Service).May(random)}
}

// recordAway records whether another failure domain has taken the request.
func (r *run) recordAway(target *Target, taken bool) {
	if target.SameDomain || !r.settings.HomeFirst {
		return
	}
	away, outcome := r.away(r.request.Service), "refused"
	if taken {
		away.RecordTaken()
		outcome = "taken"
	} else {
		away.RecordRefused()
	}
	scope := r.common.Scope.Tagged(map[string]string{"service": string(r.request.Service), "domain": string(target.FailureDomain), "outcome": outcome})
	scope.Counter("left_domain").Inc(1)
	r.common.Scope.Tagged(map[string]string{"service": string(r.request.Service)}).Gauge("may_leave_share").Update(away.Share())
}
