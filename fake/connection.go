package fake

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"figbank"
)

type (
	// memoryConn is one end of a connection.
	memoryConn struct {
		network  *Network
		from, to figbank.Address
		in, out  *direction
		// closed makes a Read of this end return at once, even if bytes are still on the way.
		closed chan struct{}
		once   sync.Once
	}

	// direction carries bytes one way. Each piece has a time at which it arrives.
	direction struct {
		mu     sync.Mutex
		pieces []piece
		// last is the arrival time of the last piece. No later piece arrives before it.
		last   time.Time
		closed bool
		wake   chan struct{}
	}

	piece struct {
		bytes []byte
		due   time.Time
	}
)

func newDirection() *direction {
	return &direction{wake: make(chan struct{}, 1)}
}

// Read returns bytes that have arrived, and blocks until there are some.
func (c *memoryConn) Read(p []byte) (int, error) {
	for {
		partitioned, changed := c.network.isPartitioned(c.from, c.to)
		n, wait, err := c.in.read(p, c.network.clock.Now(), partitioned)
		if n > 0 || err != nil {
			return n, err
		}
		var due <-chan time.Time
		if wait > 0 {
			due = c.network.clock.After(wait)
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.in.wake:
		case <-changed:
		case <-due:
		}
	}
}

// read returns bytes that have arrived. If there are none, it returns how long to wait for the
// next piece. It returns 0 if no piece is on the way or the domains are partitioned; the caller
// then waits for wake or for a change of the partitions.
func (d *direction) read(p []byte, now time.Time, partitioned bool) (int, time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pieces) == 0 || partitioned {
		if d.closed && !partitioned {
			return 0, 0, io.EOF
		}
		return 0, 0, nil
	}
	first := &d.pieces[0]
	if wait := first.due.Sub(now); wait > 0 {
		return 0, wait, nil
	}
	n := copy(p, first.bytes)
	first.bytes = first.bytes[n:]
	if len(first.bytes) == 0 {
		d.pieces = d.pieces[1:]
	}
	return n, 0, nil
}

// Write sends bytes. It never blocks.
func (c *memoryConn) Write(p []byte) (int, error) {
	c.network.count(c.from, len(p))
	sent := 0
	for part := range slices.Chunk(p, shapedPiece) {
		if err := c.writePiece(part); err != nil {
			return sent, err
		}
		sent += len(part)
	}
	return sent, nil
}

func (c *memoryConn) writePiece(p []byte) error {
	due := c.network.arrival(c.from, c.to, len(p)).Add(c.network.delay(c.from, c.to))
	d := c.out
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return net.ErrClosed
	}
	d.last = later(d.last, due)
	d.pieces = append(d.pieces, piece{bytes: append([]byte(nil), p...), due: d.last})
	d.notify()
	return nil
}

// Close closes both directions of the connection. The other end can still read the bytes on
// the way to it.
func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	for _, d := range []*direction{c.in, c.out} {
		d.mu.Lock()
		d.closed = true
		d.notify()
		d.mu.Unlock()
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

// notify wakes the reader of the direction.
func (d *direction) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LocalAddr returns the address of this end.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddr(c.from) }

// RemoteAddr returns the address of the other end.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.to) }

// SetDeadline does nothing, because figbank sets deadlines on streams and not on connections.
func (c *memoryConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *memoryConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
