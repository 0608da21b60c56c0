package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

func (m *machine) publishTraffic(number int64, document string) *schema.Result {
	return m.apply(&schema.Command{Action: &schema.Command_PublishTraffic{PublishTraffic: &schema.PublishTraffic{
		Number: number, PackedTraffic: []byte("rules of " + document), PackedDocument: []byte(document),
	}}})
}

func (m *machine) evacuate(domain string, withdraw bool) {
	m.apply(&schema.Command{Action: &schema.Command_Evacuate{Evacuate: &schema.Evacuate{FailureDomain: domain, Withdraw: withdraw}}})
}

func (m *machine) nameVersion(model string, version int64) {
	m.now = m.now.Add(time.Second)
	m.apply(&schema.Command{Action: &schema.Command_NameVersion{NameVersion: &schema.NameVersion{Model: model, Version: version}}})
}

func (m *machine) document() string {
	return string(m.apply(&schema.Command{Action: &schema.Command_ReadTraffic{ReadTraffic: &schema.ReadTraffic{}}}).GetPackedDocument())
}

// Operators publish concurrently, and offers arrive late or twice. The rules with the
// highest number are in force, with the content that was first accepted under that
// number.
func TestHighestNumberedTrafficRulesAreInForce(t *testing.T) {
	scenarios := []struct {
		name    string
		numbers []int64
		want    string
	}{
		{name: "in order", numbers: []int64{1, 5, 9}, want: "2"},
		{name: "an older number arrives late", numbers: []int64{5, 9, 7}, want: "1"},
		{name: "the same number with other content", numbers: []int64{9, 9}, want: "0"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := newMachine(t)
			for i, number := range s.numbers {
				if result := m.publishTraffic(number, string(rune('0'+i))); result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
					t.Errorf("publish of %d = %v, want it accepted", number, result.GetRefusal())
				}
			}
			if got := m.document(); got != s.want {
				t.Errorf("document in force = %q, want %q", got, s.want)
			}
			if got := string(m.state.Fleet().GetPackedTraffic()); got != "rules of "+s.want {
				t.Errorf("rules in force = %q, want those of %q", got, s.want)
			}
		})
	}
}

// An ack for rules that are not in force could not be told from another one.
func TestOffersWithoutEffectAreTold(t *testing.T) {
	scenarios := []struct {
		name     string
		number   int64
		document string
		want     bool
	}{
		{name: "sent again", number: 9, document: "first"},
		{name: "the same number with other content", number: 9, document: "second", want: true},
		{name: "an older number", number: 5, document: "second"},
		{name: "a newer number", number: 11, document: "second"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := newMachine(t)
			m.publishTraffic(9, "first")
			result := m.publishTraffic(s.number, s.document)
			if got := result.GetOtherContent(); got != s.want {
				t.Errorf("OtherContent = %t, want %t", got, s.want)
			}
			if got, want := result.GetTrafficNumber(), max(s.number, 9); got != want {
				t.Errorf("TrafficNumber = %d, want %d", got, want)
			}
		})
	}
}

func TestEvacuationsAndVersions(t *testing.T) {
	m := newMachine(t)
	m.evacuate("b", false)
	m.evacuate("a", false)
	m.evacuate("a", false)
	m.evacuate("c", true)
	if got, want := m.state.Fleet().GetEvacuated(), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("evacuated = %v, want %v", got, want)
	}
	m.evacuate("b", true)
	if got, want := m.state.Fleet().GetEvacuated(), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("evacuated after a withdrawal = %v, want %v", got, want)
	}
	for _, version := range []int64{2, 3, 2, 3} {
		m.nameVersion("m", version)
	}
	m.nameVersion("k", 7)
	var got []int64
	for _, named := range m.state.Fleet().GetVersions() {
		got = append(got, named.GetVersion())
	}
	if want := []int64{7, 2, 3}; !slices.Equal(got, want) {
		t.Errorf("named versions = %v, want %v: earlier versions must stay, since each has its own time limit", got, want)
	}
}

