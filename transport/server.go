package transport

import (
	"context"
	"net"
	"sync"

	"figbank"
	"figbank/listener"
	"figbank/schema"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
)

type (
	// Handler serves one stream. The stream is closed when the handler returns. The
	// context ends when the server closes or the session is lost.
	Handler func(ctx context.Context, from figbank.ProcessID, stream *Stream)

	// Handlers maps the kinds of streams that a process serves to their handlers.
	Handlers map[schema.StreamKind]Handler

	// Server accepts sessions from other processes.
	Server struct {
		common   figbank.Common
		handlers Handlers
		listener net.Listener
		meter    *Meter

		cancel context.CancelFunc
		group  sync.WaitGroup
	}
)

// NewServer serves the streams of accepted sessions, until Close.
func NewServer(common figbank.Common, accepting net.Listener, handlers Handlers, opts ...Option) *Server {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	common = common.Named("transport")
	server := &Server{common: common, handlers: handlers, listener: listener.NewLasting(common, accepting), meter: o.meter, cancel: cancel}
	server.group.Go(func() { server.accept(ctx) })
	return server
}

// Close stops accepting, ends all sessions and waits for the handlers.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.group.Wait()
}

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	session, err := newSession(s.common.Clock, conn, yamux.Server, defaultProbes)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = session.Close() })()
	defer func() { _ = session.Close() }()
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.group.Go(func() { s.serveStream(ctx, newStream(raw)) })
	}
}

func (s *Server) serveStream(ctx context.Context, stream *Stream) {
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	var open schema.StreamOpen
	if err := stream.ReceiveAtMost(&open, maxOpenMessage); err != nil {
		return
	}
	s.common.Recorder.Observe(open.GetStamp())
	stream.meter = s.meter.of(open.GetKind())
	handler, found := s.handlers[open.GetKind()]
	if !found {
		s.common.Log.Warn("refused a stream of unknown kind", zap.String("from", open.GetFrom()), zap.Stringer("kind", open.GetKind()))
		return
	}
	handler(ctx, figbank.ProcessID(open.GetFrom()), stream)
}
