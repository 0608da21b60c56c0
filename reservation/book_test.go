package reservation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"figbank"
)

const (
	slots   = 8
	allowed = 400 * time.Millisecond
)

var noon = time.Unix(1_700_000_000, 0)

// predict is the time until an answer begins on an upstream with 8 slots: 20 ms for each prompt of
// 1,000 tokens that is read before, and 150 ms for each request that waits.
func predict(outstanding, pendingTokens int) time.Duration {
	waiting := max(0, outstanding-slots+1)
	return 100*time.Millisecond + time.Duration(pendingTokens)*20*time.Microsecond + time.Duration(waiting)*150*time.Millisecond
}

func newAsk(key Key) Ask {
	return Ask{Key: key, PromptTokens: 1000, Allowed: allowed, Lifetime: 6 * time.Second, Predict: predict}
}

// Twenty gateways choose the same upstream within 0.3 s, since by their counts it has places left.
// Only as many as can begin in time get a place. The others are refused at once, and can still go
// elsewhere.
func TestManyGatewaysChooseTheSameUpstream(t *testing.T) {
	const gateways = 20
	book := NewBook()
	granted := 0
	for i := range gateways {
		ticket := Ticket{Stream: uint64(i)}
		now := noon.Add(time.Duration(i) * 300 * time.Millisecond / gateways)
		verdict := book.Reserve(now, ticket, newAsk(Key{Upstream: "u"}))
		if verdict.Granted != (verdict.Predicted <= allowed) {
			t.Errorf("ask %d: granted = %v although the answer is predicted to begin after %v", i, verdict.Granted, verdict.Predicted)
		}
		if verdict.Granted {
			granted++
			book.Begin(ticket)
		}
	}
	if want := slots + 2; granted != want {
		t.Errorf("granted places = %d, want %d: all slots, and two that wait 300 ms at most", granted, want)
	}
}

// Requests that arrive together must wait until the prompts of those before them are read.
func TestPendingPromptsCount(t *testing.T) {
	book := NewBook()
	key := Key{Upstream: "u"}
	first := book.Reserve(noon, Ticket{ID: 1}, newAsk(key))
	second := book.Reserve(noon, Ticket{ID: 2}, newAsk(key))
	if got, want := second.Predicted-first.Predicted, 20*time.Millisecond; got != want {
		t.Errorf("second request is predicted %v later, want %v", got, want)
	}
	book.Begin(Ticket{ID: 1})
	book.Begin(Ticket{ID: 2})
	if third := book.Reserve(noon, Ticket{ID: 3}, newAsk(key)); third.Predicted != first.Predicted {
		t.Errorf("predicted time once both prompts are read = %v, want %v", third.Predicted, first.Predicted)
	}
}

func TestPlacesAreFreed(t *testing.T) {
	key := Key{Upstream: "u"}
	scenarios := []struct {
		name string
		free func(*Book) time.Time
	}{
		{name: "the request ends", free: func(b *Book) time.Time { b.End(Ticket{Stream: 1, ID: 1}); return noon }},
		{name: "the gateway's stream ends", free: func(b *Book) time.Time { b.EndStream(1); return noon }},
		{name: "the request's time ends", free: func(*Book) time.Time { return noon.Add(7 * time.Second) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			book := NewBook()
			book.Reserve(noon, Ticket{Stream: 1, ID: 1}, newAsk(key))
			now := s.free(book)
			if got := book.Reserve(now, Ticket{Stream: 2, ID: 1}, newAsk(key)).Outstanding; got != 0 {
				t.Errorf("places that are taken = %d, want 0", got)
			}
		})
	}
}

// While gateways disagree about the keeper, two of them hand out places of a cold upstream. Together
// they must stay within one and a half times its rate and five more, in any second.
func TestColdRateHoldsWithTwoKeepers(t *testing.T) {
	for _, perSecond := range []figbank.RequestsPerSecond{5, 14, 36} {
		books := []*Book{NewBook(), NewBook()}
		var sent []time.Time
		for ms := range 5000 {
			now := noon.Add(time.Duration(ms) * time.Millisecond)
			for _, book := range books {
				ask := newAsk(Key{Upstream: "u"})
				ask.PerSecond = perSecond
				ticket := Ticket{ID: uint64(ms)}
				if book.Reserve(now, ticket, ask).Granted {
					book.End(ticket)
					sent = append(sent, now)
				}
			}
		}
		most := mostWithin(time.Second, sent)
		if want := int(float64(perSecond)*1.5) + 5; most > want {
			t.Errorf("requests in one second at %v a second = %d, want at most %d", perSecond, most, want)
		}
		if got, least := len(sent), int(2*5*float64(perSecond)*rateShare); got < least {
			t.Errorf("requests in five seconds at %v a second = %d, want at least %d: places are not lost", perSecond, got, least)
		}
	}
}

