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
)

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
	// running holds the feeds that are to be kept open, by the replicas' addresses.
	running map[figbank.Address]*runningFeed
	// asked counts the replicas that were asked because others did not deliver in time, since a
	// replica last fed this process. askedAt is when the last of them was.
	asked   int
	askedAt time.Time
	// lags tells whether this process is behind what its feeds know of the log.
	lags  *lagMeter
	ctx   context.Context //nolint:containedctx // the subscriber's lifetime; the context of each feed derives from it
	group sync.WaitGroup
	stop  context.CancelFunc
}

// NewSubscriber returns a Subscriber that runs until Close. seeds are the addresses of replicas
// that it knows at the start. It learns the addresses of other replicas from its feeds.
func NewSubscriber(common figbank.Common, view *View, pool *transport.Pool, self *schema.Member, seeds []figbank.Address) *Subscriber {
	ctx, stop := context.WithCancel(context.Background())
	s := &Subscriber{
		common: common.Named("feed"), view: view, pool: pool, seeds: seeds, ctx: ctx, stop: stop,
		running:    map[figbank.Address]*runningFeed{},
		refreshNow: make(chan struct{}),
	}
	s.lags = newLagMeter(s.common)
	s.self.Store(self)
	s.update()
	view.Watch(s.membersChanged)
	// Replicas that hear at once what this process has need not send it.
	view.fleet.Watch(func(*schema.Fleet) { s.sendRefresh() })
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
	return s.connectedFeeds() > 0
}

// connectedFeeds returns how many replicas feed this process. The caller must hold the lock.
func (s *Subscriber) connectedFeeds() int {
	count := 0
	for _, f := range s.running {
		if f.state == feedConnected {
			count++
		}
	}
	return count
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
		if f, found := s.running[candidates[i].address]; found {
			candidates[i].state = f.state
		}
	}
	chosen := choose(figbank.ProcessID(s.self.Load().GetId()), candidates, wanted)
	for address, f := range s.running {
		if !slices.Contains(chosen, address) {
			f.cancel()
			delete(s.running, address)
		}
	}
	for _, address := range chosen {
		if _, found := s.running[address]; !found {
			s.startFeed(address)
		}
	}
}

// startFeed starts the feed from one replica. The caller must hold the lock.
func (s *Subscriber) startFeed(address figbank.Address) {
	ctx, cancel := context.WithCancel(s.ctx)
	f := &runningFeed{address: address, ctx: ctx, cancel: cancel}
	s.running[address] = f
	s.group.Go(func() { s.runFeed(f) })
}

// candidates lists the replicas that are seeds, known members or connected, without
// this process itself.
func (s *Subscriber) candidates() []candidate {
	self := s.self.Load()
	sameDomain := map[figbank.Address]bool{}
	s.mu.Lock()
	addresses := slices.Clone(s.seeds)
	for address, f := range s.running {
		if f.state == feedConnected {
			addresses = append(addresses, address)
		}
	}
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
