package loadshare

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// openTimeout bounds the time to open a stream to another gateway.
const openTimeout = 500 * time.Millisecond

// sender sends reports to one other gateway. Each receiving gateway has its own sender, so
// that a slow or lost gateway does not delay the reports to others. Only the newest report is
// sent, since older ones are out of date, but for their crashes.
type sender struct {
	pool    *transport.Pool
	address figbank.Address
	outbox  outbox
	// wake tells run that the outbox holds a report.
	wake chan struct{}
}

func newSender(pool *transport.Pool, address figbank.Address) *sender {
	return &sender{pool: pool, address: address, wake: make(chan struct{}, 1)}
}

// offer sets the report to send next, made now. It does not block.
func (s *sender) offer(now time.Time, message *schema.LoadReport) {
	s.outbox.put(now, message)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends reports until ctx ends.
func (s *sender) run(ctx context.Context) {
	stream := s.pool.NewReconnectingStream(s.address, schema.StreamKind_STREAM_KIND_LOAD, openTimeout)
	defer stream.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		message, at := s.outbox.take()
		if message == nil {
			continue
		}
		// Send logs the first of consecutive failures. The next report is sent with what was lost.
		if err := stream.Send(ctx, message); err != nil {
			s.outbox.putBack(at, message)
		}
	}
}
