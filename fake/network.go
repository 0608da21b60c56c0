package fake

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"figbank"
)

type (
	// Network is an in-memory network between processes. An address reads
	// DOMAIN/NAME; delays and cuts are between domains. It runs in virtual time
	// inside a testing/synctest bubble: nothing blocks on a real socket, and writes
	// never block, so that no lock is held while time has to pass.
	Network struct {
		clock figbank.Clock
		near  time.Duration
		far   time.Duration

		mu        sync.Mutex
		listeners map[figbank.Address]*memoryListener
		cut       map[[2]string]bool
		healed    chan struct{}
		conns     map[*memoryConn]struct{}
		// sent counts the bytes that each process has sent.
		sent map[figbank.Address]int64
	}

	memoryListener struct {
		network *Network
		address figbank.Address
		accept  chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}

	// memoryConn is one end of a connection.
	memoryConn struct {
		network  *Network
		from, to figbank.Address
		in, out  *direction
		// closed wakes a Read of this end at once, whatever is still under way.
		closed chan struct{}
		once   sync.Once
	}

	// direction carries bytes one way, each piece due at its own time.
	direction struct {
		mu     sync.Mutex
		pieces []piece
		last   time.Time
		ended  bool
		news   chan struct{}
	}

	piece struct {
		bytes []byte
		due   time.Time
	}

	// RefusedError is a connection that nobody accepts.
	RefusedError struct {
		Address figbank.Address
	}

	memoryAddr figbank.Address
)

// Error names the address.
func (e RefusedError) Error() string { return "connection refused: " + string(e.Address) }

// Network names the kind of network.
func (memoryAddr) Network() string { return "memory" }

// String is the address.
func (a memoryAddr) String() string { return string(a) }

// NewNetwork returns a network whose one-way delay is near inside a domain and
// far between domains.
func NewNetwork(clock figbank.Clock, near, far time.Duration) *Network {
	return &Network{
		clock: clock, near: near, far: far,
		listeners: map[figbank.Address]*memoryListener{}, cut: map[[2]string]bool{},
		healed: make(chan struct{}), conns: map[*memoryConn]struct{}{}, sent: map[figbank.Address]int64{},
	}
}

// Listen accepts connections to an address.
func (n *Network) Listen(address figbank.Address) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{network: n, address: address, accept: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dialer connects from a process.
func (n *Network) Dialer(from figbank.Address) func(context.Context, figbank.Address) (net.Conn, error) {
	return func(ctx context.Context, to figbank.Address) (net.Conn, error) {
		if err := n.cross(ctx, from, to); err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		l, found := n.listeners[to]
		if !found {
			return nil, RefusedError{Address: to}
		}
		there, back := newDirection(), newDirection()
		client := &memoryConn{network: n, from: from, to: to, in: back, out: there, closed: make(chan struct{})}
		server := &memoryConn{network: n, from: to, to: from, in: there, out: back, closed: make(chan struct{})}
		n.conns[client], n.conns[server] = struct{}{}, struct{}{}
		select {
		case l.accept <- server:
			return client, nil
		default:
			return nil, RefusedError{Address: to}
		}
	}
}

// SetCut cuts or heals the links between two domains. Bytes under way wait, as
// with TCP.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
	close(n.healed)
	n.healed = make(chan struct{})
}

// Sent is the number of bytes that a process has sent.
func (n *Network) Sent(address figbank.Address) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[address]
}

func (n *Network) count(address figbank.Address, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[address] += int64(bytes)
}

// Kill ends all connections of a process and stops it from listening.
func (n *Network) Kill(address figbank.Address) {
	n.mu.Lock()
	var ended []*memoryConn
	for conn := range n.conns {
		if conn.from == address || conn.to == address {
			ended = append(ended, conn)
		}
	}
	delete(n.listeners, address)
	n.mu.Unlock()
	for _, conn := range ended {
		_ = conn.Close()
	}
}

// cross waits out the delay, and any cut, of a new connection.
func (n *Network) cross(ctx context.Context, from, to figbank.Address) error {
	for {
		n.mu.Lock()
		cut, healed := n.cut[[2]string{domainOf(from), domainOf(to)}], n.healed
		n.mu.Unlock()
		wait := n.clock.After(n.delay(from, to))
		if cut {
			wait = nil
		}
		select {
		case <-ctx.Done():
			return figbank.Fail("fake", "Dial", ctx.Err())
		case <-healed:
		case <-wait:
			return nil
		}
	}
}

func (n *Network) isCut(from, to figbank.Address) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{domainOf(from), domainOf(to)}], n.healed
}

func (n *Network) delay(from, to figbank.Address) time.Duration {
	if domainOf(from) == domainOf(to) {
		return n.near
	}
	return n.far
}

func domainOf(address figbank.Address) string {
	domain, _, _ := strings.Cut(string(address), "/")
	return domain
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr is the address.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

func newDirection() *direction {
	return &direction{news: make(chan struct{}, 1)}
}

// Read returns bytes once they are due.
func (c *memoryConn) Read(p []byte) (int, error) {
	for {
		cut, healed := c.network.isCut(c.from, c.to)
		n, wait, err := c.in.take(p, c.network.clock.Now(), cut)
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
		case <-c.in.news:
		case <-healed:
		case <-due:
		}
	}
}

// take returns due bytes, or how long to wait; zero means until news.
func (d *direction) take(p []byte, now time.Time, cut bool) (int, time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pieces) == 0 || cut {
		if d.ended && !cut {
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

// Write sends bytes; it never blocks.
func (c *memoryConn) Write(p []byte) (int, error) {
	c.network.count(c.from, len(p))
	due := c.network.clock.Now().Add(c.network.delay(c.from, c.to))
	d := c.out
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return 0, net.ErrClosed
	}
	d.last = later(d.last, due)
	d.pieces = append(d.pieces, piece{bytes: append([]byte(nil), p...), due: d.last})
	d.notify()
	return len(p), nil
}

// Close ends both directions.
func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	for _, d := range []*direction{c.in, c.out} {
		d.mu.Lock()
		d.ended = true
		d.notify()
		d.mu.Unlock()
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

func (d *direction) notify() {
	select {
	case d.news <- struct{}{}:
	default:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LocalAddr is this end's address.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddr(c.from) }

// RemoteAddr is the other end's address.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.to) }

// SetDeadline does nothing; figbank sets deadlines on streams.
func (c *memoryConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *memoryConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
