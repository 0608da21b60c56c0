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
	// backlogMost bounds the outcomes that wait to be recorded.
	backlogMost = 4096
	// recordTimeout bounds one try to record one.
	recordTimeout = 5 * time.Second
)

// backlog records outcomes that the log did not confirm, in order, until it does.
// It is safe for concurrent use.
type backlog struct {
	common   figbank.Common
	proposer figbank.Proposer
	random   *rand.Rand
	added    chan struct{}
	emptied  chan struct{}
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
		added:  make(chan struct{}, 1), emptied: make(chan struct{}),
	}
	b.group.Go(func() { b.run(ctx) })
	return b
}

// add keeps an outcome until it is recorded. When there are too many, the oldest
// is dropped: its key stays claimed, and a resent request is told "unknown".
func (b *backlog) add(outcome *schema.Settle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == backlogMost {
		b.common.Log.Error("outcome dropped, too many wait", zap.String("request", b.pending[0].GetOwner()))
		b.pending = b.pending[1:]
	}
	b.pending = append(b.pending, outcome)
	b.wake()
}

func (b *backlog) wake() {
	select {
	case b.added <- struct{}{}:
	default:
	}
}

// close returns once all is recorded, or when ctx ends.
func (b *backlog) close(ctx context.Context) {
	b.mu.Lock()
	b.closing = true
	b.wake()
	b.mu.Unlock()
	select {
	case <-b.emptied:
	case <-ctx.Done():
	}
	b.cancel()
	b.group.Wait()
	if left := len(b.pending); left > 0 {
		b.common.Log.Error("outcomes not recorded", zap.Int("requests", left))
	}
}

func (b *backlog) run(ctx context.Context) {
	failures := 0
	for {
		outcome, ended := b.first()
		switch {
		case ended:
			close(b.emptied)
			return
		case outcome == nil:
			select {
			case <-b.added:
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

// first returns the oldest outcome, nil when there is none, and whether the
// backlog has come to its end.
func (b *backlog) first() (outcome *schema.Settle, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		return nil, b.closing
	}
	return b.pending[0], false
}

func (b *backlog) record(ctx context.Context, outcome *schema.Settle) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := b.proposer.Propose(ctx, settling(outcome))
	if err != nil {
		b.common.Log.Warn("outcome not recorded yet", zap.String("request", outcome.GetOwner()), figbank.ErrorField(err))
	}
	return err == nil
}

// remove takes out a recorded outcome, unless it was dropped meanwhile.
func (b *backlog) remove(outcome *schema.Settle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) > 0 && b.pending[0] == outcome {
		b.pending = b.pending[1:]
	}
}
