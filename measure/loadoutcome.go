package measure

import "figbank"

type (
	// KindOutcome is how the requests of one kind, or of one workspace, fared.
	KindOutcome struct {
		Asked, InTime, Late, Refused, RefusedAgain int
		Worth, Owed                                float64
	}

	// LoadOutcome is how all requests of a load fared.
	LoadOutcome struct {
		Kinds      []KindOutcome
		Workspaces map[figbank.Workspace]*KindOutcome
		// Small and Large are requests with prompts below the mean, and of the largest tenth.
		Small, Large KindOutcome
		// Domains holds how requests of each failure domain fared.
		Domains []KindOutcome
		// Away is the number of requests that another domain has taken.
		Away int
	}
)

// share returns the earned share of the worth that was owed.
func (k KindOutcome) share() float64 { return k.Worth / max(k.Owed, 1e-9) }

// served returns the share of the requests that were answered.
func (k KindOutcome) served() float64 { return float64(k.InTime+k.Late) / float64(max(1, k.Asked)) }

// total returns the outcome of all kinds together.
func (o *LoadOutcome) total() KindOutcome {
	var sum KindOutcome
	for _, k := range o.Kinds {
		sum.Asked += k.Asked
		sum.InTime += k.InTime
		sum.Late += k.Late
		sum.Refused += k.Refused
		sum.RefusedAgain += k.RefusedAgain
		sum.Worth += k.Worth
		sum.Owed += k.Owed
	}
	return sum
}

// outcomes returns the outcomes in which a request counts.
func (r *replay) outcomes(request *replayRequest) []*KindOutcome {
	if r.outcome.Workspaces[request.workspace] == nil {
		r.outcome.Workspaces[request.workspace] = &KindOutcome{}
	}
	found := []*KindOutcome{&r.outcome.Kinds[request.kind], &r.outcome.Domains[request.domain], r.outcome.Workspaces[request.workspace]}
	mean := r.load.Kinds[request.kind].Prompt
	switch {
	case request.prompt > 23*mean/10:
		found = append(found, &r.outcome.Large)
	case request.prompt < mean:
		found = append(found, &r.outcome.Small)
	}
	return found
}
