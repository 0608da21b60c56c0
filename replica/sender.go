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
	queue   chan queuedMessage
	clock   figbank.Clock
	delays  *delayMeter
	ctx     context.Context //nolint:containedctx // the sender's lifetime
	stop    context.CancelFunc
}

// queuedMessage is a message with the time at which it was queued.
type queuedMessage struct {
	message  *schema.RaftMessage
	queuedAt time.Time
}

// newSender returns a sender to the replica at address. It sends nothing until run.
func (r *Replica) newSender(ctx context.Context, address figbank.Address) *sender {
	ctx, stop := context.WithCancel(ctx)
	return &sender{
		pool: r.pool, address: address, queue: make(chan queuedMessage, inboxLength),
		clock: r.common.Clock, delays: &r.delays, ctx: ctx, stop: stop,
	}
}

func (s *sender) enqueue(message *schema.RaftMessage) {
	select {
	case s.queue <- queuedMessage{message: message, queuedAt: s.clock.Now()}:
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
		case queued := <-s.queue:
			raise(&s.delays.send, s.clock.Now().Sub(queued.queuedAt))
			// Send does its own logging, and Raft tolerates the loss of the message.
			_ = stream.Send(s.ctx, queued.message)
		}
	}
}
