package crashers

import (
	"slices"
	"testing"
	"time"

	"figbank/schema"
)

const (
	popular Part = 1
	rare    Part = 2
	deadly  Part = 3
)

func TestBlame(t *testing.T) {
	// lost builds a loss of an own upstream by an own request, sent half a second before.
	lost := func(ended float64, parts ...Part) *loss {
		id := uint64(ended * 1000)
		return &loss{fingerprint: Fingerprint(id), crash: crash{
			incarnation: Incarnation(id), sent: seconds(ended - 0.5), ended: seconds(ended), parts: parts,
		}}
	}
	sameRequest := func(l *loss) *loss { l.fingerprint = 7; return l }
	sameUpstream := func(l *loss, of *loss) *loss { l.incarnation, l.fingerprint = of.incarnation, 99; return l }
	first, second, third := lost(1, popular, deadly), lost(2, popular, deadly), lost(3, popular, deadly)
	var sixPopular, withQueued []*loss
	for i := range 6 {
		sixPopular = append(sixPopular, lost(float64(i+1), popular))
		cause := lost(float64(i+1), deadly)
		withQueued = append(withQueued, cause, sameUpstream(lost(float64(i+1), popular), cause))
	}
	scenarios := []struct {
		name     string
		losses   []*loss
		answered map[Part]float64
		want     [][]Part
	}{
		{name: "two losses", losses: []*loss{first, second}, answered: map[Part]float64{popular: 0.1}},
		{name: "only the part that was never answered", losses: []*loss{first, second, third}, answered: map[Part]float64{popular: 0.1}, want: [][]Part{{deadly}}},
		{name: "both together as long as none was answered", losses: []*loss{first, second, third}, want: [][]Part{{popular, deadly}}},
		{name: "what all losses have in common", losses: []*loss{first, second, lost(3, rare, deadly)}, want: [][]Part{{deadly}}},
		{name: "repeats of one request", losses: []*loss{sameRequest(lost(1, deadly)), sameRequest(lost(2, deadly)), sameRequest(lost(3, deadly))}},
		{name: "lost together", losses: []*loss{lost(1, deadly), lost(1.1, deadly), lost(1.2, deadly)}},
		{name: "answered since", losses: []*loss{first, second, third}, answered: map[Part]float64{popular: 4, deadly: 4}},
		{name: "two parts", losses: []*loss{first, lost(1.6, popular, rare), second, lost(2.6, popular, rare), third, lost(3.6, popular, rare)}, answered: map[Part]float64{popular: 0.1}, want: [][]Part{{rare}, {deadly}}},
		{name: "five losses of a part that was answered before", losses: sixPopular[:5], answered: map[Part]float64{popular: 0.1}},
		{name: "six losses of it", losses: sixPopular, answered: map[Part]float64{popular: 0.1}, want: [][]Part{{popular}}},
		{name: "six losses, answered in between", losses: sixPopular, answered: map[Part]float64{popular: 3.2}},
		{name: "waited where another part crashed the upstream", losses: withQueued, answered: map[Part]float64{popular: 0.1}, want: [][]Part{{deadly}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			verdicts := blame(s.losses, func(part Part) time.Time {
				if at, found := s.answered[part]; found {
					return seconds(at)
				}
				return time.Time{}
			})
			var got [][]Part
			for _, v := range verdicts {
				got = append(got, v.pattern)
			}
			if !slices.EqualFunc(got, s.want, slices.Equal) {
				t.Errorf("blame() = %v, want %v", got, s.want)
			}
		})
	}
}

func TestPartsAreBounded(t *testing.T) {
	set := NewSet()
	for i := range 3 * maxAnsweredParts {
		set.RecordBegun(start, []Part{Part(i)})
		set.RecordCrash(start, Request{Fingerprint: Fingerprint(i), Parts: []Part{Part(i)}}, 1, start)
		if i > 2*maxLosses {
			set.parts.losses = nil // comparing them all again would only take time
		}
	}
	if got := len(set.parts.answers) + len(set.parts.olderAnswers); got > 2*maxAnsweredParts {
		t.Errorf("answered parts = %d, want at most %d", got, 2*maxAnsweredParts)
	}
	for i := range 2 * maxLosses {
		set.RecordCrash(start, Request{Fingerprint: Fingerprint(i), Parts: []Part{Part(-i)}}, 2, start)
	}
	if got := len(set.parts.losses); got > maxLosses {
		t.Errorf("losses = %d, want at most %d", got, maxLosses)
	}
}

