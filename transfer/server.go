// Package transfer moves weights between hosts: it fetches the chunks that package
// swarm selects, and serves the chunks that this host holds.
package transfer

import (
	"context"
	"math"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"
	"figbank/weights"

	"golang.org/x/time/rate"
)

const (
	// partSize limits the bytes of a chunk or manifest in one message.
	partSize = 64 << 10
	// maxPart limits the size of a message with a part.
	maxPart figbank.Bytes = 2 * partSize
	// maxRequest limits the size of a request.
	maxRequest figbank.Bytes = 64 << 10
	// pacedPartSize replaces partSize for messages that are sent at a limited rate.
	pacedPartSize = 8 << 10
	// haveInterval is the shortest time between two reports of new chunks to a peer.
	haveInterval = 20 * time.Millisecond
	// linkInterval is how often the server looks whether the state of its link has changed, or
	// a version has been added to the store, while it has no new chunks to report.
	linkInterval = 200 * time.Millisecond
	// slotWait is how long a request for a chunk waits for a free slot.
	slotWait = 150 * time.Millisecond
	// unprovenServed is how many chunks are served at once over a link that may be narrow.
	unprovenServed = 2
	// receiveTimeout limits how long the server keeps a slot after it sent a chunk, until the
	// peer has received the chunk.
	receiveTimeout = 2 * time.Second
)

type (
	// Server serves the manifests and chunks that this host holds to peers. It is safe
	// for concurrent use.
	Server struct {
		common figbank.Common
		store  *weights.Store
		active *Active
		slots  chan struct{}
		// limiter limits the rate of sending, so that chunks do not fill the link's
		// queue. It is nil if there is no limit.
		limiter *rate.Limiter
		link    *Link
	}

	// Option configures a Server at its creation.
	Option func(*Server)

	// readableVersion is a version whose chunks can be read. partial is nil if the version is
	// complete. Otherwise, the version is still being fetched.
	readableVersion struct {
		version *weights.Version
		partial *weights.PartialVersion
	}
)

// WithSendRate limits the bytes of weights sent per second; 0 means no limit.
func WithSendRate(perSecond figbank.Bytes) Option {
	return func(s *Server) {
		if perSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(perSecond), pacedPartSize)
		}
	}
}

// WithLink makes the server use and update the given estimate of this host's link. While the link
// has reduced bandwidth, the server serves only one chunk at a time.
func WithLink(link *Link) Option {
	return func(s *Server) { s.link = link }
}

// NewServer returns a server that serves at most slots chunks at once.
func NewServer(common figbank.Common, store *weights.Store, active *Active, slots int, options ...Option) *Server {
	s := &Server{common: common.Named("transfer"), store: store, active: active, slots: make(chan struct{}, slots), link: NewLink(common.Clock, 0)}
	for _, option := range options {
		option(s)
	}
	return s
}

// ServeManifest answers a request with a manifest's bytes, or reports that the
// manifest is missing.
func (s *Server) ServeManifest(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.ManifestRequest{}
	if err := stream.ReceiveAtMost(request, maxRequest); err != nil {
		return
	}
	readable := s.find(figbank.ManifestDigest(request.GetManifest()))
	if readable == nil {
		_ = stream.Send(&schema.ChunkPart{Missing: true, Last: true})
		return
	}
	s.sendParts(ctx, stream, readable.version.Content, 0)
}

