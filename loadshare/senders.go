package loadshare

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// senders sends the same reports to a changing set of gateways. It is not safe for
// concurrent use.
type senders struct {
	ctx       context.Context //nolint:containedctx // parent of the context of each sender's goroutine
	pool      *transport.Pool
	byAddress map[figbank.Address]*runningSender
}

// runningSender is a sender whose goroutine runs until stop is called.
type runningSender struct {
	sender *sender
	stop   context.CancelFunc
}

func newSenders(ctx context.Context, pool *transport.Pool) *senders {
	return &senders{ctx: ctx, pool: pool, byAddress: map[figbank.Address]*runningSender{}}
}

// send offers a report, made now, to each address, and stops the senders of addresses that are not
// listed. It does not block.
func (s *senders) send(now time.Time, addresses []figbank.Address, message *schema.LoadReport) {
	listed := map[figbank.Address]bool{}
	for _, address := range addresses {
		listed[address] = true
		running, found := s.byAddress[address]
		if !found {
			ctx, stop := context.WithCancel(s.ctx)
			running = &runningSender{sender: newSender(s.pool, address), stop: stop}
			s.byAddress[address] = running
			go running.sender.run(ctx)
		}
		running.sender.offer(now, message)
	}
	for address, running := range s.byAddress {
		if !listed[address] {
			running.stop()
			delete(s.byAddress, address)
		}
	}
}
