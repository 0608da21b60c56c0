package dispatch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"figbank"
	"figbank/latency"
	"figbank/placement"
	"figbank/traffic"

	"go.uber.org/zap"
)

const (
	// maxReservations bounds how many keepers one attempt asks for a place. Load counts that lag
	// point many gateways to the same upstreams, so the first ones may all refuse.
	maxReservations = 6
	// sameDomainDelay is the assumed round-trip time within a failure domain, otherDomainDelay
	// that between two failure domains.
	sameDomainDelay  = time.Millisecond
	otherDomainDelay = 6 * time.Millisecond
)

// chooseTarget chooses an upstream, or returns a NotRunError with the reason why no upstream
// may take the request.
func (r *run) chooseTarget(ctx context.Context, attempt int) (*Target, error) {
	now := r.common.Clock.Now()
	if r.crashers.Refuses(now, r.identity) {
		r.log.Info("refused", zap.String("reason", string(figbank.ReasonCrashesUpstreams)), zap.Int("attempt", attempt),
			zap.Strings("parts", r.request.SharedParts))
		return nil, figbank.NotRunError{Reason: figbank.ReasonCrashesUpstreams, RetryAfter: crashersRetryAfter}
	}
	for waited := time.Duration(0); ; waited += placement.WaitStep {
		target, refusal := r.findPlace(ctx, attempt)
		if refusal == nil {
			return target, nil
		}
		if refusal.decision.Reason != figbank.ReasonQueueFull || attempt > 1 || refusal.engine == nil || !r.entered {
			return nil, r.refuse(refusal, attempt, waited)
		}
		now = r.common.Clock.Now()
		contest := r.contest(r.request.Service)
		if waited == 0 {
			contest.RecordMiss(now, r.entrant)
		}
		if !contest.Competition(now, r.entrant).With(refusal.engine).MayWait(waited) {
			contest.RecordRefusal(now, r.entrant)
			return nil, r.refuse(refusal, attempt, waited)
		}
		select {
		case <-ctx.Done():
			return nil, r.refuse(refusal, attempt, waited)
		case <-r.common.Clock.After(placement.WaitStep):
		}
	}
}

// findPlace chooses an upstream that has a place for the request, or tells why there is none.
func (r *run) findPlace(ctx context.Context, attempt int) (*Target, *refusal) {
	now := r.common.Clock.Now()
	table := r.table.Load()
	targets, candidates := r.candidates(table, now)
	if attempt == 1 && r.request.PromptTokens > 0 && !r.entered {
		r.entered, r.entrant = true, r.contest(r.request.Service).Enter(now, r.newEntrant(table))
	}
	engine := engineOf(candidates)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // spreads load, no secret
	leaving := r.leaving(candidates, random)
	for asked := 0; ; asked++ {
		now = r.common.Clock.Now()
		demand := r.demand(now, attempt, engine)
		demand.Leaving = leaving
		decision := placement.Decide(demand, candidates, random)
		if wait := earliestReturn(table, r.request.Service, now); decision.Index < 0 && len(candidates) == 0 && wait > 0 {
			decision = placement.RefuseUntil(figbank.ReasonNoUpstream, wait, random)
		}
		if asked > maxReservations {
			decision = placement.Refuse(figbank.ReasonQueueFull, 0, random)
		}
		if decision.Index < 0 {
			return nil, &refusal{decision: decision, demand: demand, engine: engine, candidates: len(candidates), asked: asked, table: table.Index}
		}
		target := targets[decision.Index]
		if !r.reserve(ctx, target, &candidates[decision.Index], demand) {
			continue
		}
		r.predicted = cmp.Or(candidates[decision.Index].Known, decision.Predicted)
		r.log.Info("placed", append(r.sizeFields(demand), zap.String("upstream", string(target.ID)), zap.Int("attempt", attempt),
			zap.Int("outstanding", candidates[decision.Index].Outstanding),
			zap.Duration("loadAge", target.Load.Age(now)), zap.Bool("reserved", r.place != nil), zap.Int("asked", asked),
			zap.Bool("away", !target.SameDomain), zap.Bool("stays", demand.Leaving.Stays), zap.Float64("homeShare", demand.Leaving.HomeShare),
			zap.Duration("predicted", r.predicted), zap.Duration("late", target.Load.Late.Current(now)), zap.Float64("slowdown", candidates[decision.Index].Slowdown),
			zap.Int64("version", target.Version), zap.Int("candidates", len(candidates)), zap.Uint64("table", uint64(table.Index)))...)
		r.countPlace("placed", now.Sub(r.request.ReceivedAt))
		return target, nil
	}
}

// sizeFields returns the log fields that tell whether the request's size decides where it goes.
func (r *run) sizeFields(demand placement.Demand) []zap.Field {
	return []zap.Field{
		zap.String("route", r.request.Route.GetName()), zap.Int("prompt", r.request.PromptTokens), zap.Int("answer", r.request.AnswerTokens),
		zap.Duration("allowed", demand.Allowed()), zap.Float64("drift", demand.Drift), zap.Duration("left", demand.TimeLeft),
		zap.Bool("ranked", r.entrant.Ranked), zap.Int64("workspacePriority", r.entrant.Urgency.Workspace), zap.Int64("priority", r.entrant.Urgency.Route),
		zap.Bool("returned", r.entrant.Urgency.Returned), zap.Int("keepFree", demand.KeepFree),
	}
}

