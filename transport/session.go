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

type (
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
func newSession(clock figbank.Clock, conn net.Conn, start startFunc) (*session, error) {
	wrapped := &sessionConn{Conn: conn, clock: clock, closed: make(chan struct{}), readFailed: make(chan struct{})}
	started, err := start(wrapped, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := &session{Session: started, conn: wrapped}
	go s.keepAlive(clock)
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

// keepAlive ends the session when the peer does not answer a ping.
func (s *session) keepAlive(clock figbank.Clock) {
	ticks, stop := clock.Tick(keepAliveInterval)
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
