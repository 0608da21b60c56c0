// Package claims records in the replicated log which non-repeatable requests have run,
// so that no gateway runs one of them a second time.
package claims

import (
	"context"
	"errors"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
)

// settleTimeout is how long an answer to a caller waits for its outcome to be recorded.
const settleTimeout = 250 * time.Millisecond

type (
	// Claims reserves idempotency keys and records outcomes in the log. It is safe for
	// concurrent use.
	Claims struct {
		common   figbank.Common
		proposer figbank.Proposer
		backlog  *backlog
	}

	// Claim identifies a request under the idempotency key that its caller chose.
	Claim struct {
		Key   *schema.ClaimKey
		Owner figbank.RequestID
		// Fingerprint is the SHA-256 of the request.
		Fingerprint []byte
	}

	// RefusedError reports that the log refused a claim, so the request must not run. Refusal and
	// Detail describe the state of the key.
	RefusedError struct {
		Refusal schema.Refusal
		Detail  string
	}
)

// Error returns the detail.
func (e RefusedError) Error() string { return e.Detail }

// New returns a Claims that proposes its commands through proposer.
func New(common figbank.Common, proposer figbank.Proposer) *Claims {
	common = common.Named("claims")
	return &Claims{common: common, proposer: proposer, backlog: newBacklog(common, proposer)}
}

// Close waits until all outcomes are recorded or ctx ends, then stops recording.
func (c *Claims) Close(ctx context.Context) {
	c.backlog.close(ctx)
}

// Reserve claims the key in the log before the request runs. If the request has run before, Reserve
// returns its recorded answer. A nil answer without an error means that the request may run now. If
// the log refuses the claim, the error is a RefusedError, which is not wrapped. If the log does not
// confirm the claim, the error wraps a NotRunError.
func (c *Claims) Reserve(ctx context.Context, claim Claim) (*schema.RecordedAnswer, error) {
	result, err := c.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_Claim{Claim: &schema.Claim{
		Key: claim.Key, Owner: string(claim.Owner), Fingerprint: claim.Fingerprint,
	}}})
	if err != nil {
		c.withdraw(claim, err)
		return nil, figbank.WrapError("claims", "Reserve", figbank.NotRunError{Reason: figbank.ReasonLogUnavailable}, "cause", err)
	}
	if result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		return nil, RefusedError{Refusal: result.GetRefusal(), Detail: result.GetDetail()}
	}
	return result.GetRecorded(), nil
}

// withdraw frees the key of a claim whose proposal failed, since the claim may still be
// committed. The request is not run, so its caller may send it again. If the log
// certainly did not accept the claim, there is nothing to free.
func (c *Claims) withdraw(claim Claim, err error) {
	if errors.As(err, new(figbank.NotAcceptedError)) {
		return
	}
	c.backlog.add(outcomeOf(claim, schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil))
}

// SettleFailed records the outcome of a request that failed: it frees the key if the
// request certainly did not run, and otherwise records the outcome as unknown.
func (c *Claims) SettleFailed(ctx context.Context, claim Claim, err error) {
	if errors.As(err, new(figbank.NotRunError)) {
		c.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil)
		return
	}
	c.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
}

// Settle records the outcome under the key, even if ctx has ended because the caller
// is gone. answer is nil unless state is Done. Settle waits at most settleTimeout, so that
// a slow log does not delay the answer to the caller. An outcome that the log has not
// confirmed goes to the backlog.
func (c *Claims) Settle(ctx context.Context, claim Claim, state schema.ClaimState, answer *schema.RecordedAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	outcome := outcomeOf(claim, state, answer)
	if _, err := c.proposer.Propose(ctx, settleCommand(outcome)); err != nil {
		c.common.Log.Warn("could not record outcome, will retry", zap.String("request", outcome.GetOwner()), figbank.ErrorField(err))
		c.backlog.add(outcome)
	}
}

func outcomeOf(claim Claim, state schema.ClaimState, answer *schema.RecordedAnswer) *schema.Settle {
	return &schema.Settle{Key: claim.Key, Owner: string(claim.Owner), State: state, Answer: answer}
}

func settleCommand(outcome *schema.Settle) *schema.Command {
	return &schema.Command{Action: &schema.Command_Settle{Settle: outcome}}
}
