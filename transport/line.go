package transport

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// Line sends messages of one kind to one process over a stream that is opened
// when first needed, and anew after a failure. It is not safe for concurrent use.
type Line struct {
	pool    *Pool
	address figbank.Address
	kind    schema.StreamKind
	opening time.Duration
	stream  *Stream
	lost    bool
}

// NewLine returns a line without a stream yet. Opening one takes at most opening.
func (p *Pool) NewLine(address figbank.Address, kind schema.StreamKind, opening time.Duration) *Line {
	return &Line{pool: p, address: address, kind: kind, opening: opening}
}

// Send sends one message. A message that fails is not sent again. The first of
// failures in a row is logged, and the first success after them.
func (l *Line) Send(ctx context.Context, message proto.Message) error {
	err := l.send(ctx, message)
	if err == nil && l.lost {
		l.pool.common.Log.Info("line is back", zap.Stringer("kind", l.kind), zap.String("address", string(l.address)))
	}
	if err != nil && !l.lost && ctx.Err() == nil {
		l.pool.common.Log.Info("line lost", zap.Stringer("kind", l.kind), zap.String("address", string(l.address)), figbank.ErrorField(err))
	}
	l.lost = err != nil
	return err
}

func (l *Line) send(ctx context.Context, message proto.Message) error {
	if l.stream == nil {
		opening, cancel := context.WithTimeout(ctx, l.opening)
		defer cancel()
		stream, err := l.pool.Open(opening, l.address, l.kind)
		if err != nil {
			return err
		}
		l.stream = stream
	}
	err := l.stream.Send(message)
	if err != nil {
		l.Close()
	}
	return err
}

// Close ends the stream, if there is one.
func (l *Line) Close() {
	if l.stream != nil {
		l.stream.Close()
		l.stream = nil
	}
}
