package transfer

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/origin"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transport"
	"figbank/weights"

	"go.uber.org/zap"
)

const (
	// planInterval is how often the plan is asked again without news.
	planInterval = 100 * time.Millisecond
	// manifestRetry is between rounds of asking for a manifest.
	manifestRetry = 200 * time.Millisecond
	// maxManifest bounds a manifest from a peer.
	maxManifest figbank.Bytes = 64 << 20
	newsLength                = 256
	// narrowShare is the part of a narrowed link that weights may use, in percent.
	narrowShare = 60
	percent     = 100
	// maxNeighbours bounds the peers whose chunks a host follows.
	maxNeighbours = 24
)

type (
	// Settings of a fetcher.
	Settings struct {
		Self      swarm.Peer
		InFlight  int
		StallTime time.Duration
		Settle    time.Duration
		// OriginDelay is how long peers have to say what they hold before the origin is asked.
		OriginDelay time.Duration
		// OneCopy is set when each chunk leaves the origin once, not once a region.
		OneCopy bool
		// Rate bounds the bytes received a second; 0 for no bound.
		Rate figbank.Bytes
		// Link tells when this host's link is narrowed; nil when it is not watched.
		Link *Link
	}

	// Origin is a store of weights that has every version.
	Origin interface {
		// Manifest fetches a manifest's bytes; the caller checks them.
		Manifest(ctx context.Context, digest figbank.ManifestDigest) ([]byte, error)
		// Chunk fetches a chunk's bytes; the caller checks them.
		Chunk(ctx context.Context, version *weights.Version, index figbank.ChunkIndex) ([]byte, error)
	}

	// Fetcher brings versions to this host, one at a time.
	Fetcher struct {
		common   figbank.Common
		settings Settings
		store    *weights.Store
		active   *Active
		pool     *transport.Pool
		origin   Origin
		pacer    *pacer
		// running counts the chunks on their way.
		running atomic.Int64
		// link is what was known of the link when the plan was last asked.
		link   LinkState
		peers  func() ([]swarm.Peer, <-chan struct{})
		random *rand.Rand
	}

	// news is what the goroutines of a transfer tell its loop.
	news struct {
		fetch *swarm.Fetch
		err   error

		peer   figbank.ProcessID
		chunks []figbank.ChunkIndex
		narrow bool
		lost   bool
	}
)

// NewFetcher returns a fetcher. Peers returns the present list of peers and a
// channel that is closed when it changes.
func NewFetcher(common figbank.Common, settings Settings, store *weights.Store, active *Active,
	pool *transport.Pool, client Origin, peers func() ([]swarm.Peer, <-chan struct{}),
) *Fetcher {
	if settings.Link == nil {
		settings.Link = NewLink(common.Clock, settings.Rate)
	}
	return &Fetcher{
		common: common.For("transfer"), settings: settings, store: store, active: active, pool: pool, origin: client,
		pacer:  newPacer(settings.Rate),
		peers:  peers,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // spreads load, no secret
	}
}

// Fetch returns once the version is whole on this host, or ctx ends.
func (f *Fetcher) Fetch(ctx context.Context, digest figbank.ManifestDigest) (*weights.Version, error) {
	if whole := f.store.Whole(digest); whole != nil {
		return whole, nil
	}
	if err := f.settle(ctx); err != nil {
		return nil, err
	}
	content, err := f.manifest(ctx, digest)
	if err != nil {
		return nil, err
	}
	return f.FetchListed(ctx, content, digest)
}

// FetchListed is Fetch for a manifest whose bytes are known.
func (f *Fetcher) FetchListed(ctx context.Context, content []byte, digest figbank.ManifestDigest) (*weights.Version, error) {
	if whole := f.store.Whole(digest); whole != nil {
		return whole, nil
	}
	partial, err := f.store.Begin(content, digest)
	if err != nil {
		return nil, err
	}
	f.active.set(partial)
	defer f.active.set(nil)
	f.event("Begun", "", string(digest))
	for {
		if err := f.chunks(ctx, partial); err != nil {
			return nil, err
		}
		whole, err := partial.Seal()
		var corrupt figbank.CorruptError
		if errors.As(err, &corrupt) {
			f.common.Log.Warn("a chunk went bad on disk, fetching it again", figbank.ErrorField(err))
			continue
		}
		if err == nil {
			f.event("Whole", "", string(digest))
		}
		return whole, err
	}
}

