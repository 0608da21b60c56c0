// Package loadshare lets gateways report to each other how many requests each of them has
// at each upstream. Without these reports they could together overload an upstream, since
// the load that the upstream itself reports arrives late. Within a failure domain every
// gateway reports to every other. One gateway of each domain reports the domain's sum to the
// gateways of other domains. Therefore the traffic between two domains does not grow with the
// product of their numbers of gateways.
package loadshare

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/crashers"
	"figbank/dispatch"
	"figbank/feed"
	"figbank/load"
	"figbank/schema"
	"figbank/transport"
)

const (
	// interval is the time between two reports within a failure domain. Other domains get a
	// report every roundsPerOtherDomainReport intervals.
	interval                   = 100 * time.Millisecond
	roundsPerOtherDomainReport = 3
)

// Exchanger sends this gateway's reports of loads, crashes and limits to other gateways and
// applies theirs. It is safe for concurrent use.
type Exchanger struct {
	common     figbank.Common
	dispatcher *dispatch.Dispatcher
	view       *feed.View
	pool       *transport.Pool
	self       *schema.Member

	mu      sync.Mutex
	reports *reports
}

// New returns the exchanger of a gateway. It sends nothing until Run is called.
func New(common figbank.Common, dispatcher *dispatch.Dispatcher, view *feed.View, pool *transport.Pool, self *schema.Member) *Exchanger {
	return &Exchanger{
		common: common.Named("loadshare"), dispatcher: dispatcher, view: view, pool: pool, self: self, reports: newReports(self),
	}
}

// Run sends reports to the other gateways until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticks, stop := e.common.Clock.Tick(interval)
	defer stop()
	sameDomain, otherDomains := newSenders(ctx, e.pool), newSenders(ctx, e.pool)
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		table := e.dispatcher.Table()
		if table == nil {
			continue
		}
		own, now := ownLoads(table), e.common.Clock.Now()
		sameDomain.send(now, e.gateways(true), e.newReport(now, table, own, crashers.SameDomain))
		sum, reportsDomain := e.updateLoads(table, own)
		if reportsDomain && round%roundsPerOtherDomainReport == 0 {
			otherDomains.send(now, e.gateways(false), e.newReport(now, table, sum, crashers.OtherDomain))
		}
	}
}

// Serve receives the reports of one other gateway until its stream ends.
func (e *Exchanger) Serve(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	for {
		message := &schema.LoadReport{}
		if err := stream.Receive(message); err != nil {
			return
		}
		e.receive(message)
	}
}

func (e *Exchanger) receive(message *schema.LoadReport) {
	now := e.common.Clock.Now()
	from := crashers.OtherDomain
	if message.GetFailureDomain() == e.self.GetFailureDomain() {
		from = crashers.SameDomain
	}
	e.dispatcher.Crashers().Receive(now, message.GetCrashes(), from)
	e.applyLimits(now, message.GetLimits(), from)
	e.dispatcher.Refusals().Receive(now, message.GetRefused())
	applySpeeds(now, message, e.dispatcher.Table())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.add(now, message)
}

// updateLoads stores in each upstream's load the sum of the other gateways' requests. It
// returns the sum of this failure domain, and whether this gateway reports that sum to the
// other domains.
func (e *Exchanger) updateLoads(table *dispatch.Table, own map[key]int64) (sum map[key]int64, reportsDomain bool) {
	now := e.common.Clock.Now()
	e.mu.Lock()
	e.reports.expire(now)
	others := e.reports.others()
	sum, reportsDomain = e.reports.domainSum(own), e.reports.reportsDomain()
	e.mu.Unlock()
	table.ForEachLoad(func(id figbank.UpstreamID, born int64, load *load.Upstream) {
		load.RecordPeers(now, others[key{id: id, born: born}])
	})
	return sum, reportsDomain
}

// ownLoads returns how many requests this gateway has at each upstream, without those at
// which it has none.
func ownLoads(table *dispatch.Table) map[key]int64 {
	own := map[key]int64{}
	table.ForEachLoad(func(id figbank.UpstreamID, born int64, load *load.Upstream) {
		if running := load.Own(); running > 0 {
			own[key{id: id, born: born}] = running
		}
	})
	return own
}

// newReport returns a report of the loads, of requests that crash upstreams, and of the limits
// that upstreams name, for the gateways at distance to. It marks the crashes as reported.
func (e *Exchanger) newReport(now time.Time, table *dispatch.Table, loads map[key]int64, to crashers.Distance) *schema.LoadReport {
	message := &schema.LoadReport{
		From: e.self.GetId(), FailureDomain: e.self.GetFailureDomain(), WholeDomain: to == crashers.OtherDomain,
		Crashes: e.dispatcher.Crashers().Report(now, to), Limits: namedLimits(now, table, to),
	}
	if to == crashers.SameDomain {
		message.Refused = e.dispatcher.Refusals().Report()
	}
	for k, running := range loads {
		message.Loads = append(message.Loads, &schema.InstanceLoad{Id: string(k.id), BornUnixMilli: k.born, Running: running})
	}
	addSpeeds(now, message, table)
	return message
}

// gateways returns the addresses of other gateways: if sameDomain is set, of those in this
// failure domain, otherwise of those in other domains.
func (e *Exchanger) gateways(sameDomain bool) []figbank.Address {
	var addresses []figbank.Address
	for _, member := range e.view.Members() {
		if member.GetRole() != schema.MemberRole_MEMBER_ROLE_GATEWAY || member.GetId() == e.self.GetId() {
			continue
		}
		if sameDomain == (member.GetFailureDomain() == e.self.GetFailureDomain()) {
			addresses = append(addresses, figbank.Address(member.GetAddress()))
		}
	}
	return addresses
}
