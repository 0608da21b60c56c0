package dispatch

import (
	"strconv"
	"time"

	"figbank"
	"figbank/latency"
	"figbank/placement"

	"go.uber.org/zap"
)

// refusal is why a request has found no place.
type refusal struct {
	decision   placement.Decision
	demand     placement.Demand
	engine     *latency.Predictor
	candidates int
	asked      int
	table      figbank.CommitIndex
}

// refuse logs a refusal and returns the error to answer with.
func (r *run) refuse(refusal *refusal, attempt int, waited time.Duration) error {
	decision := refusal.decision
	if r.entrant.Ranked && decision.Reason == figbank.ReasonQueueFull {
		r.refusals.Record(r.common.Clock.Now(), r.returnFingerprint())
	}
	r.log.Info("refused", append(r.sizeFields(refusal.demand), zap.String("reason", string(decision.Reason)), zap.Duration("retryAfter", decision.RetryAfter),
		zap.Duration("predicted", decision.Predicted), zap.Int("candidates", refusal.candidates), zap.Int("asked", refusal.asked),
		zap.Int("attempt", attempt), zap.Duration("waited", waited), zap.Uint64("table", uint64(refusal.table)))...)
	r.countPlace("refused", waited)
	return figbank.NotRunError{Reason: decision.Reason, RetryAfter: decision.RetryAfter}
}

// newEntrant returns what the request competes by. Urgency counts only for services whose callers differ in it.
func (r *run) newEntrant(table *Table) placement.Entrant {
	entrant := placement.Entrant{
		Route: r.request.Route.GetName(), Prompt: r.request.PromptTokens, Urgency: placement.Urgency{Route: r.request.Route.GetPriority()},
		Ranked: table.Traffic.Ranked(r.request.Service),
	}
	entrant.Urgency.Returned = entrant.Ranked && r.refusals.Contains(r.common.Clock.Now(), r.returnFingerprint())
	if workspace := r.request.Workspace; workspace != nil {
		entrant.Workspace, entrant.Urgency.Workspace = workspace.Name, workspace.Priority
	}
	return entrant
}

// returnFingerprint identifies the request if its caller sends it again.
func (r *run) returnFingerprint() uint64 {
	return uint64(r.identity.Fingerprint) + uint64(max(0, r.request.PromptTokens))
}

// countPlace counts what became of a request that competes with others of another rank, and how long it waited for it.
func (r *run) countPlace(outcome string, waited time.Duration) {
	if !r.entrant.Ranked {
		return
	}
	scope := r.common.Scope.Tagged(map[string]string{"outcome": outcome, "priority": strconv.FormatInt(r.entrant.Urgency.Route, 10)})
	scope.Counter("places").Inc(1)
	scope.Timer("place_wait").Record(waited)
}
