package replica

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// openTimeout bounds the opening of a stream to another replica.
const openTimeout = 2 * time.Second

// sender carries messages to one other replica. Messages that cannot be sent
// are dropped; raft repeats what matters.
type sender struct {
	pool    *transport.Pool
	address figbank.Address
	queue   chan *schema.RaftMessage
	ctx     context.Context //nolint:containedctx // the life of the sender
	stop    context.CancelFunc
}

func newSender(ctx context.Context, pool *transport.Pool, address figbank.Address) *sender {
	ctx, stop := context.WithCancel(ctx)
	return &sender{pool: pool, address: address, queue: make(chan *schema.RaftMessage, inboxLength), ctx: ctx, stop: stop}
}

func (s *sender) offer(message *schema.RaftMessage) {
	select {
	case s.queue <- message:
	default:
	}
}

func (s *sender) run() {
	line := s.pool.NewLine(s.address, schema.StreamKind_STREAM_KIND_RAFT, openTimeout)
	defer line.Close()
	for {
		select {
		case <-s.ctx.Done():
			return
		case message := <-s.queue:
			// The line logs what is lost, and raft repeats what matters.
			_ = line.Send(s.ctx, message)
		}
	}
}
