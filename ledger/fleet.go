package ledger

import (
	"cmp"
	"slices"
	"strings"

	"figbank/rollout"
	"figbank/schema"
)

// versionsNamed is how many named versions of a model are remembered.
const versionsNamed = 8

// ordersKept is how many evacuations and withdrawals are remembered.
const ordersKept = 64

// publishTraffic puts traffic rules in force unless rules with as high a number
// already are. Either way the offer is accepted, since offers may be sent again.
func (s *State) publishTraffic(offer *schema.PublishTraffic) *schema.Result {
	if offer.GetNumber() <= s.fleet.GetTrafficNumber() {
		return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
	}
	next := s.nextFleet()
	next.TrafficNumber = offer.GetNumber()
	next.PackedTraffic = offer.GetPackedTraffic()
	s.fleet = next
	s.document = offer.GetPackedDocument()
	return &schema.Result{CommitIndex: s.applied}
}

// evacuate takes a failure domain out of service, or back in. An order that is
// proposed again changes nothing, also when another has been carried out since.
func (s *State) evacuate(asked *schema.Evacuate) *schema.Result {
	if !s.isNewOrder(asked.GetOrder()) {
		return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
	}
	out := slices.Contains(s.fleet.GetEvacuated(), asked.GetFailureDomain())
	if out != asked.GetWithdraw() {
		return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
	}
	next := s.nextFleet()
	if asked.GetWithdraw() {
		next.Evacuated = slices.DeleteFunc(next.Evacuated, func(d string) bool { return d == asked.GetFailureDomain() })
	} else {
		next.Evacuated = append(next.Evacuated, asked.GetFailureDomain())
		slices.Sort(next.Evacuated)
	}
	s.fleet = next
	return &schema.Result{CommitIndex: s.applied}
}

// isNewOrder remembers an order, and tells whether it has not come before.
func (s *State) isNewOrder(order string) bool {
	if order == "" {
		return true
	}
	if slices.Contains(s.orders, order) {
		return false
	}
	// The slice is copied, since snapshots may still be read.
	s.orders = append(slices.Clone(s.orders[max(0, len(s.orders)-ordersKept+1):]), order)
	return true
}

// nameVersion names newer weights of a model; an older or equal version changes
// nothing. The versions before stay, since each has its own bound for the
// requests that begin on older ones.
func (s *State) nameVersion(named *schema.NameVersion) *schema.Result {
	next := s.nextFleet()
	version := &schema.NamedVersion{Model: named.GetModel(), Version: named.GetVersion(), NamedUnixNano: s.now.UnixNano()}
	i, _ := slices.BinarySearchFunc(next.Versions, version, func(a, b *schema.NamedVersion) int {
		return cmp.Or(strings.Compare(a.GetModel(), b.GetModel()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	newest := rollout.Newest(next.Versions, named.GetModel())
	if newest.GetVersion() >= named.GetVersion() {
		return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
	}
	next.Versions = dropOldest(slices.Insert(next.Versions, i, version), named.GetModel())
	s.fleet = next
	return &schema.Result{CommitIndex: s.applied}
}

// countGateways records how many gateways there are.
func (s *State) countGateways(counted *schema.CountGateways) *schema.Result {
	if counted.GetGateways() == s.fleet.GetGateways() {
		return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
	}
	next := s.nextFleet()
	next.Gateways = counted.GetGateways()
	s.fleet = next
	return &schema.Result{CommitIndex: s.applied}
}

// dropOldest keeps the newest versions of a model.
func dropOldest(versions []*schema.NamedVersion, model string) []*schema.NamedVersion {
	kept := 0
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].GetModel() != model {
			continue
		}
		if kept++; kept > versionsNamed {
			versions = slices.Delete(versions, i, i+1)
		}
	}
	return versions
}

// readTraffic answers with the document in force at this place of the log.
func (s *State) readTraffic() *schema.Result {
	return &schema.Result{CommitIndex: s.applied, PackedDocument: s.document}
}

// nextFleet copies the fleet, since those handed out are immutable.
func (s *State) nextFleet() *schema.Fleet {
	return &schema.Fleet{
		CommitIndex:   s.applied,
		TrafficNumber: s.fleet.GetTrafficNumber(),
		PackedTraffic: s.fleet.GetPackedTraffic(),
		Evacuated:     slices.Clone(s.fleet.GetEvacuated()),
		Versions:      slices.Clone(s.fleet.GetVersions()),
		Gateways:      s.fleet.GetGateways(),
	}
}
