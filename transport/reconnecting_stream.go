package transport

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// ReconnectingStream sends messages to one process on a stream of one kind, on which that process sends
// nothing. It opens the stream for the first message, and a new one for the first message after a failure
// or after the peer has ended it. It is not safe for concurrent use.
type ReconnectingStream struct {
	pool        *Pool
	address     figbank.Address
	kind        schema.StreamKind
	openTimeout time.Duration
	stream      *Stream
	failing     bool
}

// NewReconnectingStream returns a ReconnectingStream that has not opened a stream yet.
// openTimeout bounds the opening of each stream.
func (p *Pool) NewReconnectingStream(address figbank.Address, kind schema.StreamKind, openTimeout time.Duration) *ReconnectingStream {
	return &ReconnectingStream{pool: p, address: address, kind: kind, openTimeout: openTimeout}
}

// Send sends one message. It does not retry a message that fails, and gives it up when ctx ends. Send logs the first of
// consecutive failures, and the first success after them.
func (s *ReconnectingStream) Send(ctx context.Context, message proto.Message) error {
	err := s.send(ctx, message)
	if err == nil && s.failing {
		s.pool.common.Log.Info("stream works again", zap.Stringer("kind", s.kind), zap.String("address", string(s.address)))
	}
	if err != nil && !s.failing && ctx.Err() == nil {
		s.pool.common.Log.Info("stream failed", zap.Stringer("kind", s.kind), zap.String("address", string(s.address)), figbank.ErrorField(err))
	}
	s.failing = err != nil
	return err
}

func (s *ReconnectingStream) send(ctx context.Context, message proto.Message) error {
	if s.stream == nil {
		openCtx, cancel := context.WithTimeout(ctx, s.openTimeout)
		defer cancel()
		stream, err := s.pool.Open(openCtx, s.address, s.kind)
		if err != nil {
			return err
		}
		s.stream = stream
		go stream.closeWithPeer()
	}
	keep := s.stream.CloseWhenDone(ctx)
	err := s.stream.Send(message)
	keep()
	if err != nil {
		s.Close()
	}
	return err
}

// Close ends the stream, if there is one.
func (s *ReconnectingStream) Close() {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
}
