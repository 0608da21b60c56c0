package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"figbank"
	"figbank/retry"
	"figbank/schema"

	"go.uber.org/zap"
)

const (
	// maxPending limits the number of outcomes that wait to be recorded.
	maxPending = 4096
	// recordTimeout limits one attempt to record an outcome.
	recordTimeout = 5 * time.Second
)

// backlog records outcomes in the log, in the order in which they were added. It
// retries each until the log confirms it. It is safe for concurrent use.
type backlog struct {
	common   figbank.Common
	proposer figbank.Proposer
	random   *rand.Rand
	wakeup   chan struct{}
	drained  chan struct{}
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu      sync.Mutex
	pending []*schema.Settle
	closing bool
}

func newBacklog(common figbank.Common, proposer figbank.Proposer) *backlog {
	ctx, cancel := context.WithCancel(context.Background())
	b := &backlog{
		common: common, proposer: proposer, cancel: cancel,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // spreads load, no secret
		wakeup: make(chan struct{}, 1), drained: make(chan struct{}),
	}
	b.group.Go(func() { b.run(ctx) })
	return b
}

// add queues an outcome until it is recorded. If the queue is full, add drops the
// oldest one. The key of a dropped outcome stays claimed; once the claim has timed out,
// a resent request gets the answer that the outcome is unknown.
func (b *backlog) add(outcome *schema.Settle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == maxPending {
		b.common.Log.Error("backlog is full, dropped the oldest unrecorded outcome", zap.String("request", b.pending[0].GetOwner()))
		b.pending = b.pending[1:]
	}
	b.pending = append(b.pending, outcome)
	b.wake()
}

func (b *backlog) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// close waits until all outcomes are recorded or ctx ends, then stops the backlog.
func (b *backlog) close(ctx context.Context) {
	b.mu.Lock()
	b.closing = true
	b.wake()
	b.mu.Unlock()
	select {
	case <-b.drained:
	case <-ctx.Done():
	}
	b.cancel()
	b.group.Wait()
	if left := len(b.pending); left > 0 {
		b.common.Log.Error("stopped with unrecorded outcomes", zap.Int("requests", left))
	}
}

func (b *backlog) run(ctx context.Context) {
	failures := 0
	for {
		outcome, ended := b.first()
		switch {
		case ended:
			close(b.drained)
			return
		case outcome == nil:
			select {
			case <-b.wakeup:
			case <-ctx.Done():
				return
			}
			continue
		}
		if b.record(ctx, outcome) {
			failures = 0
			b.remove(outcome)
			continue
		}
		failures++
		select {
		case <-b.common.Clock.After(retry.Delay(failures, b.random)):
		case <-ctx.Done():
			return
		}
	}
}

// first returns the oldest outcome, or nil if there is none. ended is true if the
// backlog is empty and closing.
func (b *backlog) first() (outcome *schema.Settle, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		return nil, b.closing
	}
	return b.pending[0], false
}

// record tries once to record an outcome. It reports whether the log has confirmed it.
func (b *backlog) record(ctx context.Context, outcome *schema.Settle) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := b.proposer.Propose(ctx, settleCommand(outcome))
	if err != nil {
		b.common.Log.Warn("could not record outcome, will retry", zap.String("request", outcome.GetOwner()), figbank.ErrorField(err))
	}
	return err == nil
}

// remove removes a recorded outcome, unless add has dropped it in the meantime.
func (b *backlog) remove(outcome *schema.Settle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) > 0 && b.pending[0] == outcome {
		b.pending = b.pending[1:]
	}
}