// A proposer repeats an evacuation whose answer was lost, and the copy is applied only
// after a withdrawal. The copy must have no effect.
func TestEvacuationProposedAgainTakesEffectOnce(t *testing.T) {
	m := newMachine(t)
	order := func(id string, withdraw bool) {
		m.apply(&schema.Command{Action: &schema.Command_Evacuate{Evacuate: &schema.Evacuate{FailureDomain: "a", Withdraw: withdraw, Order: id}}})
	}
	order("first", false)
	order("second", true)
	snapshot, err := m.state.Snapshot(1)
	if err != nil {
		t.Fatalf("Snapshot() = %v", err)
	}
	if m.state, err = Restore(snapshot); err != nil {
		t.Fatalf("Restore() = %v", err)
	}
	order("first", false)
	if got := m.state.Fleet().GetEvacuated(); len(got) != 0 {
		t.Errorf("evacuated after a late copy of the first order = %v, want none", got)
	}
	for i := range 2 * maxOrders {
		order(fmt.Sprint(i), i%2 == 1)
	}
	if got := len(m.state.orders); got != maxOrders {
		t.Errorf("stored order ids = %d, want %d", got, maxOrders)
	}
}

func TestOnlyTheNewestNamedVersionsAreKept(t *testing.T) {
	m := newMachine(t)
	for version := range int64(3 * maxNamedVersions) {
		m.nameVersion("m", version+1)
	}
	versions := m.state.Fleet().GetVersions()
	if len(versions) != maxNamedVersions || versions[len(versions)-1].GetVersion() != 3*maxNamedVersions {
		t.Errorf("named versions = %v, want the newest %d", versions, maxNamedVersions)
	}
}

func TestSnapshotKeepsFleet(t *testing.T) {
	m := newMachine(t)
	m.publishTraffic(4, "document")
	m.apply(&schema.Command{Action: &schema.Command_CountGateways{CountGateways: &schema.CountGateways{Gateways: 44}}})
	m.evacuate("a", false)
	m.nameVersion("m", 2)
	if got := m.state.Fleet().GetGateways(); got != 44 {
		t.Errorf("gateways recorded = %d, want 44", got)
	}
	snapshot, err := m.state.Snapshot(1)
	if err != nil {
		t.Fatalf("Snapshot() = %v", err)
	}
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatalf("Restore() = %v", err)
	}
	if !proto.Equal(restored.Fleet(), m.state.Fleet()) {
		t.Errorf("restored fleet = %v, want %v", restored.Fleet(), m.state.Fleet())
	}
	m.state = restored
	if got := m.document(); got != "document" {
		t.Errorf("restored document = %q, want %q", got, "document")
	}
}

// A fleet that Fleet has returned must not change while its caller reads it.
func TestReturnedFleetsAreImmutable(t *testing.T) {
	m := newMachine(t)
	m.evacuate("b", false)
	m.nameVersion("m", 2)
	before := m.state.Fleet()
	unchanged := proto.CloneOf(before)
	m.evacuate("a", false)
	m.evacuate("b", true)
	m.nameVersion("m", 3)
	if !proto.Equal(before, unchanged) {
		t.Errorf("fleet returned before the changes = %v, want it unchanged: %v", before, unchanged)
	}
}

// A deposed leader's count of gateways reaches the log late. It must not replace a newer one.
func TestLateCountOfGatewaysHasNoEffect(t *testing.T) {
	m := newMachine(t)
	count := func(gateways, replaces int64) {
		m.apply(&schema.Command{Action: &schema.Command_CountGateways{CountGateways: &schema.CountGateways{Gateways: gateways, Replaces: &replaces}}})
	}
	count(8, 0)
	count(12, 8)
	count(7, 8)
	if got, want := m.state.Fleet().GetGateways(), int64(12); got != want {
		t.Errorf("gateways recorded = %d, want %d", got, want)
	}
}
