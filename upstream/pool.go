// Package upstream is an HTTP/1.1 client for upstreams that reuses connections.
// Unlike a general client it never sends a request twice by itself. Its errors show
// whether a failed request may have reached the upstream.
package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"figbank"
	"figbank/memory"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 300 * time.Millisecond
	// userTimeout ends a connection whose sent bytes are not acknowledged for this long. It
	// is also the idle time before the first keep-alive probe and the time until the next.
	userTimeout = 1500 * time.Millisecond
	// receiveBufferBytes is about how many bytes an upstream may send before they are read. The kernel
	// reserves twice as much.
	receiveBufferBytes = 32 << 10
	// The pool stops using an idle connection idleMargin before the upstream closes it.
	idleMargin = 1200 * time.Millisecond
	// defaultIdle is how long an upstream is assumed to keep an idle connection open when its
	// responses do not state the time.
	defaultIdle = 15 * time.Second
)

type (
	// Dialer connects to an upstream.
	Dialer func(ctx context.Context, address figbank.Address) (net.Conn, error)

	// Option configures a Pool in NewPool.
	Option func(*Pool)

	// Pool keeps idle connections to upstreams. It is safe for concurrent use.
	Pool struct {
		clock figbank.Clock
		dial  Dialer
		// onDial is called for each new connection.
		onDial func()
		memory *memory.Budget

		mu   sync.Mutex
		idle map[figbank.Address][]*conn
	}
)

// WithDialer replaces the TCP dialer. It is meant for tests.
func WithDialer(dial Dialer) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithDialHook calls handle for each new connection.
func WithDialHook(handle func()) Option {
	return func(p *Pool) { p.onDial = handle }
}

// WithMemory makes the heads of responses take their memory from budget.
func WithMemory(budget *memory.Budget) Option {
	return func(p *Pool) { p.memory = budget }
}

// NewPool returns an empty pool.
func NewPool(clock figbank.Clock, options ...Option) *Pool {
	p := &Pool{clock: clock, dial: dialTCP, onDial: func() {}, idle: map[figbank.Address][]*conn{}}
	for _, option := range options {
		option(p)
	}
	return p
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address figbank.Address) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[figbank.Address][]*conn{}
	p.mu.Unlock()
	for _, conns := range all {
		for _, c := range conns {
			c.close()
		}
	}
}

// get returns an idle connection that can be reused, or a new connection.
func (p *Pool) get(ctx context.Context, address figbank.Address) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.reusable(p.clock.Now()) {
			return c, nil
		}
		c.close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := p.dial(ctx, address)
	if err != nil {
		return nil, figbank.WrapError("upstream", "Dial", figbank.NotRunError{Reason: figbank.ReasonUnreachable}, "address", address, "cause", err)
	}
	p.onDial()
	return newConn(p, address, netConn), nil
}

func (p *Pool) takeIdle(address figbank.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func dialTCP(ctx context.Context, address figbank.Address) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: userTimeout, Interval: userTimeout, Count: 1},
		Control:         setReceiveBuffer,
	}
	netConn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	setUserTimeout(netConn)
	return netConn, nil
}

// setReceiveBuffer bounds the bytes that arrive on a connection before they are read. The kernel would
// let them grow to several megabytes for each connection.
func setReceiveBuffer(_, _ string, control syscall.RawConn) error {
	return control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

// setUserTimeout sets how long sent bytes may stay unacknowledged before the kernel
// ends the connection.
func setUserTimeout(netConn net.Conn) {
	tcp, isTCP := netConn.(*net.TCPConn)
	if !isTCP {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
