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

// teller sends reports to one other gateway. One that is slow or gone holds up
// nobody else; what it could not be told is out of date anyhow.
type teller struct {
	pool    *transport.Pool
	address figbank.Address
	newest  chan *schema.LoadReport
}

func newTeller(pool *transport.Pool, address figbank.Address) *teller {
	return &teller{pool: pool, address: address, newest: make(chan *schema.LoadReport, 1)}
}

// offer drops a report that still waits in favour of the new one.
func (t *teller) offer(message *schema.LoadReport) {
	select {
	case <-t.newest:
	default:
	}
	select {
	case t.newest <- message:
	default:
	}
}

func (t *teller) run(ctx context.Context) {
	var stream *transport.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-t.newest:
			stream = t.send(ctx, stream, message)
		}
	}
}

// send returns the stream to use for the next report, nil after a failure.
func (t *teller) send(ctx context.Context, stream *transport.Stream, message *schema.LoadReport) *transport.Stream {
	if stream == nil {
		opening, cancel := context.WithTimeout(ctx, openTimeout)
		defer cancel()
		opened, err := t.pool.Open(opening, t.address, schema.StreamKind_STREAM_KIND_LOAD)
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
