package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"figbank"
	"figbank/schema"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout  = 2 * time.Second
	closeTimeout = 30 * time.Second
	// streamWindow is the smallest window that yamux allows, in bytes. Packages that transfer large
	// bodies bound memory with their own credits.
	streamWindow  = 256 << 10
	acceptBacklog = 1024
)

type (
	// Dialer connects to another process.
	Dialer func(ctx context.Context, address figbank.Address) (net.Conn, error)

	// Option configures a Pool or Server under construction. A Server ignores WithDialer.
	Option func(*options)

	options struct {
		dial  Dialer
		meter *Meter
	}

	// Pool maintains sessions to the processes that this process connects to: one to each, and a
	// second one for the streams of the replicated log. Feeds can thus neither hold up the log nor
	// end its streams. A Pool is safe for concurrent use.
	Pool struct {
		common figbank.Common
		dial   Dialer
		meter  *Meter

		mu     sync.Mutex
		peers  map[peerKey]*peer
		closed bool
	}

	// peerKey names a session to one process.
	peerKey struct {
		address figbank.Address
		// log is set for the session of the replicated log.
		log bool
	}

	// peer holds one session to one process. The lock is a channel, so that a goroutine can stop
	// waiting for it when its context ends, while another goroutine dials.
	peer struct {
		lock    chan struct{}
		session *session
	}
)

// WithDialer makes a Pool connect with dial instead of over TCP, for simulated networks.
func WithDialer(dial Dialer) Option {
	return func(o *options) { o.dial = dial }
}

// WithMeter counts the traffic of all streams.
func WithMeter(meter *Meter) Option {
	return func(o *options) { o.meter = meter }
}

// NewPool returns an empty pool. It dials a session when one is first needed.
func NewPool(common figbank.Common, opts ...Option) *Pool {
	o := options{dial: dialTCP}
	for _, opt := range opts {
		opt(&o)
	}
	return &Pool{common: common.Named("transport"), dial: o.dial, meter: o.meter, peers: map[peerKey]*peer{}}
}

// Open starts a stream of the given kind. An error proves that the peer has
// received no request on the stream. ctx bounds only the time to get a session; it does
// not end the stream.
func (p *Pool) Open(ctx context.Context, address figbank.Address, kind schema.StreamKind) (*Stream, error) {
	session, err := p.session(ctx, keyOf(address, kind))
	if err != nil {
		return nil, err
	}
	raw, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return nil, figbank.WrapError("transport", "OpenStream", err, "address", address)
	}
	stream := newStream(raw)
	stream.meter = p.meter.of(kind)
	open := &schema.StreamOpen{Kind: kind, From: string(p.common.Process), Stamp: p.common.Recorder.Stamp()}
	if err := stream.Send(open); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// Call sends one request and receives one answer. If sent is true, the peer may
// have acted on the request even if err is set. If sent is false, the peer has not
// received the request.
func (p *Pool) Call(ctx context.Context, address figbank.Address, kind schema.StreamKind, request, answer proto.Message) (sent bool, err error) {
	stream, err := p.Open(ctx, address, kind)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	if err := stream.Send(request); err != nil {
		return !errors.As(err, new(figbank.EncodingError)), err
	}
	return true, stream.Receive(answer)
}

// Drop ends the session that carries streams of the given kind to one process, so that the next use
// dials again. It does nothing while another goroutine dials that process.
func (p *Pool) Drop(address figbank.Address, kind schema.StreamKind) {
	p.mu.Lock()
	entry, found := p.peers[keyOf(address, kind)]
	p.mu.Unlock()
	if !found {
		return
	}
	select {
	case entry.lock <- struct{}{}:
		closeSession(entry.session)
		<-entry.lock
	default:
		// Another goroutine holds the lock, usually to dial.
	}
}

// Close ends all sessions. Later calls of Open and Call fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, entry := range p.peers {
		select {
		case entry.lock <- struct{}{}:
			closeSession(entry.session)
			<-entry.lock
		default:
			// A goroutine that is dialing closes its new session itself; see session.
		}
	}
}

// keyOf names the session that carries streams of a kind to one process.
func keyOf(address figbank.Address, kind schema.StreamKind) peerKey {
	switch kind {
	case schema.StreamKind_STREAM_KIND_RAFT, schema.StreamKind_STREAM_KIND_PROPOSE:
		return peerKey{address: address, log: true}
	default:
		return peerKey{address: address}
	}
}

// session returns a session to one process. It dials if there is no open session.
func (p *Pool) session(ctx context.Context, key peerKey) (*session, error) {
	entry, err := p.peer(key)
	if err != nil {
		return nil, err
	}
	address := key.address
	select {
	case entry.lock <- struct{}{}:
		defer func() { <-entry.lock }()
	case <-ctx.Done():
		return nil, figbank.WrapError("transport", "Dial", ctx.Err(), "address", address)
	}
	if entry.session != nil && !entry.session.IsClosed() {
		return entry.session, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, figbank.WrapError("transport", "Dial", err, "address", address)
	}
	probes := defaultProbes
	if key.log {
		probes = logProbes
	}
	session, err := newSession(p.common.Clock, conn, yamux.Client, probes)
	if err != nil {
		return nil, figbank.WrapError("transport", "Session", err, "address", address)
	}
	entry.session = session
	if p.isClosed() {
		_ = session.Close()
	}
	return session, nil
}

func (p *Pool) peer(key peerKey) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, figbank.WrapError("transport", "Closed", net.ErrClosed)
	}
	entry, found := p.peers[key]
	if !found {
		entry = &peer{lock: make(chan struct{}, 1)}
		p.peers[key] = entry
	}
	return entry, nil
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func closeSession(session *session) {
	if session != nil {
		_ = session.Close()
	}
}

func dialTCP(ctx context.Context, address figbank.Address) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", string(address))
}

func sessionConfig(probes keepAlive) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	// A session has a keep-alive of its own.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = probes.timeout
	config.StreamCloseTimeout = closeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard
	return config
}
