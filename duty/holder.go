package duty

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/schema"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// stepInterval is how often a process looks whether it has to take or renew a duty.
	stepInterval = 100 * time.Millisecond
	// abstainTime is how long a process that gave a duty up does not take it again. All others come first.
	abstainTime = 15 * time.Second
)

type (
	// Holder takes a duty for this process whenever nobody else holds it. It is safe for concurrent use.
	Holder struct {
		common   figbank.Common
		boot     figbank.BootClock
		proposer figbank.Proposer
		terms    Terms
		subject  string
		// preferred reports whether this process should hold the duty if nobody does.
		preferred func() bool
		held      tally.Gauge
		commands  tally.Counter

		mu    sync.Mutex
		lease *Lease
		// token is that of the duty while this process holds it, 0 otherwise.
		token uint64
	}
)

// NewHolder returns a Holder that does nothing until Run.
func NewHolder(common figbank.Common, boot figbank.BootClock, proposer figbank.Proposer, terms Terms, subject string, preferred func() bool) *Holder {
	common = common.Named("duty")
	scope := common.Scope.Tagged(map[string]string{"subject": subject})
	self := string(common.Process) + "/" + uuid.NewString()
	return &Holder{
		common: common, boot: boot, proposer: proposer, terms: terms, subject: subject, preferred: preferred,
		held: scope.Gauge("held"), commands: scope.Counter("commands"), lease: NewLease(terms, subject, self, boot.SinceBoot()),
	}
}

// Observe stores the records of the duties as the log has them. It does not block.
func (h *Holder) Observe(records []*schema.DutyRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, record := range records {
		if record.GetSubject() != h.subject {
			continue
		}
		before := h.lease.Holder()
		h.lease.Observe(h.boot.SinceBoot(), record)
		if record.GetHolder() != before {
			h.common.Log.Info("duty: another holder", zap.String("subject", h.subject), zap.String("holder", record.GetHolder()), zap.Uint64("token", record.GetToken()))
		}
	}
}

// Run takes the duty and renews its lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	ticks, stop := h.common.Clock.Tick(stepInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		h.step(ctx)
	}
}

// Token returns the fencing token, and whether this process may begin to act now if that takes up to the given time.
func (h *Holder) Token(takes time.Duration) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Token(h.boot.SinceBoot(), takes)
}

// Abstain gives the duty up for another process, since this one cannot carry it out.
func (h *Holder) Abstain(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease.Abstain(h.boot.SinceBoot() + abstainTime)
	h.common.Log.Warn("duty: given up", zap.String("subject", h.subject), zap.String("reason", reason), zap.Duration("for", abstainTime))
}

// step takes or renews the duty if it is time.
func (h *Holder) step(ctx context.Context) {
	h.mu.Lock()
	now := h.boot.SinceBoot()
	h.recordHeld(now)
	step := h.lease.Next(now, h.preferred())
	if step == Wait {
		h.mu.Unlock()
		return
	}
	command := proto.CloneOf(h.lease.Propose(now))
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, h.terms.Length/2)
	defer cancel()
	result, err := h.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_HoldDuty{HoldDuty: command}})
	if err != nil {
		h.common.Log.Info("duty: the log does not confirm", zap.String("subject", h.subject), zap.Bool("renewal", step == Renew), figbank.ErrorField(err))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.boot.SinceBoot()
	h.lease.Confirm(now, result.GetDuty())
	h.commands.Inc(1)
	h.recordHeld(now)
}

// recordHeld logs when this process has gained or lost the duty. The caller holds mu.
func (h *Holder) recordHeld(now time.Duration) {
	token, holds := h.lease.Token(now, 0)
	if !holds {
		token = 0
	}
	if token == h.token {
		return
	}
	if token != 0 {
		h.common.Log.Info("duty: gained", zap.String("subject", h.subject), zap.Uint64("token", token))
		h.held.Update(1)
	} else {
		h.common.Log.Info("duty: lost", zap.String("subject", h.subject), zap.Uint64("token", h.token), zap.String("holder", h.lease.Holder()))
		h.held.Update(0)
	}
	h.token = token
}
