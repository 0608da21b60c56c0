package metering

import (
	"context"
	"errors"
	"sync"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"github.com/cenkalti/backoff/v5"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Subject is the duty of reporting usage.
const Subject = "usage"

const (
	stepInterval = 100 * time.Millisecond
	// askInterval is how often gateways are asked. What a lost gateway has counted since is lost with it.
	askInterval = 500 * time.Millisecond
	askTimeout  = 900 * time.Millisecond
	// fixTimeout bounds one call to the log.
	fixTimeout = time.Second
	// firstRetry and lastRetry bound the pause before a failed call is repeated.
	firstRetry = 200 * time.Millisecond
	lastRetry  = time.Second
	// unreachableTime is how long the receiver may be out of this process's reach before another process tries.
	unreachableTime = 2500 * time.Millisecond
)

type (
	// Duty tells whether this process may act.
	Duty interface {
		// Token returns the fencing token, and whether this process may begin to act now if that takes up to the given time.
		Token(takes time.Duration) (uint64, bool)
		// Abstain gives the duty up for another process.
		Abstain(reason string)
	}

	// Settings configure a Reporter.
	Settings struct {
		// Due is the time after the end of a window by which its usage must be reported.
		Due time.Duration
		// CallTime bounds one call to the receiver.
		CallTime time.Duration
		// Gateways returns the gateways that run now.
		Gateways func() []*schema.Member
	}

	// Reporter reports the usage of all gateways while this process holds the duty.
	Reporter struct {
		common   figbank.Common
		settings Settings
		boot     figbank.BootClock
		wall     *WallTime
		duty     Duty
		proposer figbank.Proposer
		receiver figbank.UsageReceiver
		pool     *transport.Pool
		reports  func(outcome string) tally.Counter

		mu        sync.Mutex
		collector *Collector
		asking    map[figbank.ProcessID]bool

		// The rest is used by Run only.
		progress map[Window]*Progress
		delays   *backoff.ExponentialBackOff
		// unreachableSince is when calls began to fail without an answer, 0 if the last one had an answer.
		unreachableSince time.Duration
		askedAt          time.Duration
		token            uint64
	}
)

// NewReporter returns a Reporter that does nothing until Run.
func NewReporter(common figbank.Common, settings Settings, boot figbank.BootClock, wall *WallTime, duty Duty, proposer figbank.Proposer,
	receiver figbank.UsageReceiver, pool *transport.Pool,
) *Reporter {
	common = common.Named("metering")
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstRetry, lastRetry
	return &Reporter{
		common: common, settings: settings, boot: boot, wall: wall, duty: duty, proposer: proposer, receiver: receiver, pool: pool,
		reports: func(outcome string) tally.Counter {
			return common.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("reports")
		},
		collector: NewCollector(), asking: map[figbank.ProcessID]bool{}, progress: map[Window]*Progress{}, delays: delays,
	}
}

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticks, stop := r.common.Clock.Tick(stepInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		r.step(ctx)
	}
}

func (r *Reporter) step(ctx context.Context) {
	token, holds := r.duty.Token(0)
	if !holds {
		return
	}
	if token != r.token {
		// What was known in an earlier term may be outdated. The log holds what is fixed.
		r.token, r.progress, r.unreachableSince = token, map[Window]*Progress{}, 0
		r.delays.Reset()
	}
	oldest := r.wall.Window() - Window(r.settings.Due/r.wall.length) - 1
	r.ask(ctx, oldest)
	for window := oldest; window < r.wall.Window(); window++ {
		r.advance(ctx, window)
	}
	for window := range r.progress {
		if window < oldest {
			delete(r.progress, window)
		}
	}
}

// advance does what is next for one window.
func (r *Reporter) advance(ctx context.Context, window Window) {
	progress, found := r.progress[window]
	if !found {
		progress = &Progress{}
		r.progress[window] = progress
	}
	now, sinceEnd := r.boot.SinceBoot(), r.wall.SinceEnd(window)
	missing := r.missing(now - sinceEnd + settleTime)
	switch progress.Next(now, sinceEnd, r.settings.Due, missing) {
	case Fix:
		r.fix(ctx, window, progress, missing)
	case Send:
		r.send(ctx, window, progress)
	case Miss:
		progress.Missed = true
		if found {
			r.reports("missed").Inc(1)
			r.common.Log.Error("usage: window missed", zap.Int64("window", int64(window)), zap.Bool("fixed", progress.Fixed != nil),
				zap.Int("tries", progress.Tries), zap.Int("gatewaysMissing", missing), zap.Uint64("token", r.token))
		} else {
			r.reports("unknown").Inc(1)
			r.common.Log.Warn("usage: this window and those before it were overdue when the duty was taken, the log of their holder tells of them",
				zap.Int64("window", int64(window)), zap.Uint64("token", r.token))
		}
	case Wait, Done:
	}
}

