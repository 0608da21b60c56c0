package reservation

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"figbank"
	"figbank/dispatch"
	"figbank/feed"
	"figbank/schema"
	"figbank/transport"
)

const (
	// askTimeout bounds the wait for a keeper's answer. It is long for a link between two
	// regions, and short beside the objectives of requests.
	askTimeout = 40 * time.Millisecond
	// maxKeepers is how many keepers are asked in turn while the first ones do not answer, or do not
	// know the upstream.
	maxKeepers = 2
)

type (
	// Client asks keepers for places. It is safe for concurrent use.
	Client struct {
		common figbank.Common
		pool   *transport.Pool
		keeper *Keeper
		self   *schema.Member
		// ownStream identifies the requests of this process at its own keeper.
		ownStream uint64
		ids       atomic.Uint64
		// gateways holds the members that are gateways, by failure domain.
		gateways atomic.Pointer[map[figbank.FailureDomain][]*schema.Member]

		mu    sync.Mutex
		links map[figbank.Address]*link
	}

	// heldPlace is a place that a keeper has granted.
	heldPlace struct {
		id     uint64
		report func(*schema.Reservation)
	}
)

var _ dispatch.Reserver = (*Client)(nil)

// NewClient returns a client that finds keepers in the view. keeper is that of this process.
func NewClient(common figbank.Common, pool *transport.Pool, view *feed.View, keeper *Keeper, self *schema.Member) *Client {
	c := &Client{
		common: common.Named("reservation"), pool: pool, keeper: keeper, self: self, ownStream: keeper.openStream(),
		links: map[figbank.Address]*link{},
	}
	c.update(view.Members())
	view.Watch(func() { c.update(view.Members()) })
	return c
}

// update stores which gateways there are.
func (c *Client) update(members []*schema.Member) {
	gateways := map[figbank.FailureDomain][]*schema.Member{}
	for _, member := range members {
		if member.GetRole() == schema.MemberRole_MEMBER_ROLE_GATEWAY {
			domain := figbank.FailureDomain(member.GetFailureDomain())
			gateways[domain] = append(gateways[domain], member)
		}
	}
	c.gateways.Store(&gateways)
	c.dropLinks(members)
}

// dropLinks forgets the links to gateways that are gone. A link that is still used ends by itself.
func (c *Client) dropLinks(members []*schema.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.links, func(address figbank.Address, _ *link) bool {
		return !slices.ContainsFunc(members, func(m *schema.Member) bool { return m.GetAddress() == string(address) })
	})
}

// Reserve asks the keeper of the target for a place. It returns false if no keeper answers that knows the target.
func (c *Client) Reserve(ctx context.Context, target *dispatch.Target, ask dispatch.PlaceRequest) (dispatch.PlaceAnswer, bool) {
	message := &schema.Reservation{
		Id: c.ids.Add(1), Kind: schema.ReservationKind_RESERVATION_KIND_ASK, Service: string(ask.Service),
		Upstream: string(target.ID), BornUnixMilli: target.BornUnixMilli, PromptTokens: int64(ask.PromptTokens),
		AllowedMicroseconds: ask.Allowed.Microseconds(), LifetimeMicroseconds: ask.Lifetime.Microseconds(),
		KeepFree: int64(ask.KeepFree),
	}
	if rate, limited := target.Rate(c.common.Clock.Now()); limited {
		message.RatePerSecond = float64(rate)
	}
	for i, keeper := range c.keepersOf(target) {
		// The message to the keeper before may still wait to be sent.
		message := proto.CloneOf(message)
		message.Fallback = i > 0
		if answer, report := c.ask(ctx, keeper, message); answer != nil && !answer.GetUnknown() {
			held := &heldPlace{id: message.GetId(), report: report}
			return dispatch.PlaceAnswer{
				Granted: answer.GetGranted(), Predicted: time.Duration(answer.GetPredictedMicroseconds()) * time.Microsecond,
				Outstanding: int(answer.GetOutstanding()), Place: held,
			}, true
		}
	}
	return dispatch.PlaceAnswer{}, false
}

// ask asks one keeper. It returns nil if there is no answer in time, otherwise the answer and a
// function that reports to that keeper.
func (c *Client) ask(ctx context.Context, keeper *schema.Member, message *schema.Reservation) (*schema.ReservationAnswer, func(*schema.Reservation)) {
	if keeper.GetId() == c.self.GetId() {
		return c.keeper.handle(c.ownStream, message), func(report *schema.Reservation) { c.keeper.handle(c.ownStream, report) }
	}
	l := c.link(figbank.Address(keeper.GetAddress()))
	answer := l.ask(ctx, message)
	return answer, l.report
}

// keepersOf returns the gateways that keep the places of a target, the one to ask first in front.
// They belong to the target's failure domain, unless it has no gateway.
func (c *Client) keepersOf(target *dispatch.Target) []*schema.Member {
	gateways := *c.gateways.Load()
	candidates := gateways[target.FailureDomain]
	if len(candidates) == 0 {
		for _, members := range gateways {
			candidates = append(candidates, members...)
		}
	}
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b *schema.Member) int {
		return cmp.Compare(rendezvousHash(b, target), rendezvousHash(a, target))
	})
	return candidates[:min(maxKeepers, len(candidates))]
}

func rendezvousHash(gateway *schema.Member, target *dispatch.Target) uint64 {
	return xxhash.Sum64String(gateway.GetId() + "/" + string(target.ID))
}

func (c *Client) link(address figbank.Address) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.links[address]
	if !found {
		known = newLink(c.common, c.pool, address)
		c.links[address] = known
	}
	return known
}

// Begun reports that the answer to the request has begun.
func (p *heldPlace) Begun() {
	p.report(&schema.Reservation{Id: p.id, Kind: schema.ReservationKind_RESERVATION_KIND_BEGUN})
}

// End gives the place back.
func (p *heldPlace) End() {
	p.report(&schema.Reservation{Id: p.id, Kind: schema.ReservationKind_RESERVATION_KIND_END})
}
