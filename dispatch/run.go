package dispatch

import (
	"context"
	"errors"
	"math/bits"
	"strconv"
	"time"

	"figbank"
	"figbank/crashers"
	"figbank/eventstream"
	"figbank/load"
	"figbank/placement"
	"figbank/retry"

	"go.uber.org/zap"
)

const (
	// maxAttempts bounds how many upstreams one request is sent to, including those
	// that prove that they did not run it.
	maxAttempts = 4
	// crashersRetryAfter is the retry delay sent to callers whose request is refused
	// because it crashes upstreams.
	crashersRetryAfter = 30 * time.Second
)

type (
	// run holds the state of one request from its arrival to the end of its answer.
	run struct {
		*Dispatcher
		request  *Request
		response ResponseWriter
		log      *zap.Logger
		tried    map[figbank.UpstreamID]bool
		// outcome collects whether the attempts may have run the request.
		outcome retry.Outcome
		// lastEvent is the id of the last event that the caller has received.
		lastEvent string
		// order checks the ids of the events that the caller receives.
		order eventstream.Order
		// format tells which events the stream may have, if they must have numbers.
		format eventstream.Format
		// failedAnswer is a complete error answer of an upstream. It goes to the caller
		// when no later attempt succeeds.
		failedAnswer *bufferedAnswer
		// firstByteTime is the time from the request's arrival to the first byte or event.
		firstByteTime time.Duration
		// longestGap is the longest pause between two events.
		longestGap  time.Duration
		lastEventAt time.Time
		// sentAt is the start of the current attempt. predicted is the predicted time from
		// then until the upstream begins to answer.
		sentAt    time.Time
		predicted time.Duration
		// began is closed, and hasBegun set, once the answer to the current attempt begins.
		began    chan struct{}
		hasBegun bool
		// events is the number of events that have arrived in the current attempt.
		events int
		// resumedAfter is lastEvent at the start of the current attempt. framed is set if the end of
		// its answer does not depend on the connection's.
		resumedAfter string
		framed       bool
		// place is the place that was reserved for the current attempt, nil if there is none.
		place Place
		// load is the load of the current attempt's upstream.
		load *load.Upstream
		// upstream is the last upstream that answered.
		upstream figbank.UpstreamID
		// entrant is what the request competes by for places, once entered is set.
		entrant placement.Entrant
		entered bool
		// rank is the number of more urgent ranks.
		rank int
		// identity identifies the request among those that crash upstreams.
		identity crashers.Request
	}
)

func (r *run) serve(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		target, err := r.chooseTarget(ctx, attempt)
		if err != nil {
			return r.giveUp(err)
		}
		r.sentAt = r.common.Clock.Now()
		err = r.attempt(ctx, target)
		r.logBadStream(attempt, target, err)
		r.outcome.Record(err)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || errors.As(err, new(figbank.CallerGoneError)) {
			return r.endedError(ctx)
		}
		if !r.shouldRetry(attempt, target, err) {
			return r.giveUp(err)
		}
	}
}

func identityOf(request *Request) crashers.Request {
	workspace := ""
	if request.Workspace != nil {
		workspace = string(request.Workspace.Name)
	}
	return crashers.Request{
		Fingerprint: crashers.FingerprintOf(workspace, request.Method, request.Target, request.Body),
		Parts:       crashers.PartsOf(request.SharedParts),
	}
}

// shouldRetry decides whether the request goes to another upstream after a failed attempt.
// It marks the target as tried and updates the service's retry budget.
func (r *run) shouldRetry(attempt int, target *Target, err error) bool {
	r.tried[target.ID] = true
	budget := r.budgets.For(r.request.Service)
	now := r.common.Clock.Now()
	action := r.decideRetry(now, attempt, err, budget)
	scope := r.common.Scope.Tagged(map[string]string{"service": string(r.request.Service)})
	switch action {
	case retry.RetryElsewhere:
		scope.Counter("retries").Inc(1)
	case retry.BudgetSpent:
		scope.Counter("retries_over_budget").Inc(1)
	case retry.GiveUp, retry.Requeue:
	}
	r.log.Info("attempt failed", zap.String("service", string(r.request.Service)), zap.String("upstream", string(target.ID)),
		zap.Int("attempt", attempt), zap.Bool("again", !action.Ends()), zap.Bool("budgetSpent", action == retry.BudgetSpent),
		zap.Float64("retriesLeft", budget.Tokens(now)), zap.Int("events", r.events), zap.Strings("parts", r.request.SharedParts), figbank.ErrorField(err))
	return !action.Ends()
}

func (r *run) decideRetry(now time.Time, attempt int, err error, budget *retry.Budget) retry.Action {
	if r.lastEvent != r.request.LastEvent && !r.request.Route.GetResumable() || attempt >= maxAttempts {
		return retry.GiveUp
	}
	if r.outcome.MayHaveRun() >= int(max(1, r.request.Route.GetMaxUpstreams())) && !errors.As(err, new(figbank.NotRunError)) {
		return retry.GiveUp
	}
	resumable := r.request.Route.Streamed() && r.request.Route.GetResumable()
	return retry.Decide(now, retry.Failure{
		Err: err, Repeatable: r.request.Route.Repeatable(), AnswerStarted: r.response.Started() && !resumable,
	}, budget)
}

// giveUp returns the result of a request that goes to no further upstream for the given
// reason: a complete error answer of an upstream if there is one, otherwise an error.
func (r *run) giveUp(reason error) error {
	if r.failedAnswer != nil && !r.response.Started() {
		return r.failedAnswer.writeTo(r.response)
	}
	return r.outcome.Error(reason)
}

// endedError returns the error of a request that ended because its deadline passed or the
// caller has gone.
func (r *run) endedError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return figbank.DeadlineError{NotSent: r.outcome.MayHaveRun() == 0}
	}
	return r.outcome.Error(figbank.NotRunError{Reason: figbank.ReasonCallerGone})
}

// logFinished logs the outcome of the request and counts it in the metrics.
func (r *run) logFinished(err error) {
	fields := []zap.Field{
		zap.String("route", r.request.Route.GetName()), zap.String("upstream", string(r.upstream)),
		zap.Int("sent", r.outcome.MayHaveRun()), zap.Duration("first", r.firstByteTime), zap.Duration("longestGap", r.longestGap),
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
	if tokens := r.request.PromptTokens; tokens > 0 {
		scope.Tagged(map[string]string{"route": r.request.Route.GetName(), "prompt_bits": strconv.Itoa(bits.Len(uint(tokens)))}).Counter("requests_by_size").Inc(1)
	}
	if r.firstByteTime > 0 {
		scope.Timer("first_byte").Record(r.firstByteTime)
	}
}
