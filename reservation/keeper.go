package reservation

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/dispatch"
	"figbank/placement"
	"figbank/schema"
	"figbank/transport"
)

// Keeper keeps the places of those upstreams for which other gateways ask this one. It is safe
// for concurrent use.
type Keeper struct {
	clock figbank.Clock
	// table returns the current table, which may be nil.
	table func() *dispatch.Table

	mu      sync.Mutex
	book    *Book
	streams uint64
}

// NewKeeper returns a keeper that looks up upstreams in the current table.
func NewKeeper(clock figbank.Clock, table func() *dispatch.Table) *Keeper {
	return &Keeper{clock: clock, table: table, book: NewBook()}
}

// Serve answers one gateway until its stream ends. Then the places that it holds are free.
func (k *Keeper) Serve(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	id := k.openStream()
	defer k.closeStream(id)
	for {
		message := &schema.Reservation{}
		if err := stream.Receive(message); err != nil {
			return
		}
		answer := k.handle(id, message)
		if answer == nil {
			continue
		}
		if err := stream.Send(answer); err != nil {
			return
		}
	}
}

// openStream returns an id for the requests of one gateway.
func (k *Keeper) openStream() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.streams++
	return k.streams
}

func (k *Keeper) closeStream(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.EndStream(id)
}

// handle carries out a message. Only a message of the kind ASK has an answer.
func (k *Keeper) handle(stream uint64, message *schema.Reservation) *schema.ReservationAnswer {
	ticket := Ticket{Stream: stream, ID: message.GetId()}
	now := k.clock.Now()
	table := k.table()
	ask, found := decodeAsk(table, now, message)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch message.GetKind() {
	case schema.ReservationKind_RESERVATION_KIND_ASK:
		verdict := Verdict{}
		if found {
			verdict = k.book.Reserve(now, ticket, ask)
		}
		return &schema.ReservationAnswer{
			Id: message.GetId(), Granted: verdict.Granted, Unknown: !found && !table.Knows(ask.Key.Upstream, ask.Key.BornUnixMilli),
			PredictedMicroseconds: verdict.Predicted.Microseconds(), Outstanding: int64(verdict.Outstanding),
		}
	case schema.ReservationKind_RESERVATION_KIND_HOLD:
		k.book.Hold(now, ticket, ask)
	case schema.ReservationKind_RESERVATION_KIND_BEGUN:
		k.book.Begin(ticket)
	case schema.ReservationKind_RESERVATION_KIND_END, schema.ReservationKind_RESERVATION_KIND_UNSPECIFIED:
		k.book.End(ticket)
	}
	return nil
}

// decodeAsk decodes a message. It returns false if the upstream is not among the targets of the table, which may
// be nil.
func decodeAsk(table *dispatch.Table, now time.Time, message *schema.Reservation) (Ask, bool) {
	ask := Ask{
		Key:          Key{Upstream: figbank.UpstreamID(message.GetUpstream()), BornUnixMilli: message.GetBornUnixMilli()},
		PromptTokens: int(message.GetPromptTokens()),
		Allowed:      time.Duration(message.GetAllowedMicroseconds()) * time.Microsecond,
		Lifetime:     time.Duration(message.GetLifetimeMicroseconds()) * time.Microsecond,
		Fallback:     message.GetFallback(),
		KeepFree:     int(message.GetKeepFree()),
	}
	if table == nil {
		return ask, false
	}
	target := table.Find(figbank.ServiceName(message.GetService()), ask.Key.Upstream, ask.Key.BornUnixMilli)
	if target == nil {
		return ask, false
	}
	if target.Engine != nil {
		ask.Slots = target.Engine.Slots()
	}
	ask.PerSecond = lowestRate(target, now, figbank.RequestsPerSecond(message.GetRatePerSecond()))
	ask.Predict = func(outstanding, pendingTokens int) time.Duration {
		return placement.Predict(ask.PromptTokens, placement.Candidate{
			Outstanding: outstanding, PendingTokens: pendingTokens, Exact: true, Slots: target.Slots, Engine: target.Engine,
			Slowdown: target.Load.Speed.Slowdown(now),
		})
	}
	return ask, true
}

// lowestRate returns the lower one of the rates that this gateway and the asking one know of, 0 if
// both know of no limit. One of them may have just started, or not heard yet what the upstream says.
func lowestRate(target *dispatch.Target, now time.Time, asked figbank.RequestsPerSecond) figbank.RequestsPerSecond {
	known, limited := target.Rate(now)
	switch {
	case limited && asked > 0:
		return min(known, asked)
	case limited:
		return known
	case asked > 0:
		return asked
	}
	return 0
}
