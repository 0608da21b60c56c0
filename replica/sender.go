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

// sender sends messages to one other replica. It drops a message that cannot be
// sent or queued, since Raft tolerates the loss of messages.
type sender struct {
	pool    *transport.Pool
	address figbank.Address
	queue   chan *schema.RaftMessage
	ctx     context.Context //nolint:containedctx // the sender's lifetime
	stop    context.CancelFunc
}

func newSender(ctx context.Context, pool *transport.Pool, address figbank.Address) *sender {
	ctx, stop := context.WithCancel(ctx)
	return &sender{pool: pool, address: address, queue: make(chan *schema.RaftMessage, inboxLength), ctx: ctx, stop: stop}
}

func (s *sender) enqueue(message *schema.RaftMessage) {
	select {
	case s.queue <- message:
	default:
	}
}

func (s *sender) run() {
	stream := s.pool.NewReconnectingStream(s.address, schema.StreamKind_STREAM_KIND_RAFT, openTimeout)
	defer stream.Close()
	for {
		select {
		case <-s.ctx.Done():
			return
		case message := <-s.queue:
			// Send does its own logging, and Raft tolerates the loss of the message.
			_ = stream.Send(s.ctx, message)
		}
	}
}
