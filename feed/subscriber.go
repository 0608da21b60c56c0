package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
)

// reconnectDelay is the pause between attempts to connect to a replica.
const reconnectDelay = 200 * time.Millisecond

// Subscriber keeps a view up to date. A replica subscribes to every other replica,
// any other process to a few of them. It is safe for concurrent use.
type Subscriber struct {
	common figbank.Common
	view   *View
	pool   *transport.Pool
	self   atomic.Pointer[schema.Member]
	engine atomic.Pointer[schema.EngineState]
	// refreshNow is closed and replaced when this process or its engine has changed, so that every
	// feed sends a refresh at once. mu guards it.
	refreshNow chan struct{}
	// chosenVersion is the version of the view's members at the last choice of
	// replicas.
	chosenVersion atomic.Uint64

	mu    sync.Mutex
	seeds []figbank.Address
	// running holds the functions that stop the feeds, by the replicas' addresses.
	running map[figbank.Address]context.CancelFunc
	// connected holds, for each replica that feeds this process, the context of its
	// feed.
	connected map[figbank.Address]context.Context
	ctx       context.Context //nolint:containedctx // the subscriber's lifetime; the context of each feed derives from it
	group     sync.WaitGroup
	stop      context.CancelFunc
}

// NewSubscriber returns a Subscriber that runs until Close. seeds are the addresses of replicas
// that it knows at the start. It learns the addresses of other replicas from its feeds.
func NewSubscriber(common figbank.Common, view *View, pool *transport.Pool, self *schema.Member, seeds []figbank.Address) *Subscriber {
	ctx, stop := context.WithCancel(context.Background())
	s := &Subscriber{
		common: common.Named("feed"), view: view, pool: pool, seeds: seeds, ctx: ctx, stop: stop,
		running: map[figbank.Address]context.CancelFunc{}, connected: map[figbank.Address]context.Context{},
		refreshNow: make(chan struct{}),
	}
	s.self.Store(self)
	s.update()
	view.Watch(s.membersChanged)
	return s
}

// Close ends all feeds.
func (s *Subscriber) Close() {
	s.stop()
	s.group.Wait()
}

// SetSeeds replaces the seeds: the addresses of replicas that the subscriber knows without
// the view.
func (s *Subscriber) SetSeeds(seeds []figbank.Address) {
	s.mu.Lock()
	s.seeds = seeds
	s.mu.Unlock()
	s.update()
}

// SetEngine sends the new state of the engine to the replicas at once.
func (s *Subscriber) SetEngine(state *schema.EngineState) {
	s.engine.Store(state)
	s.sendRefresh()
}

// SetMember sends the new description of this process to the replicas at once.
func (s *Subscriber) SetMember(member *schema.Member) {
	s.self.Store(member)
	s.sendRefresh()
}

func (s *Subscriber) sendRefresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.refreshNow)
	s.refreshNow = make(chan struct{})
}

// Connected reports whether any replica feeds this process.
func (s *Subscriber) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connected) > 0
}

// membersChanged chooses replicas again when the view's members have changed.
func (s *Subscriber) membersChanged() {
	version := s.view.membersVersion()
	if s.chosenVersion.Swap(version) != version {
		s.update()
	}
}

// update starts the feeds from newly chosen replicas and stops those from replicas
// that are no longer chosen.
func (s *Subscriber) update() {
	candidates := s.candidates()
	wanted := wantedFeeds(len(candidates))
	if s.self.Load().GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
		wanted = len(candidates)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	for i := range candidates {
		candidates[i].connected = s.connected[candidates[i].address] != nil
	}
	chosen := choose(figbank.ProcessID(s.self.Load().GetId()), candidates, wanted)
	for address, cancel := range s.running {
		if !slices.Contains(chosen, address) {
			cancel()
			delete(s.running, address)
		}
	}
	for _, address := range chosen {
		if _, found := s.running[address]; found {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx) //nolint:gosec // ended with the subscriber, or when no longer chosen
		s.running[address] = cancel
		s.group.Go(func() { s.runFeed(ctx, address) })
	}
}

