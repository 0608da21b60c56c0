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

// reconnectDelay is between tries to reach a replica.
const reconnectDelay = 200 * time.Millisecond

// Subscriber keeps a view up to date: a replica's from every other replica, that
// of any other process from a few.
type Subscriber struct {
	common figbank.Common
	view   *View
	pool   *transport.Pool
	self   atomic.Pointer[schema.Member]
	engine atomic.Pointer[schema.EngineState]
	urgent chan struct{}
	// members is the version of the view's members that was chosen from last.
	members atomic.Uint64

	mu      sync.Mutex
	seeds   []figbank.Address
	running map[figbank.Address]context.CancelFunc
	// reached holds the life of the feed from each replica that feeds this process.
	reached map[figbank.Address]context.Context
	ctx     context.Context //nolint:containedctx // the life of the subscriber, from which each feed's is derived
	group   sync.WaitGroup
	stop    context.CancelFunc
}

// NewSubscriber follows the replicas at the seeds, and those that they name,
// until Close.
func NewSubscriber(common figbank.Common, view *View, pool *transport.Pool, self *schema.Member, seeds []figbank.Address) *Subscriber {
	ctx, stop := context.WithCancel(context.Background())
	s := &Subscriber{
		common: common.For("feed"), view: view, pool: pool, seeds: seeds, ctx: ctx, stop: stop,
		running: map[figbank.Address]context.CancelFunc{}, reached: map[figbank.Address]context.Context{},
		urgent: make(chan struct{}),
	}
	s.self.Store(self)
	s.update()
	view.Watch(s.hearMembers)
	return s
}

// Close ends all feeds.
func (s *Subscriber) Close() {
	s.stop()
	s.group.Wait()
}

// SetSeeds replaces the addresses to begin from.
func (s *Subscriber) SetSeeds(seeds []figbank.Address) {
	s.mu.Lock()
	s.seeds = seeds
	s.mu.Unlock()
	s.update()
}

// SetEngine tells the replicas at once what has changed about the engine.
func (s *Subscriber) SetEngine(state *schema.EngineState) {
	s.engine.Store(state)
	s.hurry()
}

// SetMember tells the replicas at once what has changed about this process.
func (s *Subscriber) SetMember(member *schema.Member) {
	s.self.Store(member)
	s.hurry()
}

func (s *Subscriber) hurry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.urgent)
	s.urgent = make(chan struct{})
}

// Reached tells whether any replica is feeding this process.
func (s *Subscriber) Reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reached) > 0
}

// hearMembers chooses again when the view's members have changed.
func (s *Subscriber) hearMembers() {
	version := s.view.membersVersion()
	if s.members.Swap(version) != version {
		s.update()
	}
}

// update follows the replicas that are chosen now, and no others.
func (s *Subscriber) update() {
	candidates := s.candidates()
	wanted := wantedOf(len(candidates))
	if s.self.Load().GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
		wanted = len(candidates)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	for i := range candidates {
		candidates[i].reached = s.reached[candidates[i].address] != nil
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
		s.group.Go(func() { s.follow(ctx, address) })
	}
}

// candidates lists the replicas that are seeds, named or reached, without this
// process itself.
func (s *Subscriber) candidates() []candidate {
	self := s.self.Load()
	near := map[figbank.Address]bool{}
	s.mu.Lock()
	addresses := slices.Concat(s.seeds, slices.Collect(maps.Keys(s.reached)))
	s.mu.Unlock()
	for _, member := range s.view.Members() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
			address := figbank.Address(member.GetAddress())
			addresses = append(addresses, address)
			near[address] = member.GetFailureDomain() == self.GetFailureDomain()
		}
	}
	slices.Sort(addresses)
	var list []candidate
	for _, address := range slices.Compact(addresses) {
		if address != figbank.Address(self.GetAddress()) {
			list = append(list, candidate{address: address, near: near[address]})
		}
	}
	return list
}

// follow keeps one feed open until ctx ends.
func (s *Subscriber) follow(ctx context.Context, address figbank.Address) {
	for ctx.Err() == nil {
		s.followOnce(ctx, address)
		select {
		case <-ctx.Done():
		case <-s.common.Clock.After(reconnectDelay):
		}
	}
}

func (s *Subscriber) followOnce(life context.Context, address figbank.Address) {
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	opening, cancelOpening := context.WithTimeout(ctx, silence)
	stream, err := s.pool.Open(opening, address, schema.StreamKind_STREAM_KIND_FEED)
	cancelOpening()
	if err != nil {
		return
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	defer s.left(life, address)
	heard := make(chan struct{}, 1)
	go watchSilence(ctx, func() { s.lost(cancel, address) }, s.common.Clock, heard)
	go s.refresh(ctx, cancel, stream)
	for {
		update := &schema.FeedUpdate{}
		if err := stream.Receive(update); err != nil {
			return
		}
		if !s.arrived(life, address) {
			return
		}
		signal(heard)
		s.view.apply(address, update)
	}
}

// lost gives up a session whose feed fell silent: its connection may be dead
// without notice.
func (s *Subscriber) lost(cancel context.CancelFunc, address figbank.Address) {
	s.common.Log.Warn("feed fell silent", zap.String("replica", string(address)))
	s.pool.Drop(address)
	cancel()
}

// refresh keeps the subscription alive and tells news of the engine at once.
func (s *Subscriber) refresh(ctx context.Context, cancel context.CancelFunc, stream *transport.Stream) {
	defer cancel()
	for {
		s.mu.Lock()
		urgent := s.urgent
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
		case <-urgent:
		case <-s.common.Clock.After(keepAlive):
		}
	}
}

// arrived notes an update of a feed. It tells whether the feed is still wanted:
// the same replica may be followed anew before the old feed has ended.
func (s *Subscriber) arrived(life context.Context, address figbank.Address) bool {
	s.mu.Lock()
	if life.Err() != nil {
		s.mu.Unlock()
		return false
	}
	before := s.reached[address]
	s.reached[address] = life
	s.mu.Unlock()
	if before == nil {
		s.common.Log.Info("replica reached", zap.String("replica", string(address)))
		s.update()
	}
	return true
}

// left notes that a feed has ended. Processes that are no replicas hear all from
// each replica, so that the others' lists suffice while there are any.
func (s *Subscriber) left(life context.Context, address figbank.Address) {
	s.mu.Lock()
	if s.reached[address] != life {
		s.mu.Unlock()
		return
	}
	delete(s.reached, address)
	others := len(s.reached) > 0
	s.mu.Unlock()
	if life.Err() != nil {
		s.common.Log.Info("replica no longer followed", zap.String("replica", string(address)))
	} else {
		s.common.Log.Warn("replica lost", zap.String("replica", string(address)))
	}
	s.view.lose(address, others && s.self.Load().GetRole() != schema.MemberRole_MEMBER_ROLE_REPLICA)
	s.update()
}
