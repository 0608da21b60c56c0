// Package httpserver serves HTTP/1.1 to callers under limits that may change while it runs.
// net/http fixes its limits when a server starts. Therefore each set of limits gets a server
// of its own, and connections that were accepted under other limits are closed after their
// next answer, or at once if they are idle.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"figbank"
	"figbank/listener"
)

// limitsInterval is the time between two looks at the limits in force.
const limitsInterval = 500 * time.Millisecond

type (
	// Limits bound what a caller may send and how long it may take. 0 means no limit.
	Limits struct {
		// HeadBytes bounds the request line and the headers. A longer head is answered with
		// status 431 once it exceeds the bound by a few KB, the read buffer of net/http.
		HeadBytes figbank.Bytes
		// HeadTime bounds the time until a head has arrived. A head that is incomplete by
		// then is answered with status 408.
		HeadTime time.Duration
		// IdleTime bounds the time between two requests on a connection.
		IdleTime time.Duration
	}

	// Server serves callers under the limits in force. It is safe for concurrent use.
	Server struct {
		common  figbank.Common
		handler http.Handler
		// limits returns the limits in force.
		limits func() Limits

		mu       sync.Mutex
		listener net.Listener
		stopped  bool
		// newest serves new connections. older serve connections that are still open from
		// the time of other limits.
		newest *limitedServer
		older  []*limitedServer
	}

	// limitedServer serves the connections that were accepted under one set of limits.
	limitedServer struct {
		limits Limits
		server *http.Server
		conns  *connQueue
	}
)

// New returns a server. It calls limits for each connection and each request.
func New(common figbank.Common, handler http.Handler, limits func() Limits) *Server {
	common.Log = common.Log.Named("httpserver")
	return &Server{common: common, handler: handler, limits: limits}
}

// Serve accepts connections until Shutdown closes the listener. It goes on after other failures,
// such as having no descriptor left.
func (s *Server) Serve(accepting net.Listener) {
	served := make(chan struct{})
	defer close(served)
	go s.watchLimits(served)
	lasting := listener.NewLasting(s.common, accepting)
	s.mu.Lock()
	s.listener = lasting
	s.mu.Unlock()
	for {
		accepted, err := lasting.Accept()
		if err != nil {
			return
		}
		s.hand(accepted)
	}
}

// watchLimits notices other limits, also while nobody connects, until done is closed.
func (s *Server) watchLimits(done <-chan struct{}) {
	ticks, stop := s.common.Clock.Tick(limitsInterval)
	defer stop()
	for {
		select {
		case <-done:
			return
		case <-ticks:
			s.currentServer()
		}
	}
}

// hand passes a connection to the server for the limits in force.
func (s *Server) hand(accepted net.Conn) {
	server := s.currentServer()
	if server == nil {
		_ = accepted.Close()
		return
	}
	if c := newConn(accepted, server.conns); !server.conns.offer(c) {
		_ = c.Close()
	}
}

// Shutdown stops accepting connections and waits until the running requests have ended, or
// until ctx ends. It closes connections on which nothing has come yet: net/http would still read a request
// there, and close the connection without an answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	servers := s.older
	if s.newest != nil {
		servers = append(servers, s.newest)
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	// All of them together, so that none goes on taking requests while another one ends.
	var group errgroup.Group
	for _, server := range servers {
		for _, c := range server.conns.openConns() {
			c.closeUnread()
		}
		group.Go(func() error { return server.server.Shutdown(ctx) })
	}
	return figbank.WrapError("httpserver", "Shutdown", group.Wait())
}

// currentServer returns the server for the limits in force, nil after Shutdown.
func (s *Server) currentServer() *limitedServer {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped:
		return nil
	case s.newest != nil && s.newest.limits == limits:
		return s.newest
	case s.newest != nil:
		// Connections that are idle end, as their next request might be one that only the new limits allow. The
		// others end with their next answer.
		s.newest.server.SetKeepAlivesEnabled(false)
		s.older = append(s.older, s.newest)
	}
	s.closeUnused()
	s.newest = s.start(limits)
	return s.newest
}

// closeUnused closes the older servers whose connections have all ended. The caller holds mu.
func (s *Server) closeUnused() {
	var used []*limitedServer
	for _, server := range s.older {
		if len(server.conns.openConns()) > 0 {
			used = append(used, server)
			continue
		}
		_ = server.server.Close()
	}
	s.older = used
}

func (s *Server) start(limits Limits) *limitedServer {
	started := &limitedServer{limits: limits, conns: newConnQueue()}
	started.server = &http.Server{
		Handler: s.closeAfterChange(limits), MaxHeaderBytes: int(limits.HeadBytes),
		ReadHeaderTimeout: limits.HeadTime, IdleTimeout: limits.IdleTime, ConnState: trackState,
	}
	go func() { _ = started.server.Serve(started.conns) }()
	return started
}

// closeAfterChange returns a handler that asks callers to close their connection once other
// limits than the given ones are in force.
func (s *Server) closeAfterChange(limits Limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.limits() != limits {
			w.Header().Set("Connection", "close")
		}
		s.handler.ServeHTTP(w, r)
	})
}