// candidates lists the replicas that are seeds, known members or connected, without
// this process itself.
func (s *Subscriber) candidates() []candidate {
	self := s.self.Load()
	sameDomain := map[figbank.Address]bool{}
	s.mu.Lock()
	addresses := slices.Concat(s.seeds, slices.Collect(maps.Keys(s.connected)))
	s.mu.Unlock()
	for _, member := range s.view.Members() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
			address := figbank.Address(member.GetAddress())
			addresses = append(addresses, address)
			sameDomain[address] = member.GetFailureDomain() == self.GetFailureDomain()
		}
	}
	slices.Sort(addresses)
	var list []candidate
	for _, address := range slices.Compact(addresses) {
		if address != figbank.Address(self.GetAddress()) {
			list = append(list, candidate{address: address, sameDomain: sameDomain[address]})
		}
	}
	return list
}

// runFeed keeps the feed from one replica open until ctx ends.
func (s *Subscriber) runFeed(ctx context.Context, address figbank.Address) {
	for ctx.Err() == nil {
		s.runFeedOnce(ctx, address)
		select {
		case <-ctx.Done():
		case <-s.common.Clock.After(reconnectDelay):
		}
	}
}

func (s *Subscriber) runFeedOnce(feedCtx context.Context, address figbank.Address) {
	ctx, cancel := context.WithCancel(feedCtx)
	defer cancel()
	openCtx, cancelOpen := context.WithTimeout(ctx, silenceTimeout)
	stream, err := s.pool.Open(openCtx, address, schema.StreamKind_STREAM_KIND_FEED)
	cancelOpen()
	if err != nil {
		return
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	defer s.markDisconnected(feedCtx, address)
	received := make(chan struct{}, 1)
	go watchSilence(ctx, func() { s.dropSession(cancel, address) }, s.common.Clock, received)
	go s.refresh(ctx, cancel, stream)
	for {
		update := &schema.FeedUpdate{}
		if err := stream.Receive(update); err != nil {
			return
		}
		if !s.markConnected(feedCtx, address) {
			return
		}
		signal(received)
		s.view.apply(address, update)
	}
}

// dropSession closes the session of a feed that receives nothing any more. The session's TCP
// connection may be dead without an error. Other streams of the session fail too.
func (s *Subscriber) dropSession(cancel context.CancelFunc, address figbank.Address) {
	s.common.Log.Warn("feed timed out", zap.String("replica", string(address)))
	s.pool.Drop(address)
	cancel()
}

// refresh sends the state of this process and its engine to a replica every keepAliveInterval, and
// at once after a change. These messages keep the subscription alive.
func (s *Subscriber) refresh(ctx context.Context, cancel context.CancelFunc, stream *transport.Stream) {
	defer cancel()
	for {
		s.mu.Lock()
		refreshNow := s.refreshNow
		s.mu.Unlock()
		message := &schema.Subscribe{
			Member: s.self.Load(), CommitIndex: s.view.Fleet().GetCommitIndex(), Engine: s.engine.Load(),
		}
		if err := stream.Send(message); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-refreshNow:
		case <-s.common.Clock.After(keepAliveInterval):
		}
	}
}

// markConnected records that a feed has received an update. It returns false and records nothing if
// the feed was stopped, since a newer feed from the same replica may already run.
func (s *Subscriber) markConnected(feedCtx context.Context, address figbank.Address) bool {
	s.mu.Lock()
	if feedCtx.Err() != nil {
		s.mu.Unlock()
		return false
	}
	before := s.connected[address]
	s.connected[address] = feedCtx
	s.mu.Unlock()
	if before == nil {
		s.common.Log.Info("replica connected", zap.String("replica", string(address)))
		s.update()
	}
	return true
}

// markDisconnected records that a feed has ended. A process that is not a replica gets the same
// members from every replica. While such a process is connected to another replica, it removes the
// list of members from the disconnected one.
func (s *Subscriber) markDisconnected(feedCtx context.Context, address figbank.Address) {
	s.mu.Lock()
	if s.connected[address] != feedCtx {
		s.mu.Unlock()
		return
	}
	delete(s.connected, address)
	others := len(s.connected) > 0
	s.mu.Unlock()
	if feedCtx.Err() != nil {
		s.common.Log.Info("feed closed", zap.String("replica", string(address)))
	} else {
		s.common.Log.Warn("replica disconnected", zap.String("replica", string(address)))
	}
	s.view.disconnect(address, others && s.self.Load().GetRole() != schema.MemberRole_MEMBER_ROLE_REPLICA)
	s.update()
}
