package loadshare

import (
	"context"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// audience is a changing set of gateways that are told the same.
type audience struct {
	ctx     context.Context //nolint:containedctx // the life of the share, from which each teller's is derived
	pool    *transport.Pool
	tellers map[figbank.Address]*follower
}

// follower is one gateway that is told, and how to stop telling it.
type follower struct {
	teller *teller
	stop   context.CancelFunc
}

func newAudience(ctx context.Context, pool *transport.Pool) *audience {
	return &audience{ctx: ctx, pool: pool, tellers: map[figbank.Address]*follower{}}
}

// tell offers a report to each address, and forgets those no longer listed.
func (a *audience) tell(addresses []figbank.Address, message *schema.LoadReport) {
	listed := map[figbank.Address]bool{}
	for _, address := range addresses {
		listed[address] = true
		m, found := a.tellers[address]
		if !found {
			ctx, stop := context.WithCancel(a.ctx)
			m = &follower{teller: newTeller(a.pool, address), stop: stop}
			a.tellers[address] = m
			go m.teller.run(ctx)
		}
		m.teller.offer(message)
	}
	for address, m := range a.tellers {
		if !listed[address] {
			m.stop()
			delete(a.tellers, address)
		}
	}
}