// A part that is answered again and again is remembered, however many others there are.
func TestPopularPartIsRemembered(t *testing.T) {
	set := NewSet()
	for i := range 4 * maxAnsweredParts {
		at := start.Add(time.Duration(i) * time.Millisecond)
		set.RecordBegun(at, []Part{Part(1000 + i)})
		if i%1000 == 0 {
			set.RecordBegun(at, []Part{popular})
		}
		if set.parts.answeredAt(popular).IsZero() {
			t.Fatalf("the popular part is forgotten after %d others", i)
		}
	}
}

// TestAnswersElsewhereAcquitParts lets one gateway see three losses of requests with a popular
// part, while the gateways of two failure domains go on answering requests with it.
func TestAnswersElsewhereAcquitParts(t *testing.T) {
	f := newFleet(2, 2)
	exchange := func(at float64) {
		for range roundsPerOtherDomainReport {
			f.exchange(seconds(at), 0)
		}
	}
	f.domains[1][1].RecordBegun(seconds(0), []Part{popular})
	set := f.domains[0][0]
	for i := range 5 {
		at := float64(i + 1)
		set.RecordCrash(seconds(at+0.5), Request{Fingerprint: Fingerprint(i), Parts: []Part{popular}}, Incarnation(i+1), seconds(at))
		exchange(at + 0.6)
	}
	if set.Refuses(seconds(7), Request{Parts: []Part{popular}}) {
		t.Error("Refuses() = true after five losses of a part that another gateway has answered, want false")
	}
	f.domains[1][1].RecordBegun(seconds(7), []Part{popular})
	exchange(7.1)
	set.RecordCrash(seconds(8), Request{Fingerprint: 9, Parts: []Part{popular}}, 9, seconds(7.2))
	if set.Refuses(seconds(8), Request{Parts: []Part{popular}}) {
		t.Error("Refuses() = true although the part was answered between the losses, want false")
	}
}

// TestMissedLossesOfPartsAreRepeated lets a gateway that starts later learn which part is refused.
func TestMissedLossesOfPartsAreRepeated(t *testing.T) {
	set := NewSet()
	for i := range 3 {
		set.RecordCrash(seconds(float64(i)+0.5), Request{Fingerprint: Fingerprint(i), Parts: []Part{popular, deadly}}, Incarnation(i+1), seconds(float64(i)))
	}
	set.RecordBegun(seconds(4), []Part{popular})
	set.Report(seconds(4), SameDomain)
	late := NewSet()
	for range 10 {
		late.Receive(seconds(5), set.Report(seconds(5), SameDomain), SameDomain)
	}
	if !late.Refuses(seconds(5), Request{Parts: []Part{popular, deadly}}) {
		t.Error("Refuses() = false at a gateway that started later, want true")
	}
	if late.Refuses(seconds(5), Request{Parts: []Part{popular}}) {
		t.Error("Refuses() = true for requests without the deadly part, want false")
	}
}

// Other versions of this program may send reports without parts.
func TestReportsWithoutPartsAreKept(t *testing.T) {
	set := NewSet()
	for i := range 3 {
		set.Receive(seconds(4), []*schema.CrashReport{{
			Fingerprint: uint64(crashing), Incarnation: uint64(i + 1),
			SentMicrosecondsAgo: int64(4_000_000 - 1_000_000*i), EndedMicrosecondsAgo: int64(3_500_000 - 1_000_000*i),
		}}, OtherDomain)
	}
	if !set.Refuses(seconds(5), Request{Fingerprint: crashing}) {
		t.Error("Refuses() = false, want true")
	}
}
