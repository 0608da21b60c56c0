package replica

import (
	"context"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

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
	ctx := s.ctx
	var stream *transport.Stream
	for {
		select {
		case <-ctx.Done():
			if stream != nil {
				stream.Close()
			}
			return
		case message := <-s.queue:
			stream = s.send(ctx, stream, message)
		}
	}
}

// send returns the stream to use for the next message, nil after a failure.
func (s *sender) send(ctx context.Context, stream *transport.Stream, message *schema.RaftMessage) *transport.Stream {
	if stream == nil {
		opened, err := s.pool.Open(ctx, s.address, schema.StreamKind_STREAM_KIND_RAFT)
		if err != nil {
			return nil
		}
		stream = opened
	}
	if err := stream.Send(message); err != nil {
		stream.Close()
		return nil
	}
	return stream
}
