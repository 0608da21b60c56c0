package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link forwards connections to one address. While it is cut, nothing passes. After it is joined again, new
// connections pass at once, and what was sent on connections from before passes retransmitDelay later, as the
// sender's TCP retransmits it.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cut    bool
	joined chan struct{}
}

const retransmitDelay = 1700 * time.Millisecond

func startLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cut && !l.cut:
		l.joined = make(chan struct{})
	case !cut && l.cut:
		close(l.joined)
	}
	l.cut = cut
}

// await waits while the link is cut. It reports whether it had to.
func (l *link) await() bool {
	l.mu.Lock()
	cut, joined := l.cut, l.joined
	l.mu.Unlock()
	if cut {
		<-joined
	}
	return cut
}

func (l *link) serve(client net.Conn) {
	l.await()
	server, err := net.DialTimeout("tcp", l.target, callTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	go l.forward(server, client)
	l.forward(client, server)
}

func (l *link) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if l.await() {
			time.Sleep(retransmitDelay)
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