// settle waits until the list of peers has been still for a while, so that
// hosts that start together agree on who goes to the origin.
func (f *Fetcher) settle(ctx context.Context) error {
	for {
		_, changed := f.peers()
		select {
		case <-ctx.Done():
			return figbank.Fail("transfer", "Canceled", ctx.Err())
		case <-changed:
		case <-f.common.Clock.After(f.settings.Settle):
			return nil
		}
	}
}

// chunks fetches what is missing until every chunk is on disk.
func (f *Fetcher) chunks(ctx context.Context, partial *weights.Partial) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := f.common.Clock.Now()
	plan := swarm.NewPlan(swarm.Settings{
		Self: f.settings.Self, Chunks: len(partial.Version().Manifest.GetChunks()),
		InFlight: f.settings.InFlight, StallTime: f.settings.StallTime, OriginDelay: f.settings.OriginDelay,
		OneCopy: f.settings.OneCopy,
	}, f.random, now)
	for _, index := range partial.Held() {
		plan.Have(index, now)
	}
	f.pacer.setBurst(largestChunk(partial))
	inbox := make(chan news, newsLength)
	watched := map[figbank.Address]context.CancelFunc{}
	changed := f.updatePeers(ctx, plan, partial, watched, inbox)
	for !plan.Whole() {
		f.startFetches(ctx, plan, partial, inbox)
		select {
		case <-ctx.Done():
			return figbank.Fail("transfer", "Canceled", ctx.Err())
		case <-changed:
			changed = f.updatePeers(ctx, plan, partial, watched, inbox)
		case n := <-inbox:
			f.take(plan, n)
		case <-f.common.Clock.After(planInterval):
		}
	}
	return nil
}

// largestChunk is the burst that the rate has to allow; a larger one would fill
// the link's queue, where live answers wait too.
func largestChunk(partial *weights.Partial) figbank.Bytes {
	largest := int64(1)
	for _, chunk := range partial.Version().Manifest.GetChunks() {
		largest = max(largest, weights.ChunkLength(chunk))
	}
	return figbank.Bytes(largest)
}

func (f *Fetcher) updatePeers(ctx context.Context, plan *swarm.Plan, partial *weights.Partial, watched map[figbank.Address]context.CancelFunc, inbox chan<- news) <-chan struct{} {
	peers, changed := f.peers()
	plan.SetPeers(peers)
	wanted := f.neighbours(peers)
	for address, stop := range watched {
		if !slices.ContainsFunc(wanted, func(p swarm.Peer) bool { return p.Address == address }) {
			stop()
			delete(watched, address)
		}
	}
	for _, peer := range wanted {
		if _, found := watched[peer.Address]; found {
			continue
		}
		watching, stop := context.WithCancel(ctx) //nolint:gosec // stopped when the peer leaves the list, or with ctx
		watched[peer.Address] = stop
		go f.watch(watching, peer, partial, inbox)
	}
	return changed
}

// neighbours picks the peers whose chunks this host follows: all when they are
// few, else those that rank highest for this host, which spreads over the swarm.
func (f *Fetcher) neighbours(peers []swarm.Peer) []swarm.Peer {
	others := slices.DeleteFunc(slices.Clone(peers), func(p swarm.Peer) bool { return p.ID == f.settings.Self.ID })
	if len(others) <= maxNeighbours {
		return others
	}
	key := figbank.ManifestDigest(f.settings.Self.ID)
	slices.SortFunc(others, func(a, b swarm.Peer) int { return cmp.Compare(lineRank(b.ID, key), lineRank(a.ID, key)) })
	return others[:maxNeighbours]
}

func (f *Fetcher) startFetches(ctx context.Context, plan *swarm.Plan, partial *weights.Partial, inbox chan<- news) {
	plan.SetLink(f.giveWay())
	for {
		fetch, found := plan.Next(f.common.Clock.Now())
		if !found {
			return
		}
		go func() {
			err := f.fetch(ctx, fetch, partial)
			tell(ctx, inbox, news{fetch: &fetch, err: err})
		}()
	}
}

// giveWay tells whether the link is narrowed and how many chunks may be on their
// way, and sets the pace. A link that has not been tried lately gets one chunk first.
func (f *Fetcher) giveWay() (narrow bool, inFlight int) {
	state, rate := f.settings.Link.State()
	if state != f.link {
		f.link = state
		f.common.Log.Info("link tried", zap.Bool("narrow", state == Narrow), zap.Int64("bytesPerSecond", int64(rate)))
	}
	switch state {
	case Narrow:
		f.pacer.setRate(rate * narrowShare / percent)
		return true, 1
	case Unknown:
		return false, 1
	}
	f.pacer.setRate(f.settings.Rate)
	return false, f.settings.InFlight
}

