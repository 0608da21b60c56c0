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
// sent, since older ones are out of date.
type sender struct {
	pool    *transport.Pool
	address figbank.Address
	// newest holds the report to send next.
	newest chan *schema.LoadReport
}

func newSender(pool *transport.Pool, address figbank.Address) *sender {
	return &sender{pool: pool, address: address, newest: make(chan *schema.LoadReport, 1)}
}

// offer sets the report to send next. A report that has not been sent yet is dropped. offer
// does not block.
func (s *sender) offer(message *schema.LoadReport) {
	select {
	case <-s.newest:
	default:
	}
	select {
	case s.newest <- message:
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
		case message := <-s.newest:
			// Send logs the first of consecutive failures. The next report replaces a lost one.
			_ = stream.Send(ctx, message)
		}
	}
}
