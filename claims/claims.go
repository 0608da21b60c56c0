// Package claims keeps, in the replicated log, which requests that may not be
// repeated have run, so that no gateway ever runs one again.
package claims

import (
	"context"
	"errors"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
)

// settleTimeout is how long an answer waits for its outcome to be recorded.
const settleTimeout = 250 * time.Millisecond

type (
	// Claims reserves keys and records outcomes. It is safe for concurrent use.
	Claims struct {
		common   figbank.Common
		proposer figbank.Proposer
		backlog  *backlog
	}

	// Claim is one request under its caller's key.
	Claim struct {
		Key   *schema.ClaimKey
		Owner figbank.RequestID
		// Fingerprint is the SHA-256 of the request.
		Fingerprint []byte
	}

	// RefusedError says what is known of an earlier request under the same key.
	RefusedError struct {
		Refusal schema.Refusal
		Detail  string
	}
)

// Error says what is known.
func (e RefusedError) Error() string { return e.Detail }

// New returns claims in the log that proposer reaches.
func New(common figbank.Common, proposer figbank.Proposer) *Claims {
	common = common.For("claims")
	return &Claims{common: common, proposer: proposer, backlog: newBacklog(common, proposer)}
}

// Close returns once all outcomes are recorded, or when ctx ends.
func (c *Claims) Close(ctx context.Context) {
	c.backlog.close(ctx)
}

// Reserve takes the key in the log before anything runs. It returns the
// recorded answer when the request has run before.
func (c *Claims) Reserve(ctx context.Context, claim Claim) (*schema.RecordedAnswer, error) {
	result, err := c.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_Claim{Claim: &schema.Claim{
		Key: claim.Key, Owner: string(claim.Owner), Fingerprint: claim.Fingerprint,
	}}})
	if err != nil {
		c.withdraw(claim, err)
		return nil, figbank.Fail("claims", "Reserve", figbank.NotRunError{Reason: figbank.ReasonLogUnavailable}, "cause", err)
	}
	if result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		return nil, RefusedError{Refusal: result.GetRefusal(), Detail: result.GetDetail()}
	}
	return result.GetRecorded(), nil
}

// withdraw frees the key of a claim that may have been committed or may yet be:
// its request will not be run, and its caller is told to send it again.
func (c *Claims) withdraw(claim Claim, err error) {
	if errors.As(err, new(figbank.NotAcceptedError)) {
		return
	}
	c.backlog.add(outcomeOf(claim, schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil))
}

// SettleFailed frees the key of a request that certainly did not run.
func (c *Claims) SettleFailed(ctx context.Context, claim Claim, err error) {
	if errors.As(err, new(figbank.NotRunError)) {
		c.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil)
		return
	}
	c.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
}

// Settle records the outcome under the key, also when the caller is gone. A log
// that does not answer soon keeps no answer back: the outcome is recorded later.
func (c *Claims) Settle(ctx context.Context, claim Claim, state schema.ClaimState, answer *schema.RecordedAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	outcome := outcomeOf(claim, state, answer)
	if _, err := c.proposer.Propose(ctx, settling(outcome)); err != nil {
		c.common.Log.Warn("outcome not recorded yet", zap.String("request", outcome.GetOwner()), figbank.ErrorField(err))
		c.backlog.add(outcome)
	}
}

func outcomeOf(claim Claim, state schema.ClaimState, answer *schema.RecordedAnswer) *schema.Settle {
	return &schema.Settle{Key: claim.Key, Owner: string(claim.Owner), State: state, Answer: answer}
}

func settling(outcome *schema.Settle) *schema.Command {
	return &schema.Command{Action: &schema.Command_Settle{Settle: outcome}}
}
