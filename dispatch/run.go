package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/crashers"
	"figbank/placement"
	"figbank/retry"
	"figbank/traffic"
)

const (
	// mostTries bounds the upstreams that one request is offered to, those that
	// prove they have not run it included.
	mostTries = 4
	// crashersRetryAfter is what callers of requests that crash upstreams are told.
	crashersRetryAfter = 30 * time.Second
	// delayNear and delayFar are there and back, within and between failure domains.
	delayNear = time.Millisecond
	delayFar  = 6 * time.Millisecond
)

type (
	// run is one request on its way.
	run struct {
		*Dispatcher
		request *Request
		reply   Reply
		log     *zap.Logger
		tried   map[figbank.UpstreamID]bool
		// sent counts upstreams that may have run the request.
		sent      int
		lastEvent string
		// held is a whole failed answer to pass on when no other try succeeds.
		held    *heldAnswer
		firstAt time.Duration
		// longestGap is the longest pause between two events.
		longestGap  time.Duration
		lastEventAt time.Time
		// sentAt is when the present attempt began, predicted when it should answer.
		sentAt    time.Time
		predicted time.Duration
		// began is closed, and lifted set, once the present attempt has begun to answer.
		began  chan struct{}
		lifted bool
		// load is that of the present attempt's upstream.
		load        *Load
		upstream    figbank.UpstreamID
		fingerprint crashers.Fingerprint
	}
)

func (r *run) serve(ctx context.Context) error {
	var last error
	for attempt := 1; ; attempt++ {
		target, err := r.place(attempt)
		if err != nil {
			return r.concede(last, err)
		}
		r.sentAt = r.common.Clock.Now()
		last = r.try(ctx, target)
		if last == nil {
			return nil
		}
		if ctx.Err() != nil || errors.As(last, new(figbank.CallerGoneError)) {
			return r.ended(ctx, last)
		}
		if !r.again(attempt, target, last) {
			return r.concede(last, last)
		}
	}
}

func fingerprintOf(request *Request) crashers.Fingerprint {
	workspace := ""
	if request.Workspace != nil {
		workspace = string(request.Workspace.Name)
	}
	return crashers.FingerprintOf(workspace, request.Method, request.Target, request.Body)
}

