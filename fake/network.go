package fake

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"figbank"
)

type (
	// Network is an in-memory network between processes. An address has the form DOMAIN/NAME.
	// Delays depend on whether two processes are in the same domain, and partitions apply between
	// domains. A Network is safe for concurrent use. It can run in virtual time inside a
	// testing/synctest bubble, because nothing blocks on a real socket. Writes never block:
	// virtual time stops while a goroutine waits for a mutex, so a writer that holds one must not
	// wait for time to pass.
	Network struct {
		clock figbank.Clock
		// sameDomainDelay is the one-way delay inside a domain.
		sameDomainDelay time.Duration
		// otherDomainDelay is the one-way delay between domains.
		otherDomainDelay time.Duration

		mu          sync.Mutex
		listeners   map[figbank.Address]*memoryListener
		partitioned map[[2]string]bool
		// partitionChanged is closed and replaced whenever SetPartitioned is called.
		partitionChanged chan struct{}
		conns            map[*memoryConn]struct{}
		// sent counts the bytes that each process has sent.
		sent map[figbank.Address]int64
		// rates and links limit the throughput. links is nil while there is no limit.
		rates Rates
		links map[linkKey]*Link
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

	// RefusedError is the error of a connection to an address that has no listener, or whose
	// listener has too many connections waiting to be accepted.
	RefusedError struct {
		Address figbank.Address
	}

	memoryAddr figbank.Address
)

// Error implements error.
func (e RefusedError) Error() string { return "connection refused: " + string(e.Address) }

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// NewNetwork returns a network with the given one-way delays: sameDomainDelay between processes of
// one domain, and otherDomainDelay between processes of different domains.
func NewNetwork(clock figbank.Clock, sameDomainDelay, otherDomainDelay time.Duration) *Network {
	return &Network{
		clock: clock, sameDomainDelay: sameDomainDelay, otherDomainDelay: otherDomainDelay,
		listeners: map[figbank.Address]*memoryListener{}, partitioned: map[[2]string]bool{},
		partitionChanged: make(chan struct{}), conns: map[*memoryConn]struct{}{}, sent: map[figbank.Address]int64{},
	}
}

// Listen returns a listener for connections to an address. New connections no longer reach an
// earlier listener of the same address.
func (n *Network) Listen(address figbank.Address) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{network: n, address: address, accept: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dialer returns a function that opens connections from a process. While the domains of the
// two processes are partitioned, the function blocks until they are reconnected or its context
// ends.
func (n *Network) Dialer(from figbank.Address) func(context.Context, figbank.Address) (net.Conn, error) {
	return func(ctx context.Context, to figbank.Address) (net.Conn, error) {
		if err := n.awaitLink(ctx, from, to); err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		l, found := n.listeners[to]
		if !found {
			return nil, RefusedError{Address: to}
		}
		outbound, inbound := newDirection(), newDirection()
		client := &memoryConn{network: n, from: from, to: to, in: inbound, out: outbound, closed: make(chan struct{})}
		server := &memoryConn{network: n, from: to, to: from, in: outbound, out: inbound, closed: make(chan struct{})}
		n.conns[client], n.conns[server] = struct{}{}, struct{}{}
		select {
		case l.accept <- server:
			return client, nil
		default:
			return nil, RefusedError{Address: to}
		}
	}
}

// SetPartitioned partitions two domains, or reconnects them. Bytes on the way are not lost:
// they arrive after the domains are reconnected, as with TCP.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = partitioned, partitioned
	close(n.partitionChanged)
	n.partitionChanged = make(chan struct{})
}

// Sent returns the number of bytes that a process has sent.
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

// Kill closes all connections of a process and removes its listener.
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

// awaitLink waits until the two domains are not partitioned, and then for the one-way delay of
// a new connection.
func (n *Network) awaitLink(ctx context.Context, from, to figbank.Address) error {
	for {
		n.mu.Lock()
		partitioned, changed := n.partitioned[[2]string{domainOf(from), domainOf(to)}], n.partitionChanged
		n.mu.Unlock()
		wait := n.clock.After(n.delay(from, to))
		if partitioned {
			wait = nil
		}
		select {
		case <-ctx.Done():
			return figbank.WrapError("fake", "Dial", ctx.Err())
		case <-changed:
		case <-wait:
			return nil
		}
	}
}

// isPartitioned reports whether the domains of two addresses are partitioned, and returns a
// channel that is closed at the next call of SetPartitioned.
func (n *Network) isPartitioned(from, to figbank.Address) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[[2]string{domainOf(from), domainOf(to)}], n.partitionChanged
}

func (n *Network) delay(from, to figbank.Address) time.Duration {
	if domainOf(from) == domainOf(to) {
		return n.sameDomainDelay
	}
	return n.otherDomainDelay
}

// domainOf returns the part of an address before the slash.
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

// Close stops the listener.
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

// Addr returns the address of the listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

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
