package fake

import (
	"context"
	"net"
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
