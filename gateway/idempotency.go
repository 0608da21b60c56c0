package gateway

import (
	"context"

	"figbank/claims"
	"figbank/relay"
	"figbank/schema"
)

// runOnce runs a request. A request that must not be repeated and has an idempotency key is
// claimed first, so that no gateway runs it a second time. If the request has run before,
// runOnce sends the recorded answer instead. It returns alreadyRanError if that answer was
// too large to be recorded.
func (g *Gateway) runOnce(ctx context.Context, req *request, response *responseWriter) error {
	if req.Repeatable || req.key == "" {
		if err := g.relay.Serve(ctx, &req.Request, response); err != nil {
			return err
		}
		return response.finish()
	}
	claim := req.newClaim()
	recorded, err := g.claims.Reserve(ctx, claim)
	if err != nil {
		return err
	}
	if len(recorded.GetDigest()) > 0 {
		return alreadyRanError{status: recorded.GetStatus(), digest: recorded.GetDigest()}
	}
	if recorded != nil {
		return response.replay(recorded)
	}
	g.recordEvent("Claimed", req, req.key)
	response.startRecording()
	if err := g.relay.Serve(ctx, &req.Request, response); err != nil {
		g.claims.SettleFailed(ctx, claim, err)
		return err
	}
	g.claims.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_DONE, response.recordedAnswer())
	return response.finish()
}

func (req *request) newClaim() claims.Claim {
	key := &schema.ClaimKey{Workspace: string(req.Workspace), Service: string(req.Service), Key: req.key}
	return claims.Claim{Key: key, Owner: req.ID, Fingerprint: req.fingerprint()}
}

func (g *Gateway) recordEvent(name string, req *request, detail string) {
	g.common.Recorder.Record(&schema.Event{Part: "gateway", Name: name, RequestId: string(req.ID), Detail: detail})
}

var _ relay.ResponseWriter = (*responseWriter)(nil)
