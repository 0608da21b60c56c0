package voters

import (
	"time"

	"figbank"
)

// Reasons for a change of the membership.
const (
	// NoReason stands where no voter is to be replaced.
	NoReason Reason = iota
	// AddressReused means that another replica runs at the voter's address: the voter lost its disk.
	AddressReused
	// Silent means that nothing has been heard from the voter for too long.
	Silent
	// Leaving means that the voter is about to stop.
	Leaving
)

type (
	// Reason tells why a voter is to be replaced.
	Reason int

	// Cause tells which voter a change of the membership is about, and why.
	Cause struct {
		// Voter is the voter to replace, or "" if there is none.
		Voter   figbank.ProcessID
		Address figbank.Address
		Reason  Reason
		// Silence is the time since the voter was last heard.
		Silence time.Duration
	}
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"NoReason", "AddressReused", "Silent", "Leaving"}[r]
}

// CauseOf returns the voter to replace first, if any, and the reason.
func CauseOf(s ClusterState) Cause {
	voter, reason := s.voterToReplace()
	if voter == nil {
		return Cause{}
	}
	id := figbank.ProcessID(voter.GetId())
	return Cause{Voter: id, Address: figbank.Address(voter.GetAddress()), Reason: reason, Silence: s.Contacts[id].Silence}
}
