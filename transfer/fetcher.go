package transfer

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transport"
	"figbank/weights"

	"go.uber.org/zap"
)

const (
	// planInterval is how often the plan is asked for the next fetch while no update arrives.
	planInterval = 100 * time.Millisecond
	// retryDelay is the delay between rounds of requests for a manifest, and before a
	// failed stream of a peer's updates is opened again.
	retryDelay = 200 * time.Millisecond
	// maxManifest limits the size of a manifest from a peer.
	maxManifest figbank.Bytes = 64 << 20
	inboxLength               = 256
	// holdersTime is how long a host waits for peers that are known to hold the version to
	// report its chunks, before it turns to the origin.
	holdersTime = 5 * time.Second
	// unknownInFlight is how many chunks may be in flight while nothing is known about the link.
	unknownInFlight = 2
	// narrowLinkShare is the percentage of its estimated rate that weights may use on a link
	// with reduced bandwidth.
	narrowLinkShare = 60
	percent         = 100
)

type (
	// Settings configure a fetcher.
	Settings struct {
		Self swarm.Peer
		// MaxInFlight is the maximum number of chunks that are fetched at once while the
		// link has its full bandwidth.
		MaxInFlight int
		// StallTime is how long the region may go without a new chunk before the next host
		// fetches from the origin. A host that has no manifest after this time asks the
		// origin for it. StallTime also limits the time to fetch one chunk.
		StallTime time.Duration
		// SettleTime is how long the list of peers must stay unchanged before Fetch begins.
		SettleTime time.Duration
		// OriginDelay is the time before the first fetch from the origin, so that peers
		// can report the chunks they hold.
		OriginDelay time.Duration
		// OneCopy is set if each chunk is to leave the origin once in total, rather than
		// once for each region.
		OneCopy bool
		// Rate limits the bytes received per second; 0 means no limit.
		Rate figbank.Bytes
		// Link estimates whether this host's link has reduced bandwidth. If it is nil, the
		// fetcher creates one whose nominal rate is Rate.
		Link *Link
	}

	// Want describes a version whose manifest is known.
	Want struct {
		// Manifest is the manifest's bytes, Digest their digest.
		Manifest []byte
		Digest   figbank.ManifestDigest
		// OriginRate is the bytes per second of the origin's link, 0 if unknown.
		OriginRate figbank.Bytes
		// HeldByPeers is set if peers are known to hold the version, even if they have not
		// reported its chunks yet.
		HeldByPeers bool
		// New is set if no peer can hold the version yet, because it was named just now.
		New bool
	}

	// Origin fetches from a server that stores every version of the weights.
	Origin interface {
		// Manifest fetches a manifest's bytes. The caller verifies them.
		Manifest(ctx context.Context, digest figbank.ManifestDigest) ([]byte, error)
		// Chunk fetches a chunk's bytes. The caller verifies them.
		Chunk(ctx context.Context, version *weights.Version, index figbank.ChunkIndex) ([]byte, error)
	}

	// Fetcher fetches versions to this host, one at a time. It is not safe for concurrent
	// use.
	Fetcher struct {
		common   figbank.Common
		settings Settings
		store    *weights.Store
		active   *Active
		pool     *transport.Pool
		origin   Origin
		pacer    *pacer
		// arriving counts the answers of which a part has arrived, but not yet the last one.
		// Fetches that wait for a busy peer do not share the link.
		arriving atomic.Int64
		// linkState is the state of the link that was logged last.
		linkState LinkState
		peers     func() ([]swarm.Peer, <-chan struct{})
		random    *rand.Rand
	}

	// planUpdate is a message from the goroutines of a transfer to its main loop. It
	// holds either the result of a fetch or a change of what a peer holds.
	planUpdate struct {
		fetch *swarm.Fetch
		err   error

		// chunks are the chunks that the peer has got since its last update. narrow is set
		// while the peer's link has reduced bandwidth. lost is set if the stream of the
		// peer's updates failed.
		peer   figbank.ProcessID
		chunks []figbank.ChunkIndex
		narrow bool
		lost   bool
	}
)

