package ledger

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"figbank/rollout"
	"figbank/schema"
)

// maxNamedVersions is the number of named versions that the state stores for each model.
const maxNamedVersions = 8

// maxOrders is the number of ids of evacuations and withdrawals that the state stores. It uses them
// to recognize commands that are proposed again.
const maxOrders = 64

// found names the log, unless it has a name.
func (s *State) found(request *schema.Found) *schema.Result {
	if s.fleet.GetLog() == "" {
		next := s.nextFleet()
		next.Log = request.GetLog()
		s.fleet = next
	}
	return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
}

// publishTraffic puts traffic rules in force if their number is higher than that of the rules in
// force. Otherwise it changes nothing. It accepts the command all the same, since the command may
// be sent repeatedly.
func (s *State) publishTraffic(offer *schema.PublishTraffic) *schema.Result {
	if offer.GetNumber() <= s.fleet.GetTrafficNumber() {
		return &schema.Result{
			CommitIndex: s.fleet.GetCommitIndex(), TrafficNumber: s.fleet.GetTrafficNumber(),
			OtherContent: offer.GetNumber() == s.fleet.GetTrafficNumber() && !bytes.Equal(offer.GetPackedDocument(), s.document),
		}
	}
	next := s.nextFleet()
	next.TrafficNumber = offer.GetNumber()
	next.PackedTraffic = offer.GetPackedTraffic()
	s.fleet = next
	s.document = offer.GetPackedDocument()
	return &schema.Result{CommitIndex: s.applied, TrafficNumber: next.GetTrafficNumber()}
}

// evacuate takes a failure domain out of service, or puts it back if the request is a withdrawal. A
// request whose order id is already known has no effect, even if another request has taken effect
// since. A request that does not follow the newest accepted order for the domain is refused, unless it
// asks for what is in force.
func (s *State) evacuate(request *schema.Evacuate) *schema.Result {
	unchanged := slices.Contains(s.fleet.GetEvacuated(), request.GetFailureDomain()) != request.GetWithdraw()
	follows := request.Follows == nil || request.GetFollows() == LastEvacuationOrder(s.fleet, request.GetFailureDomain())
	if !follows && !unchanged && !slices.Contains(s.orders, request.GetOrder()) {
		return refuse(schema.Refusal_REFUSAL_SUPERSEDED, "a newer order for this failure domain has been accepted")
	}
	if !s.isNewOrder(request.GetOrder()) || !follows || request.Follows == nil && unchanged {
		return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
	}
	next := s.nextFleet()
	next.Evacuated = slices.DeleteFunc(next.Evacuated, func(d string) bool { return d == request.GetFailureDomain() })
	if !request.GetWithdraw() {
		next.Evacuated = append(next.Evacuated, request.GetFailureDomain())
		slices.Sort(next.Evacuated)
	}
	next.EvacuationOrders = slices.DeleteFunc(next.EvacuationOrders, func(o *schema.EvacuationOrder) bool {
		return o.GetFailureDomain() == request.GetFailureDomain()
	})
	next.EvacuationOrders = append(next.EvacuationOrders, &schema.EvacuationOrder{FailureDomain: request.GetFailureDomain(), CommitIndex: s.applied})
	s.fleet = next
	return &schema.Result{CommitIndex: s.applied}
}

// LastEvacuationOrder returns the index of the newest accepted order for a failure domain, or 0.
func LastEvacuationOrder(fleet *schema.Fleet, domain string) uint64 {
	for _, order := range fleet.GetEvacuationOrders() {
		if order.GetFailureDomain() == domain {
			return order.GetCommitIndex()
		}
	}
	return 0
}

// isNewOrder records the id of an evacuation or withdrawal and reports whether the id is
// new. An empty id always counts as new.
func (s *State) isNewOrder(order string) bool {
	if order == "" {
		return true
	}
	if slices.Contains(s.orders, order) {
		return false
	}
	// Keep only the newest maxOrders ids.
	s.orders = append(slices.Clone(s.orders[max(0, len(s.orders)-maxOrders+1):]), order)
	return true
}

// nameVersion adds a version of a model's weights to the named versions. It ignores a version that
// is not newer than the newest one. Earlier versions stay, up to maxNamedVersions, since each one
// sets its own time after which no request may start on a still older version.
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

// countGateways records the number of gateways, unless the number that it replaces is not recorded any more.
func (s *State) countGateways(counted *schema.CountGateways) *schema.Result {
	superseded := counted.Replaces != nil && counted.GetReplaces() != s.fleet.GetGateways()
	if superseded || counted.GetGateways() == s.fleet.GetGateways() {
		return &schema.Result{CommitIndex: s.fleet.GetCommitIndex()}
	}
	next := s.nextFleet()
	next.Gateways = counted.GetGateways()
	s.fleet = next
	return &schema.Result{CommitIndex: s.applied}
}

// dropOldest removes the oldest versions of a model beyond maxNamedVersions.
func dropOldest(versions []*schema.NamedVersion, model string) []*schema.NamedVersion {
	count := 0
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].GetModel() != model {
			continue
		}
		if count++; count > maxNamedVersions {
			versions = slices.Delete(versions, i, i+1)
		}
	}
	return versions
}

// ReadTraffic returns the compressed traffic document that is in force at this log index, unless the reader
// holds it.
func (s *State) ReadTraffic(read *schema.ReadTraffic) *schema.Result {
	if held := read.GetHeldNumber(); held > 0 && held == s.fleet.GetTrafficNumber() {
		return &schema.Result{CommitIndex: s.applied, Unchanged: true}
	}
	return &schema.Result{CommitIndex: s.applied, PackedDocument: s.document}
}

// Document returns the compressed traffic document that is in force, or nil before the first rules.
func (s *State) Document() []byte {
	return s.document
}

// nextFleet returns a copy of the fleet, with the index of the current entry. Changes
// are made to the copy, since callers of Fleet may still read the original.
func (s *State) nextFleet() *schema.Fleet {
	return &schema.Fleet{
		CommitIndex:   s.applied,
		TrafficNumber: s.fleet.GetTrafficNumber(),
		PackedTraffic: s.fleet.GetPackedTraffic(),
		Evacuated:     slices.Clone(s.fleet.GetEvacuated()),
		Versions:      slices.Clone(s.fleet.GetVersions()),
		Gateways:      s.fleet.GetGateways(),

		EvacuationOrders: slices.Clone(s.fleet.GetEvacuationOrders()),
		Log:              s.fleet.GetLog(),
	}
}
