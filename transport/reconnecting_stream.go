package transport

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// ReconnectingStream sends messages of one kind to one process. It opens its stream for the first
// message, and another after a failure. It is not safe for concurrent use.
type ReconnectingStream struct {
	pool        *Pool
	address     figbank.Address
	kind        schema.StreamKind
	openTimeout time.Duration
	stream      *Stream
	failing     bool
}

// NewReconnectingStream returns a Line that has not opened a stream yet. openTimeout bounds the
// opening of each stream.
func (p *Pool) NewReconnectingStream(address figbank.Address, kind schema.StreamKind, openTimeout time.Duration) *ReconnectingStream {
	return &ReconnectingStream{pool: p, address: address, kind: kind, openTimeout: openTimeout}
}

// Send sends one message. A message that fails is not sent again. Send logs the
// first of consecutive failures, and the first success after them.
func (l *ReconnectingStream) Send(ctx context.Context, message proto.Message) error {
	err := l.send(ctx, message)
	if err == nil && l.failing {
		l.pool.common.Log.Info("stream works again", zap.Stringer("kind", l.kind), zap.String("address", string(l.address)))
	}
	if err != nil && !l.failing && ctx.Err() == nil {
		l.pool.common.Log.Info("stream failed", zap.Stringer("kind", l.kind), zap.String("address", string(l.address)), figbank.ErrorField(err))
	}
	l.failing = err != nil
	return err
}

func (l *ReconnectingStream) send(ctx context.Context, message proto.Message) error {
	if l.stream == nil {
		openCtx, cancel := context.WithTimeout(ctx, l.openTimeout)
		defer cancel()
		stream, err := l.pool.Open(openCtx, l.address, l.kind)
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
func (l *ReconnectingStream) Close() {
	if l.stream != nil {
		l.stream.Close()
		l.stream = nil
	}
}