// place picks an upstream, or says why there is none.
func (r *run) place(attempt int) (*Target, error) {
	now := r.common.Clock.Now()
	if r.crashers.Refuses(now, r.fingerprint) {
		r.log.Info("refused", zap.String("reason", string(figbank.ReasonCrashesUpstreams)), zap.Int("attempt", attempt))
		return nil, figbank.NotRunError{Reason: figbank.ReasonCrashesUpstreams, RetryAfter: crashersRetryAfter}
	}
	table := r.table.Load()
	targets, candidates := r.candidates(table, now)
	demand := placement.Demand{
		Prompt: r.request.PromptTokens, Target: r.request.Route.Target,
		Left: r.request.Deadline.Sub(now), Drift: r.drift(r.request.Service).factor(now),
	}
	if attempt == 1 {
		demand.Waited = now.Sub(r.request.ReceivedAt)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // spreads load, no secret
	decision := placement.Decide(demand, candidates, random)
	if decision.Index < 0 {
		r.log.Info("refused", zap.String("reason", string(decision.Reason)), zap.Duration("retryAfter", decision.RetryAfter),
			zap.Int("candidates", len(candidates)), zap.Int("attempt", attempt), zap.Uint64("table", uint64(table.Index)))
		return nil, figbank.NotRunError{Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	}
	target := targets[decision.Index]
	target.takeCold(now)
	r.predicted = decision.Predicted
	r.log.Info("placed", zap.String("upstream", string(target.ID)), zap.Int("attempt", attempt),
		zap.Int("prompt", r.request.PromptTokens), zap.Int("outstanding", candidates[decision.Index].Outstanding),
		zap.Duration("loadAge", target.Load.Age(now)), zap.Duration("predicted", decision.Predicted),
		zap.Duration("late", target.Load.late.present(now)), zap.Float64("drift", demand.Drift),
		zap.Int64("version", target.Version), zap.Int("candidates", len(candidates)), zap.Uint64("table", uint64(table.Index)))
	return target, nil
}

// candidates lists the upstreams that may take the request.
func (r *run) candidates(table *Table, now time.Time) ([]*Target, []placement.Candidate) {
	homes, bound := traffic.Homes(r.request.Route, r.request.Workspace)
	var targets []*Target
	var candidates []placement.Candidate
	for _, target := range table.Targets(r.request.Service) {
		if r.tried[target.ID] || target.Engine != nil && target.Model != r.request.Model {
			continue
		}
		if bound && !containsRegion(homes, target.Region) || !target.ready(now) {
			continue
		}
		delay := delayFar
		if target.Near {
			delay = delayNear
		}
		outstanding := target.Load.Outstanding(now)
		late := target.Load.late.present(now)
		if target.Engine != nil && target.old(now.Add(target.Engine.First(outstanding, r.request.PromptTokens)+late)) {
			continue
		}
		targets = append(targets, target)
		candidates = append(candidates, placement.Candidate{
			Outstanding: outstanding, Slots: target.Slots, Engine: target.Engine,
			Near: target.Near, Delay: delay, Setback: target.Load.Penalty() + late, Full: !target.bears(now),
		})
	}
	return targets, candidates
}

// again decides whether another upstream is tried.
func (r *run) again(attempt int, target *Target, err error) bool {
	r.tried[target.ID] = true
	if r.lastEvent != r.request.LastEvent && !r.request.Route.GetResumable() || attempt >= mostTries {
		return false
	}
	if r.sent >= int(max(1, r.request.Route.GetMaxUpstreams())) && !errors.As(err, new(figbank.NotRunError)) {
		return false
	}
	resumable := r.request.Route.Streamed() && r.request.Route.GetResumable()
	action := retry.Decide(retry.Failed{
		Err: err, Repeatable: r.request.Route.Repeatable(), Passed: r.reply.Started() && !resumable,
	}, r.budgets.For(r.request.Service))
	again := action != retry.GiveUp
	r.log.Info("attempt failed", zap.String("upstream", string(target.ID)), zap.Int("attempt", attempt),
		zap.Bool("again", again), figbank.ErrorField(err))
	return again
}

// concede ends a request that no further upstream gets. A whole failed answer
// is still the upstream's answer; a try that may have run is never called
// refused.
func (r *run) concede(last, none error) error {
	if r.held != nil && !r.reply.Started() {
		return r.held.deliver(r.reply)
	}
	if last == nil {
		return none
	}
	if r.sent > 0 && errors.As(none, new(figbank.NotRunError)) {
		return last
	}
	return none
}

// ended tells why the context is over: the deadline, or a caller that left.
func (r *run) ended(ctx context.Context, last error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return figbank.DeadlineError{NotSent: r.sent == 0}
	}
	if r.sent == 0 {
		return figbank.NotRunError{Reason: figbank.ReasonCallerGone}
	}
	return last
}

func (r *run) finished(err error) {
	fields := []zap.Field{
		zap.String("route", r.request.Route.GetName()), zap.String("upstream", string(r.upstream)),
		zap.Int("sent", r.sent), zap.Duration("first", r.firstAt), zap.Duration("longestGap", r.longestGap),
		zap.Duration("total", r.common.Clock.Now().Sub(r.request.ReceivedAt)),
	}
	outcome := "answered"
	if err != nil {
		outcome = "failed"
		fields = append(fields, figbank.ErrorField(err))
	}
	r.log.Info("finished", append(fields, zap.String("outcome", outcome))...)
	scope := r.common.Scope.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("requests").Inc(1)
	if r.firstAt > 0 {
		scope.Timer("first_byte").Record(r.firstAt)
	}
}

func containsRegion(regions []string, region figbank.Region) bool {
	for _, r := range regions {
		if r == string(region) {
			return true
		}
	}
	return false
}
