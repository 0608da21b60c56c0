// Package loadshare lets gateways tell each other how many requests each has at
// each upstream, so that together they do not overrun one whose own count lags.
// Within a failure domain each tells each; one of a domain tells the gateways
// elsewhere what the domain has in all, so that the cost between domains does not
// grow with the product of gateways.
package loadshare

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/crashers"
	"figbank/dispatch"
	"figbank/feed"
	"figbank/schema"
	"figbank/transport"
)

const (
	// interval is between two reports within a failure domain; with one in farEvery
	// the others are told too.
	interval = 100 * time.Millisecond
	farEvery = 3
)

// Share tells other gateways this one's load and takes in theirs. It is safe for
// concurrent use.
type Share struct {
	common     figbank.Common
	dispatcher *dispatch.Dispatcher
	view       *feed.View
	pool       *transport.Pool
	self       *schema.Member

	mu      sync.Mutex
	reports *reports
}

// New returns a share for a gateway.
func New(common figbank.Common, dispatcher *dispatch.Dispatcher, view *feed.View, pool *transport.Pool, self *schema.Member) *Share {
	return &Share{
		common: common.For("loadshare"), dispatcher: dispatcher, view: view, pool: pool, self: self, reports: newReports(self),
	}
}

// Run tells the other gateways until ctx ends.
func (s *Share) Run(ctx context.Context) {
	ticks, stop := s.common.Clock.Tick(interval)
	defer stop()
	near, far := newSenders(ctx, s.pool), newSenders(ctx, s.pool)
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		table := s.dispatcher.Table()
		if table == nil {
			continue
		}
		own := ownLoads(table)
		near.tell(s.gateways(true), s.message(own, crashers.Near))
		sum, reportsDomain := s.review(table, own)
		if reportsDomain && round%farEvery == 0 {
			far.tell(s.gateways(false), s.message(sum, crashers.Far))
		}
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

func (s *Share) hear(message *schema.LoadReport) {
	now := s.common.Clock.Now()
	from := crashers.Far
	if message.GetFailureDomain() == s.self.GetFailureDomain() {
		from = crashers.Near
	}
	s.dispatcher.Crashers().Hear(now, message.GetCrashes(), from)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports.hear(now, message)
}

// review gives each upstream the sum of what the other gateways have there. It
// returns what the failure domain has in all and whether this gateway tells it.
func (s *Share) review(table *dispatch.Table, own map[key]int64) (sum map[key]int64, reportsDomain bool) {
	now := s.common.Clock.Now()
	s.mu.Lock()
	s.reports.expire(now)
	others := s.reports.others()
	sum, reportsDomain = s.reports.domainSum(own), s.reports.reportsDomain()
	s.mu.Unlock()
	table.Loads(func(id figbank.UpstreamID, born int64, load *dispatch.Load) {
		load.HearPeers(now, others[key{id: id, born: born}])
	})
	return sum, reportsDomain
}

// ownLoads maps the upstreams at which this gateway has requests.
func ownLoads(table *dispatch.Table) map[key]int64 {
	own := map[key]int64{}
	table.Loads(func(id figbank.UpstreamID, born int64, load *dispatch.Load) {
		if running := load.Own(); running > 0 {
			own[key{id: id, born: born}] = running
		}
	})
	return own
}

// message tells gateways at that distance of loads, and of requests that crash upstreams.
func (s *Share) message(loads map[key]int64, to crashers.Scope) *schema.LoadReport {
	message := &schema.LoadReport{
		From: s.self.GetId(), FailureDomain: s.self.GetFailureDomain(), WholeDomain: to == crashers.Far,
		Crashes: s.dispatcher.Crashers().Report(s.common.Clock.Now(), to),
	}
	for k, running := range loads {
		message.Loads = append(message.Loads, &schema.InstanceLoad{Id: string(k.id), BornUnixMilli: k.born, Running: running})
	}
	return message
}

// gateways lists the other gateways, those of this failure domain or those elsewhere.
func (s *Share) gateways(near bool) []figbank.Address {
	var addresses []figbank.Address
	for _, member := range s.view.Members() {
		if member.GetRole() != schema.MemberRole_MEMBER_ROLE_GATEWAY || member.GetId() == s.self.GetId() {
			continue
		}
		if near == (member.GetFailureDomain() == s.self.GetFailureDomain()) {
			addresses = append(addresses, figbank.Address(member.GetAddress()))
		}
	}
	return addresses
}
