package transport

import (
	"io"
	"net"
	"sync"
	"time"

	"figbank"

	"github.com/hashicorp/yamux"
)

// readFailTimeout bounds how long a failed write waits for the goroutine that reads.
const readFailTimeout = time.Second

var (
	// defaultProbes are for sessions whose streams have timeouts of their own.
	defaultProbes = keepAlive{interval: 5 * time.Second, timeout: 10 * time.Second}
	// logProbes are for the sessions of the replicated log. Its messages flow in one direction, so
	// that only a probe shows that a connection is dead without an error. Until then the log's
	// messages are lost.
	logProbes = keepAlive{interval: 500 * time.Millisecond, timeout: 1500 * time.Millisecond}
)

type (
	// keepAlive says how often a session probes its peer, and how long an answer, or a write, may
	// take before the session is lost.
	keepAlive struct {
		interval, timeout time.Duration
	}

	// session is a yamux session. Its Close, and a failed write or keep-alive, end it by closing
	// the connection, so that only the goroutine that reads from the connection shuts the session
	// down. yamux wakes the readers of all streams first and then, if another goroutine shuts the
	// session down, waits for that goroutine. Until it has run, the readers spin. On a host with
	// one processor they can keep it from running.
	session struct {
		*yamux.Session
		conn *sessionConn
	}

	// sessionConn is the connection of a session.
	sessionConn struct {
		net.Conn
		clock     figbank.Clock
		closeOnce sync.Once
		closeErr  error
		// closed is closed by Close. readFailed is closed when a read has failed.
		closed     chan struct{}
		readOnce   sync.Once
		readFailed chan struct{}
	}

	// startFunc is yamux.Client or yamux.Server.
	startFunc func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)
)

// newSession starts a session on a connection.
func newSession(clock figbank.Clock, conn net.Conn, start startFunc, probes keepAlive) (*session, error) {
	wrapped := &sessionConn{Conn: conn, clock: clock, closed: make(chan struct{}), readFailed: make(chan struct{})}
	started, err := start(wrapped, sessionConfig(probes))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := &session{Session: started, conn: wrapped}
	go s.probe(clock, probes.interval)
	return s, nil
}

// Close ends the session. Its streams fail soon afterwards.
func (s *session) Close() error {
	return s.conn.Close()
}

// IsClosed reports whether the session has ended or is about to.
func (s *session) IsClosed() bool {
	select {
	case <-s.conn.closed:
		return true
	default:
		return s.Session.IsClosed()
	}
}

// probe ends the session when the peer does not answer a ping in time.
func (s *session) probe(clock figbank.Clock, interval time.Duration) {
	ticks, stop := clock.Tick(interval)
	defer stop()
	for {
		select {
		case <-s.CloseChan():
			return
		case <-ticks:
		}
		if _, err := s.Ping(); err != nil {
			_ = s.Close()
			return
		}
	}
}

// Read closes the connection after a failure.
func (c *sessionConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		_ = c.Close()
		c.readOnce.Do(func() { close(c.readFailed) })
	}
	return n, err
}

// Write returns a failure only once the goroutine that reads has noticed it too.
func (c *sessionConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	if err != nil {
		_ = c.Close()
		select {
		case <-c.readFailed:
		case <-c.clock.After(readFailTimeout):
		}
	}
	return n, err
}

// Close closes the connection. Only the first call has an effect.
func (c *sessionConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}