// ServeChunk answers a request with a chunk's bytes, or reports that this host is
// busy or lacks the chunk. The peer verifies the bytes.
func (s *Server) ServeChunk(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.ChunkRequest{}
	if err := stream.ReceiveAtMost(request, maxRequest); err != nil {
		return
	}
	if state, _ := s.link.State(); len(s.slots) >= s.servedAtOnce(state) {
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
	readable := s.find(figbank.ManifestDigest(request.GetManifest()))
	index := figbank.ChunkIndex(request.GetChunk())
	if readable == nil || !readable.has(index) {
		_ = stream.Send(&schema.ChunkPart{Missing: true, Last: true})
		return
	}
	content, err := readable.version.ReadChunk(index)
	if err != nil {
		_ = stream.Send(&schema.ChunkPart{Missing: true, Last: true})
		return
	}
	began := s.common.Clock.Now()
	concurrent := len(s.slots)
	s.sendParts(ctx, stream, content, figbank.Bytes(request.GetBytesPerSecond()))
	awaitPeerDone(ctx, stream)
	if request.GetBytesPerSecond() > 0 {
		// The peer limited the rate, so the duration shows nothing about this host's link.
		return
	}
	s.link.observe(figbank.Bytes(len(content)), s.common.Clock.Now().Sub(began), concurrent)
}

// servedAtOnce returns how many chunks may be served at once. Many chunks at once on a narrow link
// would delay the requests that use the same link, and an unproven link may be narrow.
func (s *Server) servedAtOnce(state LinkState) int {
	switch state {
	case LinkNarrow:
		return 1
	case LinkUnknown, LinkSuspect:
		return unprovenServed
	case LinkWide:
	}
	// Further requests wait for a slot for a while.
	return math.MaxInt
}

// awaitPeerDone waits until the peer closes its side of the stream, but at most receiveTimeout. The
// peer closes it when it has received everything or has given up. Until then, bytes that were
// written may still be in the link's queue, and the next chunk would queue behind them.
func awaitPeerDone(ctx context.Context, stream *transport.Stream) {
	ctx, cancel := context.WithTimeout(ctx, receiveTimeout)
	defer cancel()
	defer stream.CloseWhenDone(ctx)()
	_ = stream.ReceiveAtMost(&schema.ChunkRequest{}, maxRequest)
}

// ServeHave tells a peer which chunks of a version this host holds. It sends the indexes of new
// chunks until the version is complete. It also sends an update when the bandwidth of this host's
// link becomes reduced or normal again.
func (s *Server) ServeHave(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.HaveRequest{}
	if err := stream.ReceiveAtMost(request, maxRequest); err != nil {
		return
	}
	digest := figbank.ManifestDigest(request.GetManifest())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnClose(cancel, stream)
	sent, sentNarrow := map[figbank.ChunkIndex]bool{}, false
	for {
		changed := s.active.wait()
		update := s.haveUpdate(digest, sent)
		state, _ := s.link.State()
		update.Narrow = state == LinkNarrow
		if len(update.GetChunks()) > 0 || update.GetWhole() || update.GetNarrow() != sentNarrow {
			sentNarrow = update.GetNarrow()
			if err := stream.Send(update); err != nil || update.GetWhole() {
				return
			}
		}
		if !s.awaitChange(ctx, changed) {
			return
		}
	}
}

// awaitChange waits until there may be something new to report to a peer. Chunks that arrive
// soon after each other are reported together. awaitChange returns false when ctx has ended.
func (s *Server) awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.common.Clock.After(linkInterval):
		return true
	case <-changed:
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.common.Clock.After(haveInterval):
		return true
	}
}

// haveUpdate returns an update with the chunks that are not in sent yet, and adds them
// to sent.
func (s *Server) haveUpdate(digest figbank.ManifestDigest, sent map[figbank.ChunkIndex]bool) *schema.HaveUpdate {
	if s.store.Version(digest) != nil {
		return &schema.HaveUpdate{Whole: true}
	}
	update := &schema.HaveUpdate{}
	partial := s.active.find(digest)
	if partial == nil || partial.Count() == len(sent) {
		return update
	}
	for _, index := range partial.Held() {
		if !sent[index] {
			sent[index] = true
			update.Chunks = append(update.Chunks, uint32(index))
		}
	}
	return update
}

// find returns the version if it is complete on this host or being fetched. Otherwise it returns
// nil.
func (s *Server) find(digest figbank.ManifestDigest) *readableVersion {
	if version := s.store.Version(digest); version != nil {
		return &readableVersion{version: version}
	}
	if partial := s.active.find(digest); partial != nil {
		return &readableVersion{version: partial.Version(), partial: partial}
	}
	return nil
}

func (r *readableVersion) has(index figbank.ChunkIndex) bool {
	if r.partial == nil {
		return int(index) < len(r.version.Manifest.GetChunks())
	}
	return r.partial.Has(index)
}

// sendParts sends content in parts, at the requested rate in bytes per second or the
// server's own limit, whichever is lower. A requestedRate of 0 means no limit.
func (s *Server) sendParts(ctx context.Context, stream *transport.Stream, content []byte, requestedRate figbank.Bytes) {
	size := partSize
	limiters := s.limiters(requestedRate)
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

// limiters returns the rate limiters for one answer: the one that all answers share, and a new one
// for the rate that the peer requested. It leaves out a limiter where there is no limit.
func (s *Server) limiters(requestedRate figbank.Bytes) []*rate.Limiter {
	var limiters []*rate.Limiter
	if s.limiter != nil {
		limiters = append(limiters, s.limiter)
	}
	if requestedRate > 0 {
		limiters = append(limiters, rate.NewLimiter(rate.Limit(requestedRate), pacedPartSize))
	}
	return limiters
}

// cancelOnClose calls cancel when the peer closes its side of the stream.
func cancelOnClose(cancel context.CancelFunc, stream *transport.Stream) {
	defer cancel()
	_ = stream.ReceiveAtMost(&schema.HaveRequest{}, maxRequest)
}
