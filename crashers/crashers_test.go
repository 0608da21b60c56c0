package crashers

import (
	"math/rand/v2"
	"testing"
	"time"

	"figbank/schema"
)

const (
	poison Fingerprint = 7
	// gossip is how long news take from gateway to gateway at most.
	gossip = 100 * time.Millisecond
	farGap = 3
)

var start = time.Unix(1_000, 0)

func seconds(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

func TestRefuses(t *testing.T) {
	type loss struct{ sent, ended float64 }
	scenarios := []struct {
		name     string
		losses   []loss
		answered float64
		asked    float64
		want     bool
	}{
		{name: "never seen", asked: 1},
		{name: "two upstreams in a row", losses: []loss{{0, 0.1}, {0.2, 0.3}}, asked: 1},
		{name: "three in a row", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, asked: 1, want: true},
		{name: "heard in another order", losses: []loss{{0.4, 0.5}, {0, 0.1}, {0.2, 0.3}}, asked: 1, want: true},
		{name: "three at the same moment", losses: []loss{{0, 0.5}, {0.1, 0.5}, {0.2, 0.51}}, asked: 1},
		{name: "answered in between", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, answered: 0.25, asked: 1},
		{name: "answered last", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, answered: 0.8, asked: 1},
		{name: "long ago", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, asked: 700},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			set := NewSet()
			for i, l := range s.losses {
				if s.answered > 0 && s.answered < l.ended {
					set.Answered(seconds(s.answered), poison)
				}
				set.Crashed(seconds(l.ended), poison, Incarnation(i+1), seconds(l.sent))
			}
			if s.answered > 0 {
				set.Answered(seconds(s.answered), poison)
			}
			if got := set.Refuses(seconds(s.asked), poison); got != s.want {
				t.Errorf("Refuses() = %t, want %t", got, s.want)
			}
		})
	}
}

func TestOneIncarnationCountsOnce(t *testing.T) {
	set := NewSet()
	for i := range 5 {
		set.Crashed(seconds(float64(i)+0.5), poison, 1, seconds(float64(i)))
	}
	if set.Refuses(seconds(6), poison) {
		t.Error("Refuses() = true after the loss of one upstream, want false")
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	set := NewSet()
	for i := range 2 * suspectsMost {
		set.Crashed(start, Fingerprint(i), 1, start)
	}
	verdicts := 0
	set.verdicts.Range(func(any, any) bool { verdicts++; return true })
	if len(set.suspects) != suspectsMost || len(set.order) != suspectsMost || verdicts != suspectsMost {
		t.Errorf("suspects, order, verdicts = %d, %d, %d, want %d each", len(set.suspects), len(set.order), verdicts, suspectsMost)
	}
}

// fleet is gateways of several failure domains that tell each other as loadshare
// has them do.
type fleet struct {
	domains [][]*Set
}

func newFleet(domains, each int) *fleet {
	f := &fleet{}
	for range domains {
		var sets []*Set
		for range each {
			sets = append(sets, NewSet())
		}
		f.domains = append(f.domains, sets)
	}
	return f
}

func (f *fleet) exchange(now time.Time, round int) {
	for d, sets := range f.domains {
		for i, from := range sets {
			reports := from.Report(now, Near)
			for j, to := range sets {
				if i != j {
					to.Hear(now, reports, Near)
				}
			}
		}
		if round%farGap != 0 {
			continue
		}
		reports := sets[0].Report(now, Far)
		for e, others := range f.domains {
			for _, to := range others {
				if e != d {
					to.Hear(now, reports, Far)
				}
			}
		}
	}
}

// TestRequestThatCrashesUpstreamsIsHeldToThree has a request come to gateways at
// random, again and again, and crash each upstream that runs it; the rule allows
// three crashes, and three retries that cross the news of them.
func TestRequestThatCrashesUpstreamsIsHeldToThree(t *testing.T) {
	scenarios := []struct {
		name          string
		domains, each int
		every         time.Duration
		lifetime      time.Duration
	}{
		{name: "one gateway", domains: 1, each: 1, every: 50 * time.Millisecond, lifetime: 5 * time.Millisecond},
		{name: "three domains", domains: 3, each: 15, every: 500 * time.Millisecond, lifetime: 20 * time.Millisecond},
		{name: "eight domains, slow crashes", domains: 8, each: 13, every: time.Second, lifetime: 500 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFleet(s.domains, s.each)
			random := rand.New(rand.NewPCG(1, 2))
			ran := 0
			now, next := start, start
			for round := range 3000 {
				now = now.Add(gossip / 10)
				if round%10 == 0 {
					f.exchange(now, round/10)
				}
				if now.Before(next) {
					continue
				}
				next = now.Add(s.every)
				sets := f.domains[random.IntN(s.domains)]
				set := sets[random.IntN(s.each)]
				if !set.Refuses(now, poison) {
					ran++
					set.Crashed(now.Add(s.lifetime), poison, Incarnation(ran), now)
				}
			}
			if want := 2 * crashesMost; ran > want {
				t.Errorf("upstreams that ran it = %d, want at most %d", ran, want)
			}
		})
	}
}

