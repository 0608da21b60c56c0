// Package transfer moves weights: it fetches the chunks that swarm decides on,
// and serves those that this host holds.
package transfer

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"
	"figbank/weights"

	"golang.org/x/time/rate"
)

const (
	// partSize is how much of a chunk one message carries.
	partSize = 64 << 10
	// pacedPartSize is the same where the rate of sending is bounded.
	pacedPartSize = 8 << 10
	// haveInterval is how often a peer is told of new chunks.
	haveInterval = 20 * time.Millisecond
	// slotWait is how long a request for a chunk waits for its turn.
	slotWait = 150 * time.Millisecond
	// takeTime is how long a peer may take to receive a chunk before its slot goes
	// to another.
	takeTime = 2 * time.Second
)

type (
	// Server gives peers what this host holds. It is safe for concurrent use.
	Server struct {
		common figbank.Common
		store  *weights.Store
		active *Active
		slots  chan struct{}
		// limiter paces what is sent, so that it does not fill the link's queue.
		limiter *rate.Limiter
		link    *Link
	}

	// Option changes a Server under construction.
	Option func(*Server)

	// holding is a version, whole or in transfer, from which chunks can be read.
	holding struct {
		version *weights.Version
		partial *weights.Partial
	}
)

// WithSendRate bounds the bytes of weights sent a second; 0 for no bound.
func WithSendRate(perSecond figbank.Bytes) Option {
	return func(s *Server) {
		if perSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(perSecond), pacedPartSize)
		}
	}
}

// WithLink lets the server give way while this host's link is narrowed.
func WithLink(link *Link) Option {
	return func(s *Server) { s.link = link }
}

// NewServer returns a server that gives at most slots chunks at once.
func NewServer(common figbank.Common, store *weights.Store, active *Active, slots int, options ...Option) *Server {
	s := &Server{common: common.For("transfer"), store: store, active: active, slots: make(chan struct{}, slots), link: NewLink(common.Clock, 0)}
	for _, option := range options {
		option(s)
	}
	return s
}

// ServeManifest answers with a manifest's bytes, or says that it is missing.
func (s *Server) ServeManifest(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.ManifestRequest{}
	if err := stream.Receive(request); err != nil {
		return
	}
	h := s.find(figbank.ManifestDigest(request.GetManifest()))
	if h == nil {
		_ = stream.Send(&schema.ChunkPart{Missing: true, Last: true})
		return
	}
	s.sendParts(ctx, stream, h.version.Content, 0)
}

// ServeChunk answers with a chunk's bytes, or says busy or missing.
func (s *Server) ServeChunk(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.ChunkRequest{}
	if err := stream.Receive(request); err != nil {
		return
	}
	if state, _ := s.link.State(); state == Narrow && len(s.slots) > 0 {
		_ = stream.Send(&schema.ChunkPart{Busy: true, Last: true})
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return
	case <-s.common.Clock.After(slotWait):
		_ = stream.Send(&schema.ChunkPart{Busy: true, Last: true})
		return
	}
	h := s.find(figbank.ManifestDigest(request.GetManifest()))
	index := figbank.ChunkIndex(request.GetChunk())
	if h == nil || !h.has(index) {
		_ = stream.Send(&schema.ChunkPart{Missing: true, Last: true})
		return
	}
	content, err := h.version.ReadChunk(index)
	if err != nil {
		_ = stream.Send(&schema.ChunkPart{Missing: true, Last: true})
		return
	}
	began := s.common.Clock.Now()
	together := len(s.slots)
	s.sendParts(ctx, stream, content, figbank.Bytes(request.GetBytesPerSecond()))
	awaitEnd(ctx, stream)
	if request.GetBytesPerSecond() > 0 {
		// The pace was the peer's, and says nothing about this host's link.
		return
	}
	s.link.observe(figbank.Bytes(len(content)), s.common.Clock.Now().Sub(began), together)
}

// awaitEnd waits until the peer has all it asked for, or has given up: a part
// that has been written may still lie in the link's queue, and the next chunk
// would queue behind it.
func awaitEnd(ctx context.Context, stream *transport.Stream) {
	ctx, cancel := context.WithTimeout(ctx, takeTime)
	defer cancel()
	defer stream.CloseWhenDone(ctx)()
	_ = stream.Receive(&schema.ChunkRequest{})
}

// ServeHave tells a peer which chunks of a version this host holds, and then of
// each new one, until the version is whole.
func (s *Server) ServeHave(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.HaveRequest{}
	if err := stream.Receive(request); err != nil {
		return
	}
	digest := figbank.ManifestDigest(request.GetManifest())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelAtEnd(cancel, stream)
	ticks, stop := s.common.Clock.Tick(haveInterval)
	defer stop()
	told, toldNarrow := map[figbank.ChunkIndex]bool{}, false
	for {
		update := s.update(digest, told)
		state, _ := s.link.State()
		update.Narrow = state == Narrow
		if len(update.GetChunks()) > 0 || update.GetWhole() || update.GetNarrow() != toldNarrow {
			toldNarrow = update.GetNarrow()
			if err := stream.Send(update); err != nil || update.GetWhole() {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

func (s *Server) update(digest figbank.ManifestDigest, told map[figbank.ChunkIndex]bool) *schema.HaveUpdate {
	if s.store.Whole(digest) != nil {
		return &schema.HaveUpdate{Whole: true}
	}
	update := &schema.HaveUpdate{}
	partial := s.active.find(digest)
	if partial == nil || partial.Count() == len(told) {
		return update
	}
	for _, index := range partial.Held() {
		if !told[index] {
			told[index] = true
			update.Chunks = append(update.Chunks, uint32(index))
		}
	}
	return update
}

func (s *Server) find(digest figbank.ManifestDigest) *holding {
	if whole := s.store.Whole(digest); whole != nil {
		return &holding{version: whole}
	}
	if partial := s.active.find(digest); partial != nil {
		return &holding{version: partial.Version(), partial: partial}
	}
	return nil
}

func (h *holding) has(index figbank.ChunkIndex) bool {
	if h.partial == nil {
		return int(index) < len(h.version.Manifest.GetChunks())
	}
	return h.partial.Has(index)
}

func (s *Server) sendParts(ctx context.Context, stream *transport.Stream, content []byte, asked figbank.Bytes) {
	size := partSize
	limiters := s.limiters(asked)
	if len(limiters) > 0 {
		size = pacedPartSize
	}
	for {
		n := min(size, len(content))
		for _, limiter := range limiters {
			if limiter.WaitN(ctx, n) != nil {
				return
			}
		}
		part := &schema.ChunkPart{Data: content[:n], Last: n == len(content)}
		if err := stream.Send(part); err != nil || part.GetLast() {
			return
		}
		content = content[n:]
	}
}

// limiters pace one answer: the one that all share, and one for the rate that was
// asked for.
func (s *Server) limiters(asked figbank.Bytes) []*rate.Limiter {
	var limiters []*rate.Limiter
	if s.limiter != nil {
		limiters = append(limiters, s.limiter)
	}
	if asked > 0 {
		limiters = append(limiters, rate.NewLimiter(rate.Limit(asked), pacedPartSize))
	}
	return limiters
}

// cancelAtEnd waits for the peer to close its side of the stream.
func cancelAtEnd(cancel context.CancelFunc, stream *transport.Stream) {
	defer cancel()
	_ = stream.Receive(&schema.HaveRequest{})
}
