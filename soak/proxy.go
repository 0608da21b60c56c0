package soak

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"figbank"
)

const (
	// bufferSize bounds how many bytes a proxy forwards at once.
	bufferSize  = 16 << 10
	dialTimeout = 2 * time.Second
)

type (
	// Impairment is what a proxy does to the connections through it. The zero value forwards
	// all data at once.
	Impairment struct {
		// HoldInbound holds back data to the process behind the proxy, HoldOutbound data from it.
		HoldInbound, HoldOutbound bool
		// Delay is added before each write, in both directions.
		Delay time.Duration
		// Jitter bounds a random delay besides.
		Jitter time.Duration
		// LoseWithSender drops data that is delayed when its sender ends, as a loss of power does.
		LoseWithSender bool
		// Refuse makes the proxy close new connections at once.
		Refuse bool
	}

	// Proxy forwards TCP connections to one address. It is safe for concurrent use.
	Proxy struct {
		listener net.Listener

		mu         sync.Mutex
		target     string
		impairment Impairment
		// dialerOf returns the process that dials, cuts what the proxy does besides to the connections of some.
		dialerOf func(client net.Conn) int
		cuts     map[int]Impairment
		// changed is closed and replaced when the impairment changes.
		changed chan struct{}
		// conns holds both ends of each connection, with the process that dialed.
		conns map[net.Conn]int
	}
)

// unknownDialer is the dialer of a connection that none of the processes has opened.
const unknownDialer = -1

// StartProxy listens on an address and forwards connections to target.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, figbank.WrapError("soak", "Proxy", err)
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]int{}}
	p.dialerOf = func(net.Conn) int { return unknownDialer }
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget changes the address to which new connections are forwarded.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetImpairment changes the impairment of existing and new connections.
func (p *Proxy) SetImpairment(impairment Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = impairment
	close(p.changed)
	p.changed = make(chan struct{})
}

// NameDialers makes the proxy ask dialerOf which process a new connection comes from.
func (p *Proxy) NameDialers(dialerOf func(client net.Conn) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialerOf = dialerOf
}

// SetCuts changes what the proxy does besides to the connections of single processes, existing and new ones.
func (p *Proxy) SetCuts(cuts map[int]Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts = cuts
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.resetThose(func(int) bool { return true })
}

// ResetFrom closes the connections of some processes with a TCP reset.
func (p *Proxy) ResetFrom(dialers []int) {
	p.resetThose(func(dialer int) bool { return slices.Contains(dialers, dialer) })
}

func (p *Proxy) resetThose(isMeant func(dialer int) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, dialer := range p.conns {
		if isMeant(dialer) {
			reset(conn)
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close stops listening and resets all connections.
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

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	p.mu.Lock()
	target, dialerOf := p.target, p.dialerOf
	p.mu.Unlock()
	dialer := dialerOf(client)
	if p.refuses(dialer) {
		reset(client)
		return
	}
	server, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	p.track(dialer, client, server)
	defer p.untrack(client, server)
	var group sync.WaitGroup
	group.Go(func() { p.forward(client, server, dialer, true) })
	group.Go(func() { p.forward(server, client, dialer, false) })
	group.Wait()
}

func (p *Proxy) refuses(dialer int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment.Refuse || p.cuts[dialer].Refuse
}

func (p *Proxy) track(dialer int, conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = dialer
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

// forward copies data from one connection to the other. At the end of the stream, it closes the
// write side of the connection to. It passes a reset on.
func (p *Proxy) forward(from, to net.Conn, dialer int, inbound bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		p.awaitRelease(dialer, inbound)
		if n > 0 && p.losesWithSender() && hasEnded(from) {
			reset(to)
			return
		}
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
		case errors.Is(err, syscall.ECONNRESET):
			// An answer that ends with its connection would look whole after a close.
			reset(to)
			return
		case err != nil:
			_ = to.Close()
			return
		}
	}
}

func (p *Proxy) losesWithSender() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment.LoseWithSender
}

// hasEnded reports whether the peer of a TCP connection has closed it.
func hasEnded(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Read(func(descriptor uintptr) bool {
		n, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ended || err != nil
}

// holds reports whether data in this direction is held back.
func (i Impairment) holds(inbound bool) bool {
	return inbound && i.HoldInbound || !inbound && i.HoldOutbound
}

// awaitRelease waits while data in this direction is held back, and then for the delay.
func (p *Proxy) awaitRelease(dialer int, inbound bool) {
	for {
		p.mu.Lock()
		impairment, cut, changed := p.impairment, p.cuts[dialer], p.changed
		p.mu.Unlock()
		if !impairment.holds(inbound) && !cut.holds(inbound) {
			wall.sleep(impairment.Delay + time.Duration(rand.Int64N(int64(impairment.Jitter)+1))) //nolint:gosec // spreads delays, no secret
			return
		}
		<-changed
	}
}