// NewFetcher returns a fetcher. The function peers returns the current list of
// peers and a channel that is closed when the list changes.
func NewFetcher(common figbank.Common, settings Settings, store *weights.Store, active *Active,
	pool *transport.Pool, client Origin, peers func() ([]swarm.Peer, <-chan struct{}),
) *Fetcher {
	if settings.Link == nil {
		settings.Link = NewLink(common.Clock, settings.Rate)
	}
	return &Fetcher{
		common: common.Named("transfer"), settings: settings, store: store, active: active, pool: pool, origin: client,
		pacer:  newPacer(settings.Rate),
		peers:  peers,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // spreads load, no secret
	}
}

// Fetch fetches a version to this host, unless the version is complete there already. It first
// waits until the list of peers is stable. Fetch retries failed requests. It returns an error if
// ctx ends, the manifest is not valid or the store fails.
func (f *Fetcher) Fetch(ctx context.Context, digest figbank.ManifestDigest) (*weights.Version, error) {
	if version := f.store.Version(digest); version != nil {
		return version, nil
	}
	if err := f.awaitStablePeers(ctx); err != nil {
		return nil, err
	}
	content, err := f.fetchManifest(ctx, digest)
	if err != nil {
		return nil, err
	}
	return f.FetchKnown(ctx, Want{Manifest: content, Digest: digest})
}

// FetchKnown is like Fetch, for a version whose manifest is already known. It does not wait until
// the list of peers is stable. It returns a ManifestDoubtError after maxOriginMismatches wrong answers of the
// origin to one chunk. A later call with the same manifest goes on with the chunks that are there.
func (f *Fetcher) FetchKnown(ctx context.Context, want Want) (*weights.Version, error) {
	if version := f.store.Version(want.Digest); version != nil {
		return version, nil
	}
	partial, err := f.store.Begin(want.Manifest, want.Digest)
	if err != nil {
		return nil, err
	}
	f.active.set(partial)
	defer f.active.set(nil)
	f.event("Begun", "", string(want.Digest))
	for {
		if err := f.fetchChunks(ctx, partial, want); err != nil {
			return nil, err
		}
		version, err := partial.Finalize()
		var corrupt figbank.CorruptError
		if errors.As(err, &corrupt) {
			f.common.Log.Warn("a chunk on disk is corrupt, fetching it again", figbank.ErrorField(err))
			continue
		}
		if err == nil {
			f.event("Whole", "", string(want.Digest))
		}
		return version, err
	}
}

// awaitStablePeers waits until the list of peers has not changed for settings.SettleTime.
// Hosts that start at the same time then agree on which of them fetches from the origin.
func (f *Fetcher) awaitStablePeers(ctx context.Context) error {
	for {
		_, changed := f.peers()
		select {
		case <-ctx.Done():
			return figbank.WrapError("transfer", "Canceled", ctx.Err())
		case <-changed:
		case <-f.common.Clock.After(f.settings.SettleTime):
			return nil
		}
	}
}

// fetchChunks fetches the missing chunks until all are on disk.
func (f *Fetcher) fetchChunks(ctx context.Context, partial *weights.PartialVersion, want Want) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := f.common.Clock.Now()
	plan := swarm.NewPlan(swarm.Settings{
		Self: f.settings.Self, Chunks: len(partial.Version().Manifest.GetChunks()),
		InFlight: f.settings.MaxInFlight, StallTime: f.settings.StallTime, OriginDelay: f.originDelay(want),
		OneCopy: f.settings.OneCopy, OriginGap: originGap(partial, want.OriginRate),
	}, f.random, now)
	for _, index := range partial.Held() {
		plan.MarkHeld(index, now)
	}
	f.pacer.setBurst(largestChunk(partial))
	inbox := make(chan planUpdate, inboxLength)
	followed := &followedPeers{stops: map[figbank.Address]context.CancelFunc{}}
	changed := f.updatePeers(ctx, plan, partial, followed, inbox)
	mismatches := map[figbank.ChunkIndex]int{}
	for !plan.Complete() {
		f.startFetches(ctx, plan, partial, inbox)
		f.active.setInSight(plan.InSight())
		select {
		case <-ctx.Done():
			return figbank.WrapError("transfer", "Canceled", ctx.Err())
		case <-changed:
			changed = f.updatePeers(ctx, plan, partial, followed, inbox)
		case update := <-inbox:
			f.applyUpdate(plan, update)
			if err := countMismatch(mismatches, update); err != nil {
				return err
			}
		case <-f.common.Clock.After(planInterval):
		}
	}
	return nil
}