func (f *Fetcher) take(plan *swarm.Plan, n news) {
	now := f.common.Clock.Now()
	switch {
	case n.lost:
		plan.PeerLost(n.peer)
	case n.fetch == nil:
		plan.PeerNarrow(n.peer, n.narrow)
		plan.PeerHas(n.peer, n.chunks, now)
	case n.err == nil:
		plan.Done(*n.fetch, now)
	default:
		failure, wait := classify(n.err)
		plan.Failed(*n.fetch, failure, wait, now)
		f.common.Log.Debug("chunk did not arrive", zap.Uint32("chunk", uint32(n.fetch.Chunk)), zap.String("peer", string(n.fetch.Peer)), figbank.ErrorField(n.err))
	}
}

// fetch brings one chunk to disk.
func (f *Fetcher) fetch(ctx context.Context, fetch swarm.Fetch, partial *weights.Partial) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.StallTime)
	defer cancel()
	length := figbank.Bytes(weights.ChunkLength(partial.Version().Manifest.GetChunks()[fetch.Chunk]))
	if err := f.pacer.wait(ctx, length); err != nil {
		return err
	}
	content, err := f.timed(ctx, fetch, partial, length)
	if err != nil {
		if failure, _ := classify(err); failure == swarm.Busy {
			f.pacer.giveBack(length)
		}
		return err
	}
	if err := partial.Put(fetch.Chunk, content); err != nil {
		f.event("BadChunk", chunkName(fetch), string(fetch.Peer))
		return err
	}
	f.event("Chunk", chunkName(fetch), string(fetch.Peer))
	f.common.Scope.Counter("chunks").Inc(1)
	return nil
}

// timed brings a chunk and lets the link's estimate know how long it took.
func (f *Fetcher) timed(ctx context.Context, fetch swarm.Fetch, partial *weights.Partial, length figbank.Bytes) ([]byte, error) {
	began := f.common.Clock.Now()
	together := f.running.Add(1)
	content, err := f.bring(ctx, fetch, partial, length)
	together = max(together, f.running.Add(-1)+1)
	took := f.common.Clock.Now().Sub(began)
	switch {
	case err != nil && took < f.settings.StallTime/2:
		// A peer that refuses says nothing about the link.
	case fetch.Peer == "":
		f.settings.Link.observeOrigin(length, took, int(together))
	default:
		f.settings.Link.observe(length, took, int(together))
	}
	return content, err
}

func (f *Fetcher) bring(ctx context.Context, fetch swarm.Fetch, partial *weights.Partial, length figbank.Bytes) ([]byte, error) {
	if fetch.Peer == "" {
		f.common.Scope.Counter("origin_bytes").Inc(int64(length))
		return f.origin.Chunk(ctx, partial.Version(), fetch.Chunk)
	}
	request := &schema.ChunkRequest{
		Manifest: string(partial.Version().Digest), Chunk: uint32(fetch.Chunk), BytesPerSecond: int64(f.settings.Link.AskedRate()),
	}
	return f.receiveParts(ctx, fetch.Address, schema.StreamKind_STREAM_KIND_CHUNK, request, length)
}

func (f *Fetcher) event(name, chunk, detail string) {
	f.common.Recorder.Record(&schema.Event{Part: "transfer", Name: name, Chunk: chunk, Detail: detail})
}

func chunkName(fetch swarm.Fetch) string {
	return strconv.FormatUint(uint64(fetch.Chunk), 10)
}

func tell(ctx context.Context, inbox chan<- news, n news) {
	select {
	case inbox <- n:
	case <-ctx.Done():
	}
}

// classify says how the plan should treat a failed fetch's source.
func classify(err error) (swarm.Failure, time.Duration) {
	var limited origin.RateLimitedError
	var corrupt figbank.CorruptError
	var refused PeerRefusedError
	switch {
	case errors.As(err, &limited):
		return swarm.Busy, limited.RetryAfter
	case errors.As(err, &corrupt):
		return swarm.Bad, 0
	case errors.As(err, &refused) && refused.Busy:
		return swarm.Busy, 0
	case errors.As(err, &refused):
		return swarm.Missing, 0
	}
	return swarm.Lost, 0
}
