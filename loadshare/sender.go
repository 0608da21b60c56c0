package loadshare

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// openTimeout bounds the opening of a stream to another gateway.
const openTimeout = 500 * time.Millisecond

// sender sends reports to one other gateway. One that is slow or gone holds up
// nobody else; what it could not be told is out of date anyhow.
type sender struct {
	pool    *transport.Pool
	address figbank.Address
	newest  chan *schema.LoadReport
}

func newSender(pool *transport.Pool, address figbank.Address) *sender {
	return &sender{pool: pool, address: address, newest: make(chan *schema.LoadReport, 1)}
}

// offer drops a report that still waits in favour of the new one.
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

func (s *sender) run(ctx context.Context) {
	line := s.pool.NewLine(s.address, schema.StreamKind_STREAM_KIND_LOAD, openTimeout)
	defer line.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-s.newest:
			// The line logs what is lost, and the next report makes up for it.
			_ = line.Send(ctx, message)
		}
	}
}