// originDelay returns the time before the first fetch from the origin.
func (f *Fetcher) originDelay(want Want) time.Duration {
	switch {
	case want.HeldByPeers:
		return max(holdersTime, f.settings.OriginDelay)
	case want.New:
		return 0
	}
	return f.settings.OriginDelay
}

// originGap returns the time that the origin takes to send one chunk, 0 if unknown.
func originGap(partial *weights.PartialVersion, rate figbank.Bytes) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(largestChunk(partial)) / float64(rate) * float64(time.Second))
}

// largestChunk returns the size of the largest chunk. The rate limit must allow bursts of that
// size. A larger burst would fill the link's queue and so delay answers to callers.
func largestChunk(partial *weights.PartialVersion) figbank.Bytes {
	largest := int64(1)
	for _, chunk := range partial.Version().Manifest.GetChunks() {
		largest = max(largest, weights.ChunkLength(chunk))
	}
	return figbank.Bytes(largest)
}

func (f *Fetcher) startFetches(ctx context.Context, plan *swarm.Plan, partial *weights.PartialVersion, inbox chan<- planUpdate) {
	plan.SetLink(f.adaptToLink())
	for {
		fetch, found := plan.Next(f.common.Clock.Now())
		if !found {
			return
		}
		go func() {
			err := f.fetch(ctx, fetch, partial)
			sendUpdate(ctx, inbox, planUpdate{fetch: &fetch, err: err})
		}()
	}
}

// adaptToLink returns whether the link has reduced bandwidth, and how many chunks may be in flight.
// It also adapts the rate limit. A link that has shown nothing yet is used at its full rate, but by
// fewer chunks at once: if it is narrow after all, they must not delay callers' requests for long.
// After a slow chunk, only one chunk may be in flight until the state is known.
func (f *Fetcher) adaptToLink() (narrow bool, inFlight int) {
	state, rate := f.settings.Link.State()
	if state != f.linkState {
		f.linkState = state
		f.common.Log.Info("link state changed", zap.Stringer("state", state), zap.Int64("bytesPerSecond", int64(rate)))
	}
	switch state {
	case LinkNarrow:
		f.pacer.setRate(rate * narrowLinkShare / percent)
		return true, 1
	case LinkSuspect:
		return false, 1
	case LinkUnknown:
		f.pacer.setRate(f.settings.Rate)
		return false, min(unknownInFlight, f.settings.MaxInFlight)
	case LinkWide:
	}
	f.pacer.setRate(f.settings.Rate)
	return false, f.settings.MaxInFlight
}

func (f *Fetcher) applyUpdate(plan *swarm.Plan, update planUpdate) {
	now := f.common.Clock.Now()
	switch {
	case update.lost:
		plan.ForgetPeerChunks(update.peer)
	case update.fetch == nil:
		plan.SetPeerNarrow(update.peer, update.narrow)
		plan.AddPeerChunks(update.peer, update.chunks, now)
	case update.err == nil:
		plan.FetchDone(*update.fetch, now)
	default:
		failure, wait := classify(update.err)
		plan.FetchFailed(*update.fetch, failure, wait, now)
		f.common.Log.Debug("fetching a chunk failed", zap.Uint32("chunk", uint32(update.fetch.Chunk)), zap.String("peer", string(update.fetch.Peer)), figbank.ErrorField(update.err))
	}
}

func (f *Fetcher) event(name, chunk, detail string) {
	f.common.Recorder.Record(&schema.Event{Part: "transfer", Name: name, Chunk: chunk, Detail: detail})
}

func chunkName(fetch swarm.Fetch) string {
	return strconv.FormatUint(uint64(fetch.Chunk), 10)
}

func sendUpdate(ctx context.Context, inbox chan<- planUpdate, update planUpdate) {
	select {
	case inbox <- update:
	case <-ctx.Done():
	}
}
