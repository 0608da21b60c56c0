package feed

import (
	"context"
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

// Subscriber keeps a view up to date from every replica that it can reach.
type Subscriber struct {
	common figbank.Common
	view   *View
	pool   *transport.Pool
	self   atomic.Pointer[schema.Member]
	engine atomic.Pointer[schema.EngineState]
	urgent chan struct{}

	mu      sync.Mutex
	seeds   []figbank.Address
	running map[figbank.Address]context.CancelFunc
	reached map[figbank.Address]bool
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
		running: map[figbank.Address]context.CancelFunc{}, reached: map[figbank.Address]bool{},
		urgent: make(chan struct{}),
	}
	s.self.Store(self)
	s.update()
	view.Watch(s.update)
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

// update follows replicas that became known. One that is no longer named is
// still followed while it can be reached.
func (s *Subscriber) update() {
	replicas := s.replicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range replicas {
		if _, found := s.running[address]; found || s.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx) //nolint:gosec // ended with the subscriber, or in forget
		s.running[address] = cancel
		s.group.Go(func() { s.follow(ctx, address) })
	}
}

// replicas lists the addresses to follow, without this process's own.
func (s *Subscriber) replicas() []figbank.Address {
	s.mu.Lock()
	addresses := slices.Clone(s.seeds)
	s.mu.Unlock()
	for _, member := range s.view.Members() {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_REPLICA {
			addresses = append(addresses, figbank.Address(member.GetAddress()))
		}
	}
	return slices.DeleteFunc(addresses, func(a figbank.Address) bool { return a == figbank.Address(s.self.Load().GetAddress()) })
}

// follow keeps one feed open as long as its replica is named or reached.
func (s *Subscriber) follow(ctx context.Context, address figbank.Address) {
	for ctx.Err() == nil {
		s.followOnce(ctx, address)
		if !slices.Contains(s.replicas(), address) {
			s.forget(address)
			return
		}
		select {
		case <-ctx.Done():
		case <-s.common.Clock.After(reconnectDelay):
		}
	}
}

func (s *Subscriber) followOnce(ctx context.Context, address figbank.Address) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening, cancelOpening := context.WithTimeout(ctx, silence)
	stream, err := s.pool.Open(opening, address, schema.StreamKind_STREAM_KIND_FEED)
	cancelOpening()
	if err != nil {
		return
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	heard := make(chan struct{}, 1)
	go watchSilence(ctx, func() { s.lost(cancel, address) }, s.common.Clock, heard)
	go s.refresh(ctx, cancel, stream)
	for {
		update := &schema.FeedUpdate{}
		if err := stream.Receive(update); err != nil {
			s.mark(address, false)
			return
		}
		s.mark(address, true)
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

func (s *Subscriber) mark(address figbank.Address, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reached[address] == reached {
		return
	}
	if reached {
		s.reached[address] = true
		s.common.Log.Info("replica reached", zap.String("replica", string(address)))
		return
	}
	delete(s.reached, address)
	s.common.Log.Warn("replica lost", zap.String("replica", string(address)))
}

func (s *Subscriber) forget(address figbank.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[address]()
	delete(s.running, address)
}
