// Package reservation lets the gateways share the places of an upstream. One gateway of the
// upstream's failure domain keeps them: the others ask it for a place right before they send a
// request. It is designed for a load that rises to saturation within a second, while many
// gateways choose at the same moment: by load counts that lag, all of them would choose the same
// upstream, and the requests would wait in its queue, where nothing can move or refuse them.
//
// A keeper that has just started does not know all upstreams yet, and says so. A gateway then asks
// another keeper. If it cannot ask one that knows the upstream, it goes by its own counts.
package reservation

import (
	"time"

	"golang.org/x/time/rate"

	"figbank"
)

const (
	// rateShare is the share of a limited upstream's rate that its keeper hands out, and rateBurst
	// the number of places that it may hand out at once. While gateways disagree about the
	// keeper, two of them hand out places.
	rateShare = 0.75
	rateBurst = 2
	// fallbackShare and fallbackBurst are the part of these for gateways that another keeper does
	// not answer. That keeper may hand out places to others.
	fallbackShare = 0.3
	fallbackBurst = 1
)

type (
	// Key identifies one incarnation of an upstream.
	Key struct {
		Upstream      figbank.UpstreamID
		BornUnixMilli int64
	}

	// Ticket identifies a request: the stream on which a gateway asks, and the request's id on
	// that stream.
	Ticket struct {
		Stream uint64
		ID     uint64
	}

	// Ask asks for a place.
	Ask struct {
		Key          Key
		PromptTokens int
		// Allowed is the longest time until the answer begins.
		Allowed time.Duration
		// KeepFree is the number of places that must stay free, and Slots the number of all; without KeepFree they don't count.
		KeepFree, Slots int
		// Lifetime is how long the place may be held.
		Lifetime time.Duration
		// PerSecond is the rate of requests that the upstream takes, 0 if it has no limit.
		PerSecond figbank.RequestsPerSecond
		// Fallback is set if another keeper was asked first.
		Fallback bool
		// Predict returns the time until the answer begins on an upstream with the given number
		// of requests, whose prompts of pendingTokens in all are still to be read.
		Predict func(outstanding, pendingTokens int) time.Duration
	}

	// Verdict is the answer to an Ask.
	Verdict struct {
		Granted bool
		// Predicted is the predicted time until the answer begins.
		Predicted time.Duration
		// Outstanding is the number of places that were taken before.
		Outstanding int
	}

	// Book holds which places of upstreams are taken. It is not safe for concurrent use.
	Book struct {
		accounts map[Key]*account
		// places holds the account of each ticket.
		places map[Ticket]*account
	}

	// account holds the places of one upstream.
	account struct {
		key               Key
		held              map[Ticket]*place
		limiter, fallback *rate.Limiter
	}

	place struct {
		// pendingTokens is the length of the prompt until the answer has begun, then 0.
		pendingTokens int
		expires       time.Time
	}
)

// NewBook returns a book in which no places are taken.
func NewBook() *Book {
	return &Book{accounts: map[Key]*account{}, places: map[Ticket]*account{}}
}

// Reserve takes a place if the answer is predicted to begin in the allowed time and the
// upstream's rate permits it.
func (b *Book) Reserve(now time.Time, ticket Ticket, ask Ask) Verdict {
	a := b.account(now, ask.Key)
	outstanding, pending := len(a.held), a.pendingTokens()
	verdict := Verdict{Predicted: ask.Predict(outstanding, pending), Outstanding: outstanding}
	if verdict.Predicted > ask.Allowed || ask.KeepFree > 0 && ask.Slots > 0 && outstanding+1+ask.KeepFree > ask.Slots || !a.allowsRate(now, ask) {
		return verdict
	}
	verdict.Granted = true
	b.hold(now, a, ticket, ask)
	return verdict
}

// Hold takes a place for a request that has been sent already.
func (b *Book) Hold(now time.Time, ticket Ticket, ask Ask) {
	b.hold(now, b.account(now, ask.Key), ticket, ask)
}

// Begin records that the answer to a request has begun.
func (b *Book) Begin(ticket Ticket) {
	if a, found := b.places[ticket]; found {
		a.held[ticket].pendingTokens = 0
	}
}

// End frees the place of a request.
func (b *Book) End(ticket Ticket) {
	a, found := b.places[ticket]
	if !found {
		return
	}
	delete(b.places, ticket)
	delete(a.held, ticket)
	if len(a.held) == 0 && a.limiter == nil {
		delete(b.accounts, a.key)
	}
}

// EndStream frees the places of all requests of a stream.
func (b *Book) EndStream(stream uint64) {
	for ticket := range b.places {
		if ticket.Stream == stream {
			b.End(ticket)
		}
	}
}

// account returns the account of an upstream, without places that have expired. The first call
// for an upstream creates it.
func (b *Book) account(now time.Time, key Key) *account {
	a, found := b.accounts[key]
	if !found {
		a = &account{key: key, held: map[Ticket]*place{}}
		b.accounts[key] = a
	}
	for ticket, held := range a.held {
		if now.After(held.expires) {
			delete(a.held, ticket)
			delete(b.places, ticket)
		}
	}
	return a
}

func (b *Book) hold(now time.Time, a *account, ticket Ticket, ask Ask) {
	a.held[ticket] = &place{pendingTokens: ask.PromptTokens, expires: now.Add(ask.Lifetime)}
	b.places[ticket] = a
}

func (a *account) pendingTokens() int {
	sum := 0
	for _, held := range a.held {
		sum += held.pendingTokens
	}
	return sum
}

// allowsRate counts one request against the rate of an upstream, and reports whether the rate
// permits it. A rate of 0 means that there is no limit.
func (a *account) allowsRate(now time.Time, ask Ask) bool {
	if ask.PerSecond <= 0 {
		// Another gateway may still know of a limit, so what was handed out counts for a while.
		if a.limiter != nil && a.limiter.TokensAt(now) >= rateBurst {
			a.limiter, a.fallback = nil, nil
		}
		return true
	}
	limit, fallback := rate.Limit(rateShare*ask.PerSecond), rate.Limit(fallbackShare*ask.PerSecond)
	switch {
	case a.limiter == nil:
		a.limiter, a.fallback = rate.NewLimiter(limit, rateBurst), rate.NewLimiter(fallback, fallbackBurst)
	case a.limiter.Limit() != limit:
		a.limiter.SetLimitAt(now, limit)
		a.fallback.SetLimitAt(now, fallback)
	}
	if ask.Fallback && a.fallback.TokensAt(now) < 1 {
		return false
	}
	return a.limiter.AllowN(now, 1) && (!ask.Fallback || a.fallback.AllowN(now, 1))
}
