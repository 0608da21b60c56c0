// Package upstream speaks HTTP/1.1 to upstreams over kept connections. Unlike a
// general client it never sends a request twice by itself, and it tells whether
// a failed request can have reached the upstream.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"figbank"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 300 * time.Millisecond
	// userTimeout ends a connection whose sent bytes nobody acknowledges.
	userTimeout = 1500 * time.Millisecond
	// idleMargin is how much earlier than the upstream a kept connection is given up.
	idleMargin = 1200 * time.Millisecond
	// defaultIdle is how long a connection is kept when the upstream does not say.
	defaultIdle = 15 * time.Second
)

type (
	// Dialer connects to an upstream.
	Dialer func(ctx context.Context, address figbank.Address) (net.Conn, error)

	// Option changes a Pool under construction.
	Option func(*Pool)

	// Pool keeps idle connections to upstreams. It is safe for concurrent use.
	Pool struct {
		clock figbank.Clock
		dial  Dialer
		// dialed is called for each new connection.
		dialed func()

		mu   sync.Mutex
		idle map[figbank.Address][]*conn
	}
)

// WithDialer replaces TCP, for tests.
func WithDialer(dial Dialer) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithDialed calls act for each new connection.
func WithDialed(act func()) Option {
	return func(p *Pool) { p.dialed = act }
}

// NewPool returns an empty pool.
func NewPool(clock figbank.Clock, options ...Option) *Pool {
	p := &Pool{clock: clock, dial: dialTCP, dialed: func() {}, idle: map[figbank.Address][]*conn{}}
	for _, option := range options {
		option(p)
	}
	return p
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address figbank.Address) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		c.close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[figbank.Address][]*conn{}
	p.mu.Unlock()
	for _, kept := range all {
		for _, c := range kept {
			c.close()
		}
	}
}

// get returns a kept connection that still looks sound, or a new one.
func (p *Pool) get(ctx context.Context, address figbank.Address) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.sound(p.clock.Now()) {
			return c, nil
		}
		c.close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, figbank.Fail("upstream", "Dial", figbank.NotRunError{Reason: figbank.ReasonUnreachable}, "address", address, "cause", err)
	}
	p.dialed()
	return newConn(p, address, raw), nil
}

func (p *Pool) takeIdle(address figbank.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func dialTCP(ctx context.Context, address figbank.Address) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: userTimeout, Interval: userTimeout, Count: 1,
	}}
	raw, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	setUserTimeout(raw)
	return raw, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(raw net.Conn) {
	tcp, isTCP := raw.(*net.TCPConn)
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
