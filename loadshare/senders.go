package loadshare

import (
	"context"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// senders tells a changing set of gateways the same.
type senders struct {
	ctx       context.Context //nolint:containedctx // the life of the share, from which each sender's is derived
	pool      *transport.Pool
	byAddress map[figbank.Address]*follower
}

// follower is one gateway that is told, and how to stop telling it.
type follower struct {
	sender *sender
	stop   context.CancelFunc
}

func newSenders(ctx context.Context, pool *transport.Pool) *senders {
	return &senders{ctx: ctx, pool: pool, byAddress: map[figbank.Address]*follower{}}
}

// tell offers a report to each address, and forgets those no longer listed.
func (a *senders) tell(addresses []figbank.Address, message *schema.LoadReport) {
	listed := map[figbank.Address]bool{}
	for _, address := range addresses {
		listed[address] = true
		m, found := a.byAddress[address]
		if !found {
			ctx, stop := context.WithCancel(a.ctx)
			m = &follower{sender: newSender(a.pool, address), stop: stop}
			a.byAddress[address] = m
			go m.sender.run(ctx)
		}
		m.sender.offer(message)
	}
	for address, m := range a.byAddress {
		if !listed[address] {
			m.stop()
			delete(a.byAddress, address)
		}
	}
}