// An upstream lowers the limit that it names, and later names none. Two keepers hand out its places, to
// gateways that ask them first and to those that another keeper does not answer, and gateways
// that reach no keeper send their part. In 4 s all of them must stay within one and a half times the limit
// and five more.
func TestNamedRateHoldsWithTwoKeepers(t *testing.T) {
	const (
		window = 4 * time.Second
		// used is the share of a named limit that package dispatch asks for, and unkept the share of
		// that which gateways without a keeper use.
		used, unkept = 0.8, 0.3
	)
	for _, limit := range []figbank.RequestsPerSecond{0.3, 1, 1.8, 2.2, 12} {
		books := []*Book{NewBook(), NewBook()}
		granted := func(ms int, perSecond figbank.RequestsPerSecond) int {
			now, count := noon.Add(time.Duration(ms)*time.Millisecond), 0
			for _, book := range books {
				ask := newAsk(Key{Upstream: "u"})
				ask.PerSecond, ask.Fallback = perSecond, ms%2 == 0
				ticket := Ticket{ID: uint64(ms)}
				if book.Reserve(now, ticket, ask).Granted {
					book.End(ticket)
					count++
				}
			}
			return count
		}
		for ms := range 2000 {
			granted(ms, 3*limit*used)
		}
		var sent []time.Time
		for ms := 2000; ms < 12000; ms++ {
			for range granted(ms, limit*used) {
				sent = append(sent, noon.Add(time.Duration(ms)*time.Millisecond))
			}
		}
		got := float64(mostWithin(window, sent)) + float64(limit)*used*unkept*window.Seconds()
		if want := float64(limit)*1.5*window.Seconds() + 5; got > want {
			t.Errorf("requests in %v at a limit of %v a second = %v, want at most %v", window, limit, got, want)
		}
		if got := granted(12001, 0); got != len(books) {
			t.Errorf("places granted without a limit = %d, want %d", got, len(books))
		}
	}
}

// A gateway that a keeper does not answer gets less from the next one, which may hand out all of its
// share to others.
func TestFallbackGetsAShareOnly(t *testing.T) {
	book := NewBook()
	granted := map[bool]int{}
	for ms := range 10_000 {
		ask := newAsk(Key{Upstream: "u"})
		ask.PerSecond, ask.Fallback = 10, ms < 5_000
		if book.Reserve(noon.Add(time.Duration(ms)*time.Millisecond), Ticket{ID: 1}, ask).Granted {
			book.End(Ticket{ID: 1})
			granted[ask.Fallback]++
		}
	}
	if got, least, most := granted[true], int(10*5*fallbackShare)-1, int(10*5*fallbackShare)+fallbackBurst+1; got < least || got > most {
		t.Errorf("places after another keeper = %d, want %d to %d", got, least, most)
	}
	if got, least := float64(granted[false]), 10*5*rateShare-1; got < least {
		t.Errorf("places of those that ask first = %v, want at least %v", got, least)
	}
}

// mostWithin returns the most of the times that lie in one window.
func mostWithin(window time.Duration, times []time.Time) int {
	most := 0
	for i, first := range times {
		count := 0
		for _, at := range times[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// The book is compared with a plain set of the requests that hold a place.
func TestBookMatchesSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := NewBook()
		held := map[Key]map[Ticket]bool{}
		keys := []Key{{Upstream: "a"}, {Upstream: "a", BornUnixMilli: 1}, {Upstream: "b"}}
		drawTicket := func(t *rapid.T) Ticket {
			return Ticket{Stream: rapid.Uint64Range(1, 3).Draw(t, "stream"), ID: rapid.Uint64Range(1, 5).Draw(t, "id")}
		}
		drop := func(drop func(Ticket) bool) {
			for _, tickets := range held {
				for ticket := range tickets {
					if drop(ticket) {
						delete(tickets, ticket)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				key, ticket := rapid.SampledFrom(keys).Draw(t, "key"), drawTicket(t)
				drop(func(other Ticket) bool { return other == ticket })
				book.End(ticket)
				verdict := book.Reserve(noon, ticket, newAsk(key))
				if want := len(held[key]); verdict.Outstanding != want {
					t.Fatalf("places that are taken = %d, want %d", verdict.Outstanding, want)
				}
				if !verdict.Granted {
					return
				}
				if held[key] == nil {
					held[key] = map[Ticket]bool{}
				}
				held[key][ticket] = true
			},
			"begin": func(t *rapid.T) { book.Begin(drawTicket(t)) },
			"end": func(t *rapid.T) {
				ticket := drawTicket(t)
				book.End(ticket)
				drop(func(o Ticket) bool { return o == ticket })
			},
			"end stream": func(t *rapid.T) {
				s := drawTicket(t).Stream
				book.EndStream(s)
				drop(func(o Ticket) bool { return o.Stream == s })
			},
		})
		sum := 0
		for _, tickets := range held {
			sum += len(tickets)
		}
		if got := len(book.places); got != sum {
			t.Errorf("places in the book = %d, want %d", got, sum)
		}
	})
}
