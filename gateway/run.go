package gateway

import (
	"context"

	"figbank/claims"
	"figbank/relay"
	"figbank/schema"
)

// runOnce runs a request. One that may not be repeated and has a key is claimed
// first, so that no gateway ever runs it again.
func (g *Gateway) runOnce(ctx context.Context, req *request, reply *reply) error {
	if req.Repeatable || req.key == "" {
		if err := g.relay.Serve(ctx, &req.Request, reply); err != nil {
			return err
		}
		return reply.finish()
	}
	claim := req.claim()
	recorded, err := g.claims.Reserve(ctx, claim)
	if err != nil {
		return err
	}
	if len(recorded.GetDigest()) > 0 {
		return alreadyRanError{status: recorded.GetStatus(), digest: recorded.GetDigest()}
	}
	if recorded != nil {
		return reply.replay(recorded)
	}
	g.event("Claimed", req, req.key)
	reply.recordAnswer()
	if err := g.relay.Serve(ctx, &req.Request, reply); err != nil {
		g.claims.SettleFailed(ctx, claim, err)
		return err
	}
	g.claims.Settle(ctx, claim, schema.ClaimState_CLAIM_STATE_DONE, reply.recorded())
	return reply.finish()
}

func (req *request) claim() claims.Claim {
	key := &schema.ClaimKey{Workspace: string(req.Workspace), Service: string(req.Service), Key: req.key}
	return claims.Claim{Key: key, Owner: req.ID, Fingerprint: req.fingerprint()}
}

func (g *Gateway) event(name string, req *request, detail string) {
	g.common.Recorder.Record(&schema.Event{Part: "gateway", Name: name, RequestId: string(req.ID), Detail: detail})
}

var _ relay.Reply = (*reply)(nil)
