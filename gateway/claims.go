package gateway

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

// claim reserves the request's key in the log before anything runs. It returns
// the recorded answer when the request has run before.
func (g *Gateway) claim(ctx context.Context, req *request) (*schema.RecordedAnswer, error) {
	result, err := g.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_Claim{Claim: &schema.Claim{
		Key: req.claimKey(), Owner: string(req.id), Fingerprint: req.fingerprint(),
	}}})
	if err != nil {
		// Whether or not the claim is committed, this request will not be run.
		return nil, figbank.Fail("gateway", "Claim", figbank.NotRunError{Reason: figbank.ReasonLogUnavailable}, "cause", err)
	}
	if result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		return nil, claimError{refusal: result.GetRefusal(), detail: result.GetDetail()}
	}
	g.event("Claimed", req, req.key)
	return result.GetRecorded(), nil
}

// settleFailed frees the key of a request that certainly did not run.
func (g *Gateway) settleFailed(ctx context.Context, req *request, err error) {
	if errors.As(err, new(figbank.NotRunError)) {
		g.settle(ctx, req, schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil)
		return
	}
	g.settle(ctx, req, schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
}

// settle records the outcome under the key. When that fails, the claim stays:
// a resent request gets "still running" and later "unknown", never a second run.
func (g *Gateway) settle(ctx context.Context, req *request, state schema.ClaimState, answer *schema.RecordedAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_, err := g.proposer.Propose(ctx, &schema.Command{Action: &schema.Command_Settle{Settle: &schema.Settle{
		Key: req.claimKey(), Owner: string(req.id), State: state, Answer: answer,
	}}})
	if err != nil {
		g.common.Log.Warn("outcome not recorded", zap.String("request", string(req.id)), figbank.ErrorField(err))
	}
}

func (req *request) claimKey() *schema.ClaimKey {
	return &schema.ClaimKey{Workspace: string(req.workspace), Service: string(req.service), Key: req.key}
}

func (g *Gateway) event(name string, req *request, detail string) {
	g.common.Recorder.Record(&schema.Event{Part: "gateway", Name: name, RequestId: string(req.id), Detail: detail})
}

func (g *Gateway) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.common.Clock.After(d):
		return true
	}
}