// engineOf returns the predictor of the candidates' engines, nil if they have none. All belong to one
// service, whose engines are alike.
func engineOf(candidates []placement.Candidate) *latency.Predictor {
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0].Engine
}

// demand describes the request as placement needs it. Engine is nil for services without engines.
func (r *run) demand(now time.Time, attempt int, engine *latency.Predictor) placement.Demand {
	demand := placement.Demand{
		PromptTokens: r.request.PromptTokens, LatencyTarget: r.request.Route.LatencyTarget,
		TimeLeft: r.request.Deadline.Sub(now), Drift: r.drift(r.request.Service).Factor(now),
	}
	if attempt == 1 {
		demand.Waited = now.Sub(r.request.ReceivedAt)
	}
	if engine != nil {
		competition := r.contest(r.request.Service).Competition(now, r.entrant).With(engine)
		demand.Limit = competition.Limit(demand.LatencyTarget, demand.PromptTokens, demand.Drift)
		demand.KeepFree, r.rank = competition.KeepFree(), competition.Rank
	}
	return demand
}

// reserve takes a place at the target. If its keeper refuses, reserve stores what the keeper
// knows in the candidate and returns false. If no keeper answers, the target is used without a
// place, within this gateway's share of the target's rate.
func (r *run) reserve(ctx context.Context, target *Target, candidate *placement.Candidate, demand placement.Demand) bool {
	now := r.common.Clock.Now()
	reserver := r.reserver.Load()
	if reserver == nil {
		target.countRate(now, wholeShare)
		return true
	}
	answer, known := (*reserver).Reserve(ctx, target, PlaceRequest{
		Service: r.request.Service, PromptTokens: r.request.PromptTokens,
		Allowed: demand.Allowed() - candidate.Delay, Lifetime: demand.TimeLeft, KeepFree: demand.KeepFreeAt(*candidate),
	})
	now = r.common.Clock.Now()
	if !r.mayBegin(target, now, answer.Predicted) {
		// Asking has taken time, and the target's weights may be too old by now.
		if known && answer.Granted {
			answer.Place.End()
		}
		candidate.Full = true
		return false
	}
	if !known {
		candidate.Full = !target.allowsRate(now, unkeptShare)
		if !candidate.Full {
			target.countRate(now, unkeptShare)
		}
		return !candidate.Full
	}
	r.recordAway(target, answer.Granted)
	candidate.Known, candidate.Outstanding = answer.Predicted+candidate.Delay, answer.Outstanding
	if !answer.Granted {
		// The keeper of a limited upstream may refuse although the answer would begin in time.
		candidate.Full = candidate.Known <= demand.Allowed() && placement.LeavesFree(*candidate, demand.KeepFreeAt(*candidate))
		if rate, limited := target.Rate(now); limited && candidate.Full {
			target.Load.RecordRateFull(now, rate)
		}
		return false
	}
	r.place = answer.Place
	return true
}

// mayBegin reports whether the target may get the request now, if its answer is predicted to begin
// after the given time.
func (r *run) mayBegin(target *Target, now time.Time, predicted time.Duration) bool {
	return target.ready(now) && (target.Engine == nil || !target.tooOld(now.Add(predicted+target.Load.Late.Current(now))))
}

// candidates returns the upstreams that may take the request. The second slice holds, at the
// same index, what placement needs to know of each.
func (r *run) candidates(table *Table, now time.Time) ([]*Target, []placement.Candidate) {
	allowed, restricted := traffic.AllowedRegions(r.request.Route, r.request.Workspace)
	var targets []*Target
	var candidates []placement.Candidate
	reserver := r.reserver.Load()
	for _, target := range table.Targets(r.request.Service) {
		if r.tried[target.ID] || target.Engine != nil && target.Model != r.request.Model {
			continue
		}
		if restricted && !containsRegion(allowed, target.Region) {
			continue
		}
		delay := otherDomainDelay
		if target.SameDomain {
			delay = sameDomainDelay
		}
		outstanding := target.Load.Outstanding(now)
		predicted := time.Duration(0)
		if target.Engine != nil {
			predicted = time.Duration(float64(target.Engine.TimeToFirstEvent(outstanding, r.request.PromptTokens)) * target.Load.Speed.Slowdown(now))
		}
		if !r.mayBegin(target, now, predicted) {
			continue
		}
		late := target.Load.Late.Current(now)
		full := target.Load.RateFull(now)
		if reserver == nil {
			full = !target.allowsRate(now, wholeShare)
		}
		targets = append(targets, target)
		candidates = append(candidates, placement.Candidate{
			Outstanding: outstanding, Slots: target.Slots, Engine: target.Engine,
			Slowdown: target.Load.Speed.Slowdown(now), SameDomain: target.SameDomain, Delay: delay, Penalty: target.Load.Penalty() + late, Full: full,
		})
	}
	return targets, candidates
}

func containsRegion(regions []string, region figbank.Region) bool {
	for _, r := range regions {
		if r == string(region) {
			return true
		}
	}
	return false
}
