// Package listener accepts connections for the life of a process.
package listener

import (
	"errors"
	"net"
	"sync"
	"time"

	"figbank"

	"go.uber.org/zap"
)

const (
	// firstPause is the pause after a connection could not be accepted. It doubles with each further failure in a
	// row, up to maxPause.
	firstPause = 5 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Lasting is a listener whose Accept fails only once it is closed. Linux reports errors of single connections and
// of the network there, and a process may have no descriptor left for a while. It is safe for concurrent use.
type Lasting struct {
	net.Listener
	log    *zap.Logger
	clock  figbank.Clock
	closed chan struct{}
	once   sync.Once
}

// NewLasting returns a listener that accepts what another one does.
func NewLasting(common figbank.Common, accepting net.Listener) *Lasting {
	return &Lasting{Listener: accepting, log: common.Log.Named("listener"), clock: common.Clock, closed: make(chan struct{})}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *Lasting) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if failures == 0 {
			l.log.Warn("accepting a connection failed, will retry", figbank.ErrorField(err))
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-l.clock.After(pauseAfter(failures)):
		}
	}
}

// Close makes Accept fail. Connections that were accepted stay open.
func (l *Lasting) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// pauseAfter returns the pause after a failure that follows a number of others.
func pauseAfter(failures int) time.Duration {
	pause := firstPause
	for range failures {
		pause = min(2*pause, maxPause)
	}
	return pause
}
