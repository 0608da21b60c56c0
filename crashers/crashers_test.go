package crashers

import (
	"math/rand/v2"
	"testing"
	"time"

	"figbank/schema"
)

const (
	crashing Fingerprint = 7
	// exchangeInterval is the interval between two exchanges of reports. Other failure domains
	// get reports too once in roundsPerOtherDomainReport exchanges.
	exchangeInterval           = 100 * time.Millisecond
	roundsPerOtherDomainReport = 3
)

var start = time.Unix(1_000, 0)

// seconds returns the time that many seconds after start.
func seconds(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

func TestRefuses(t *testing.T) {
	type loss struct{ sent, ended float64 }
	scenarios := []struct {
		name     string
		losses   []loss
		answered float64
		// at is when Refuses is called.
		at   float64
		want bool
	}{
		{name: "never seen", at: 1},
		{name: "two upstreams in a row", losses: []loss{{0, 0.1}, {0.2, 0.3}}, at: 1},
		{name: "three in a row", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, at: 1, want: true},
		{name: "recorded in another order", losses: []loss{{0.4, 0.5}, {0, 0.1}, {0.2, 0.3}}, at: 1, want: true},
		{name: "three at the same moment", losses: []loss{{0, 0.5}, {0.1, 0.5}, {0.2, 0.51}}, at: 1},
		{name: "answered in between", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, answered: 0.25, at: 1},
		{name: "answered last", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, answered: 0.8, at: 1},
		{name: "long ago", losses: []loss{{0, 0.1}, {0.2, 0.3}, {0.4, 0.5}}, at: 700},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			set := NewSet()
			for i, l := range s.losses {
				if s.answered > 0 && s.answered < l.ended {
					set.RecordAnswer(seconds(s.answered), crashing)
				}
				set.RecordCrash(seconds(l.ended), Request{Fingerprint: crashing}, Incarnation(i+1), seconds(l.sent))
			}
			if s.answered > 0 {
				set.RecordAnswer(seconds(s.answered), crashing)
			}
			if got := set.Refuses(seconds(s.at), Request{Fingerprint: crashing}); got != s.want {
				t.Errorf("Refuses() = %t, want %t", got, s.want)
			}
		})
	}
}

func TestOneIncarnationCountsOnce(t *testing.T) {
	set := NewSet()
	for i := range 5 {
		set.RecordCrash(seconds(float64(i)+0.5), Request{Fingerprint: crashing}, 1, seconds(float64(i)))
	}
	if set.Refuses(seconds(6), Request{Fingerprint: crashing}) {
		t.Error("Refuses() = true after the loss of one upstream, want false")
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	set := NewSet()
	for i := range 2 * maxSuspects {
		set.RecordCrash(start, Request{Fingerprint: Fingerprint(i)}, 1, start)
	}
	entries := 0
	set.refusedUntil.Range(func(any, any) bool { entries++; return true })
	if len(set.suspects) != maxSuspects || len(set.order) != maxSuspects || entries != maxSuspects {
		t.Errorf("suspects, order, refusedUntil = %d, %d, %d, want %d each", len(set.suspects), len(set.order), entries, maxSuspects)
	}
}

// fleet holds the sets of the gateways of several failure domains, which exchange reports
// in the same way as package loadshare.
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
			reports := from.Report(now, SameDomain)
			for j, to := range sets {
				if i != j {
					to.Receive(now, reports, SameDomain)
				}
			}
		}
		if round%roundsPerOtherDomainReport != 0 {
			continue
		}
		reports := sets[0].Report(now, OtherDomain)
		for e, others := range f.domains {
			for _, to := range others {
				if e != d {
					to.Receive(now, reports, OtherDomain)
				}
			}
		}
	}
}

// TestCrashesAcrossGatewaysAreBounded sends a request, which crashes each upstream that runs
// it, again and again to random gateways. Three crashes are allowed, and three more attempts
// that begin before the reports of those crashes have arrived.
func TestCrashesAcrossGatewaysAreBounded(t *testing.T) {
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
				now = now.Add(exchangeInterval / 10)
				if round%10 == 0 {
					f.exchange(now, round/10)
				}
				if now.Before(next) {
					continue
				}
				next = now.Add(s.every)
				sets := f.domains[random.IntN(s.domains)]
				set := sets[random.IntN(s.each)]
				if !set.Refuses(now, Request{Fingerprint: crashing}) {
					ran++
					set.RecordCrash(now.Add(s.lifetime), Request{Fingerprint: crashing}, Incarnation(ran), now)
				}
			}
			if want := 2 * maxCrashes; ran > want {
				t.Errorf("upstreams that ran it = %d, want at most %d", ran, want)
			}
		})
	}
}

// TestPopularRequestIsNotRefused keeps one harmless request in flight at many upstreams,
// some of which are lost together, again and again.
func TestPopularRequestIsNotRefused(t *testing.T) {
	f := newFleet(3, 15)
	random := rand.New(rand.NewPCG(3, 4))
	refused := 0
	now := start
	for round := range 600 {
		now = now.Add(exchangeInterval)
		f.exchange(now, round)
		for i := range 20 {
			sets := f.domains[random.IntN(3)]
			set := sets[random.IntN(15)]
			switch {
			case set.Refuses(now, Request{Fingerprint: crashing}):
				refused++
			case round%10 == 0 && i < 10:
				set.RecordCrash(now, Request{Fingerprint: crashing}, Incarnation(100*round+i+1), now.Add(-50*time.Millisecond))
			default:
				set.RecordAnswer(now, crashing)
			}
		}
	}
	if refused > 0 {
		t.Errorf("refused %d times, want never", refused)
	}
}

// TestCrashIsReportedOnce counts the reports of one crash, by the gateway that observed it
// and by one that received its report.
func TestCrashIsReportedOnce(t *testing.T) {
	set := NewSet()
	set.RecordCrash(start, Request{Fingerprint: crashing}, 1, start)
	for round, want := range []int{1, 0, 0} {
		if got := len(set.Report(start, SameDomain)); got != want {
			t.Errorf("reports to gateways in the same domain in round %d = %d, want %d", round, got, want)
		}
		if got := len(set.Report(start, OtherDomain)); got != want {
			t.Errorf("reports to gateways in other domains in round %d = %d, want %d", round, got, want)
		}
	}
	receiver := NewSet()
	receiver.Receive(start, []*schema.CrashReport{{Fingerprint: uint64(crashing), Incarnation: 1}}, SameDomain)
	if got := len(receiver.Report(start, SameDomain)); got != 0 {
		t.Errorf("reports passed on to gateways in the same domain = %d, want 0", got)
	}
	if got := len(receiver.Report(start, OtherDomain)); got != 1 {
		t.Errorf("reports passed on to gateways in other domains = %d, want 1", got)
	}
}

// TestMissedReportsAreRepeated lets a gateway that has received no reports catch up.
func TestMissedReportsAreRepeated(t *testing.T) {
	set := NewSet()
	for i := range 3 {
		set.RecordCrash(seconds(float64(i)+0.5), Request{Fingerprint: crashing}, Incarnation(i+1), seconds(float64(i)))
	}
	for i := range 500 {
		set.RecordCrash(seconds(4), Request{Fingerprint: Fingerprint(1000 + i)}, 9, seconds(3))
	}
	now := seconds(5)
	for range 100 {
		set.Report(now, SameDomain)
	}
	late := NewSet()
	for range 20 {
		late.Receive(now, set.Report(now, SameDomain), SameDomain)
	}
	if !late.Refuses(now, Request{Fingerprint: crashing}) {
		t.Error("Refuses() = false at a gateway that started later, want true")
	}
}
