package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"figbank"
)

const (
	// pieceBytes is how much a proxy passes on at once.
	pieceBytes  = 16 << 10
	dialTimeout = 2 * time.Second
)

type (
	// Harm is what a proxy does to the connections that go through it.
	Harm struct {
		// HoldIn and HoldOut keep back what goes to, and comes from, the process behind it.
		HoldIn, HoldOut bool
		// Delay is added to each piece in each direction.
		Delay time.Duration
		// Refuse closes new connections at once.
		Refuse bool
	}

	// Proxy stands before one listening address. It is safe for concurrent use.
	Proxy struct {
		listener net.Listener

		mu      sync.Mutex
		target  string
		harm    Harm
		changed chan struct{}
		conns   map[net.Conn]struct{}
	}
)

// StartProxy listens on an address and passes connections on to target.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, figbank.Fail("soak", "Proxy", err)
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address is where it listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetHarm changes what happens to connections, those that stand among them.
func (p *Proxy) SetHarm(harm Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = harm
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset breaks all connections off.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(conn)
		}
	}
}

func (p *Proxy) serve(near net.Conn) {
	defer near.Close()
	p.mu.Lock()
	target, refuse := p.target, p.harm.Refuse
	p.mu.Unlock()
	if refuse {
		return
	}
	far, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", target)
	if err != nil {
		return
	}
	defer far.Close()
	p.keep(near, far)
	defer p.drop(near, far)
	var group sync.WaitGroup
	group.Go(func() { p.pass(near, far, true) })
	group.Go(func() { p.pass(far, near, false) })
	group.Wait()
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

// pass copies one direction, an end of it included.
func (p *Proxy) pass(from, to net.Conn, inward bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		p.await(inward)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			_ = to.Close()
			return
		}
	}
}

// await returns once a piece may pass.
func (p *Proxy) await(inward bool) {
	for {
		p.mu.Lock()
		harm, changed := p.harm, p.changed
		p.mu.Unlock()
		if held := inward && harm.HoldIn || !inward && harm.HoldOut; !held {
			wall.sleep(harm.Delay)
			return
		}
		<-changed
	}
}
