// Package loadshare lets gateways tell each other how many requests each has at
// each upstream, so that together they do not overrun one whose own count lags:
// those of one failure domain often, the others less so.
package loadshare

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/dispatch"
	"figbank/feed"
	"figbank/schema"
	"figbank/transport"
)

const (
	// interval is between two reports within a failure domain; one in farEvery goes
	// to the others too.
	interval = 100 * time.Millisecond
	farEvery = 3
	// lifetime is how long a report counts.
	lifetime = time.Second
	// openTimeout bounds the opening of a stream to another gateway.
	openTimeout = 500 * time.Millisecond
)

type (
	// Share tells other gateways this one's load and takes in theirs. It is safe
	// for concurrent use.
	Share struct {
		common     figbank.Common
		dispatcher *dispatch.Dispatcher
		view       *feed.View
		pool       *transport.Pool
		self       *schema.Member

		mu      sync.Mutex
		reports map[string]*report
	}

	report struct {
		at    time.Time
		loads map[key]int64
	}

	key struct {
		id   figbank.UpstreamID
		born int64
	}
)

// New returns a share for a gateway.
func New(common figbank.Common, dispatcher *dispatch.Dispatcher, view *feed.View, pool *transport.Pool, self *schema.Member) *Share {
	return &Share{
		common: common.For("loadshare"), dispatcher: dispatcher, view: view, pool: pool, self: self, reports: map[string]*report{},
	}
}

// Run tells the other gateways until ctx ends.
func (s *Share) Run(ctx context.Context) {
	ticks, stop := s.common.Clock.Tick(interval)
	defer stop()
	streams := map[figbank.Address]*transport.Stream{}
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		s.tell(ctx, streams, round%farEvery == 0)
		s.apply()
	}
}

// Serve takes in one other gateway's reports.
func (s *Share) Serve(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	for {
		message := &schema.LoadReport{}
		if err := stream.Receive(message); err != nil {
			return
		}
		s.hear(message)
	}
}

func (s *Share) tell(ctx context.Context, streams map[figbank.Address]*transport.Stream, far bool) {
	message := s.own()
	for _, address := range s.others(far) {
		stream := streams[address]
		if stream == nil {
			opening, cancel := context.WithTimeout(ctx, openTimeout)
			opened, err := s.pool.Open(opening, address, schema.StreamKind_STREAM_KIND_LOAD)
			cancel()
			if err != nil {
				continue
			}
			stream = opened
			streams[address] = stream
		}
		if err := stream.Send(message); err != nil {
			stream.Close()
			delete(streams, address)
		}
	}
}

// own lists the upstreams at which this gateway has requests.
func (s *Share) own() *schema.LoadReport {
	message := &schema.LoadReport{From: s.self.GetId()}
	table := s.dispatcher.Table()
	if table == nil {
		return message
	}
	table.Loads(func(id figbank.UpstreamID, born int64, load *dispatch.Load) {
		if running := load.Own(); running > 0 {
			message.Loads = append(message.Loads, &schema.InstanceLoad{Id: string(id), BornUnixMilli: born, Running: running})
		}
	})
	return message
}

// others lists the other gateways of this failure domain, and with far set those
// elsewhere too.
func (s *Share) others(far bool) []figbank.Address {
	var addresses []figbank.Address
	for _, member := range s.view.Members() {
		if member.GetRole() != schema.MemberRole_MEMBER_ROLE_GATEWAY || member.GetId() == s.self.GetId() {
			continue
		}
		if far || member.GetFailureDomain() == s.self.GetFailureDomain() {
			addresses = append(addresses, figbank.Address(member.GetAddress()))
		}
	}
	return addresses
}

func (s *Share) hear(message *schema.LoadReport) {
	loads := map[key]int64{}
	for _, load := range message.GetLoads() {
		loads[key{id: figbank.UpstreamID(load.GetId()), born: load.GetBornUnixMilli()}] = load.GetRunning()
	}
	s.mu.Lock()
	s.reports[message.GetFrom()] = &report{at: s.common.Clock.Now(), loads: loads}
	s.mu.Unlock()
}

// apply gives each upstream the sum of what the other gateways have there.
func (s *Share) apply() {
	table := s.dispatcher.Table()
	if table == nil {
		return
	}
	now := s.common.Clock.Now()
	sums := map[key]int64{}
	s.mu.Lock()
	for from, r := range s.reports {
		if now.Sub(r.at) > lifetime {
			delete(s.reports, from)
			continue
		}
		for k, running := range r.loads {
			sums[k] += running
		}
	}
	s.mu.Unlock()
	table.Loads(func(id figbank.UpstreamID, born int64, load *dispatch.Load) {
		load.HearPeers(now, sums[key{id: id, born: born}])
	})
}
