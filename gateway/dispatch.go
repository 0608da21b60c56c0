package gateway

import (
	"context"
	"errors"

	"figbank"
	"figbank/retry"
	"figbank/routing"
	"figbank/schema"
)

// runOnce runs a request. One that may not be repeated and has a key is claimed
// first, so that no gateway ever runs it again.
func (g *Gateway) runOnce(ctx context.Context, req *request, reply *reply) error {
	if req.repeatable || req.key == "" {
		if err := g.dispatch(ctx, req, reply); err != nil {
			return err
		}
		return reply.finish()
	}
	recorded, err := g.claim(ctx, req)
	if err != nil {
		return err
	}
	if len(recorded.GetDigest()) > 0 {
		return alreadyRanError{status: recorded.GetStatus(), digest: recorded.GetDigest()}
	}
	if recorded != nil {
		return reply.replay(recorded)
	}
	reply.recordAnswer()
	if err := g.dispatch(ctx, req, reply); err != nil {
		g.settleFailed(ctx, req, err)
		return err
	}
	g.settle(ctx, req, schema.ClaimState_CLAIM_STATE_DONE, reply.recorded())
	return reply.finish()
}

// dispatch tries upstreams until one has answered or retry gives up.
func (g *Gateway) dispatch(ctx context.Context, req *request, reply *reply) error {
	route := &routing.Request{Service: req.service, Cost: req.cost, Affinity: req.affinity}
	random := newRandom()
	g.budget.Deposit()
	deadline := g.common.Clock.Now().Add(g.settings.Deadline)
	var last error
	for attempt := 1; ; attempt++ {
		candidate, err := g.waiting.acquire(ctx, req.workspace, route)
		if err != nil {
			return firstFailure(last, err)
		}
		g.event("Routed", req, string(candidate.ID))
		try := &attemptAt{gateway: g, req: req, candidate: candidate, reply: reply, deadline: deadline}
		last = try.run(ctx)
		if last == nil {
			return nil
		}
		action := retry.Decide(retry.Failed{Err: last, Repeatable: req.repeatable, Passed: reply.started()}, g.budget)
		if action == retry.GiveUp || !g.common.Clock.Now().Before(deadline) {
			return last
		}
		if action == retry.Again {
			g.event("Retry", req, last.Error())
			route.Tried = append(route.Tried, candidate.ID)
			if !g.pause(ctx, retry.Delay(attempt, random)) {
				return last
			}
		}
	}
}

// firstFailure reports the failed try rather than that no other upstream was
// left, unless the try proved that nothing ran anyway.
func firstFailure(tried, none error) error {
	if tried == nil || errors.As(tried, new(figbank.NotRunError)) {
		return none
	}
	return tried
}
