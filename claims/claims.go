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

// settleTimeout bounds the recording of an outcome, also when the caller is gone.
const settleTimeout = 5 * time.Second

type (
	// Claims reserves keys and records outcomes. It is safe for concurrent use.
	Claims struct {
		common   figbank.Common
		proposer figbank.Proposer
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
	return &Claims{common: common.For("claims"), proposer: proposer}
}

// Reserve takes the key in the log before anything runs. It returns the
// recorded answer when the request has run before.
func (c *Claims) Reserve(ctx context.Context, claim Claim) (*schema.RecordedAnswer, error) {
	result, err := c.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_Claim{Claim: &schema.Claim{
		Key: claim.Key, Owner: string(claim.Owner), Fingerprint: claim.Fingerprint,
	}}})
	if err != nil {
		// Whether or not the claim is committed, this request will not be run.
		return nil, figbank.Fail("claims", "Reserve", figbank.NotRunError{Reason: figbank.ReasonLogUnavailable}, "cause", err)
	}
	if result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		return nil, RefusedError{Refusal: result.GetRefusal(), Detail: result.GetDetail()}
	}
	return result.GetRecorded(), nil
}

// SettleFailed frees the key of a request that certainly did not run.
func (c *Claims) SettleFailed(ctx context.Context, claim Claim, err error) {
	if errors.As(err, new(figbank.NotRunError)) {
		c.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil)
		return
	}
	c.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
}

// Settle records the outcome under the key. When that fails, the claim stays:
// a resent request gets "still running" and later "unknown", never a second run.
func (c *Claims) Settle(ctx context.Context, claim Claim, state schema.ClaimState, answer *schema.RecordedAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_, err := c.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_Settle{Settle: &schema.Settle{
		Key: claim.Key, Owner: string(claim.Owner), State: state, Answer: answer,
	}}})
	if err != nil {
		c.common.Log.Warn("outcome not recorded", zap.String("request", string(claim.Owner)), figbank.ErrorField(err))
	}
}