// TestPopularRequestOutlivesManyCrashes has one request in flight at many
// upstreams, of which some are lost together, again and again.
func TestPopularRequestOutlivesManyCrashes(t *testing.T) {
	f := newFleet(3, 15)
	random := rand.New(rand.NewPCG(3, 4))
	refused := 0
	now := start
	for round := range 600 {
		now = now.Add(gossip)
		f.exchange(now, round)
		for i := range 20 {
			sets := f.domains[random.IntN(3)]
			set := sets[random.IntN(15)]
			switch {
			case set.Refuses(now, poison):
				refused++
			case round%10 == 0 && i < 10:
				set.Crashed(now, poison, Incarnation(100*round+i+1), now.Add(-50*time.Millisecond))
			default:
				set.Answered(now, poison)
			}
		}
	}
	if refused > 0 {
		t.Errorf("refused %d times, want never", refused)
	}
}

// TestNewsAreToldOnce counts what goes out after one loss.
func TestNewsAreToldOnce(t *testing.T) {
	set := NewSet()
	set.Crashed(start, poison, 1, start)
	for round, want := range []int{1, 0, 0} {
		if got := len(set.Report(start, Near)); got != want {
			t.Errorf("reports to near gateways in round %d = %d, want %d", round, got, want)
		}
		if got := len(set.Report(start, Far)); got != want {
			t.Errorf("reports to far gateways in round %d = %d, want %d", round, got, want)
		}
	}
	heard := NewSet()
	heard.Hear(start, []*schema.CrashReport{{Fingerprint: uint64(poison), Incarnation: 1}}, Near)
	if got := len(heard.Report(start, Near)); got != 0 {
		t.Errorf("reports passed on to near gateways = %d, want 0", got)
	}
	if got := len(heard.Report(start, Far)); got != 1 {
		t.Errorf("reports passed on to far gateways = %d, want 1", got)
	}
}

// TestMissedNewsAreRepeated lets a gateway that has heard nothing catch up.
func TestMissedNewsAreRepeated(t *testing.T) {
	set := NewSet()
	for i := range 3 {
		set.Crashed(seconds(float64(i)+0.5), poison, Incarnation(i+1), seconds(float64(i)))
	}
	for i := range 500 {
		set.Crashed(seconds(4), Fingerprint(1000+i), 9, seconds(3))
	}
	now := seconds(5)
	for range 100 {
		set.Report(now, Near)
	}
	late := NewSet()
	for range 20 {
		late.Hear(now, set.Report(now, Near), Near)
	}
	if !late.Refuses(now, poison) {
		t.Error("Refuses() = false at a gateway that came later, want true")
	}
}