// missing returns how many gateways have not told what they had counted at the given time.
func (r *Reporter) missing(after time.Duration) int {
	gateways := r.settings.Gateways()
	ids := make([]figbank.ProcessID, len(gateways))
	for i, gateway := range gateways {
		ids[i] = figbank.ProcessID(gateway.GetId())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.collector.Missing(ids, after)
}

// fix records the sum of a window in the log, or learns what an earlier holder has recorded.
func (r *Reporter) fix(ctx context.Context, window Window, progress *Progress, missing int) {
	r.mu.Lock()
	sum := r.collector.Sum(window)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fixTimeout)
	defer cancel()
	result, err := r.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_FixUsage{FixUsage: &schema.FixUsage{
		Subject: Subject, Token: r.token, Usage: sum,
	}}})
	if err != nil || result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		progress.NotBefore = r.boot.SinceBoot() + firstRetry
		r.common.Log.Warn("usage: the log does not fix the window", zap.Int64("window", int64(window)), zap.String("detail", result.GetDetail()), zap.Error(err))
		return
	}
	progress.Fixed = result.GetUsage()
	r.common.Log.Info("usage: window fixed", zap.Int64("window", int64(window)), zap.Int64("requests", requestsOf(progress.Fixed)),
		zap.Int64("counted", requestsOf(sum)), zap.Int("workspaces", len(progress.Fixed.GetWorkspaces())), zap.Int("gatewaysMissing", missing),
		zap.Duration("sinceEnd", r.wall.SinceEnd(window)), zap.Uint64("token", r.token))
}

// send reports a window.
func (r *Reporter) send(ctx context.Context, window Window, progress *Progress) {
	token, may := r.duty.Token(r.settings.CallTime)
	if !may || token != r.token {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTime)
	defer cancel()
	progress.Tries++
	err := r.receiver.Report(ctx, token, progress.Fixed)
	now := r.boot.SinceBoot()
	if err == nil {
		progress.Reported, r.unreachableSince = true, 0
		r.delays.Reset()
		r.reports("accepted").Inc(1)
		r.common.Log.Info("usage: window reported", zap.Int64("window", int64(window)), zap.Uint64("token", token), zap.Int("tries", progress.Tries),
			zap.Duration("sinceEnd", r.wall.SinceEnd(window)))
		return
	}
	progress.NotBefore = now + r.delays.NextBackOff()
	r.reports("failed").Inc(1)
	r.common.Log.Warn("usage: report failed", zap.Int64("window", int64(window)), zap.Uint64("token", token), zap.Int("tries", progress.Tries), figbank.ErrorField(err))
	r.noteFailure(now, err)
}

// noteFailure gives the duty up once the receiver has been out of reach for a while: another process may reach it.
func (r *Reporter) noteFailure(now time.Duration, err error) {
	if errors.As(err, new(figbank.FailedAnswerError)) {
		r.unreachableSince = 0
		return
	}
	if r.unreachableSince == 0 {
		r.unreachableSince = now
	}
	if now-r.unreachableSince >= unreachableTime {
		r.duty.Abstain("the receiver cannot be reached")
	}
}

// ask asks all gateways for their counts, without waiting for the answers.
func (r *Reporter) ask(ctx context.Context, from Window) {
	now := r.boot.SinceBoot()
	if now-r.askedAt < askInterval {
		return
	}
	r.askedAt = now
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Forget(from)
	for _, gateway := range r.settings.Gateways() {
		id := figbank.ProcessID(gateway.GetId())
		if r.asking[id] {
			continue
		}
		r.asking[id] = true
		go r.askOne(ctx, id, figbank.Address(gateway.GetAddress()), now, r.askFrom(id, from))
	}
}

// askFrom returns the first window that a gateway is asked for: those that it has told finally are not asked for again.
// The caller holds mu.
func (r *Reporter) askFrom(gateway figbank.ProcessID, from Window) Window {
	for window := r.wall.Window(); window > from; window-- {
		ended := r.boot.SinceBoot() - r.wall.SinceEnd(window-1)
		if r.collector.Missing([]figbank.ProcessID{gateway}, ended+settleTime) == 0 {
			return window
		}
	}
	return from
}

func (r *Reporter) askOne(ctx context.Context, id figbank.ProcessID, address figbank.Address, askedAt time.Duration, from Window) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer := &schema.UsageAnswer{}
	_, err := r.pool.Call(ctx, address, schema.StreamKind_STREAM_KIND_USAGE, &schema.UsageAsk{FromWindow: int64(from)}, answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, id)
	if err == nil {
		r.collector.Add(id, askedAt, answer)
	}
}

func requestsOf(usage *schema.WindowUsage) int64 {
	sum := int64(0)
	for _, workspace := range usage.GetWorkspaces() {
		sum += workspace.GetRequests()
	}
	return sum
}
