package registry

import (
	"strconv"
	"strings"
	"time"

	"figbank"
	"figbank/schema"
)

const (
	// maxBirthAhead is how far an upstream's clock may be ahead of this process's.
	maxBirthAhead = 24 * time.Hour
	// maxSequence bounds the number of announcements of one incarnation. A higher number could not
	// be superseded for long.
	maxSequence = 1 << 40
	// maxSlots and maxLayers bound what an upstream can have.
	maxSlots  = 1 << 20
	maxLayers = 1 << 20
	// maxVersion is the highest version that every JSON encoder writes exactly.
	maxVersion = 1 << 53
	// maxCold is the longest time for which an upstream may say that it is slow after its start.
	maxCold = 24 * time.Hour
	// maxRenewals bounds how often an incarnation may serve on after a leave.
	maxRenewals = 1 << 20
)

// CheckInstance returns an InvalidError if a record can't describe an upstream. A record of
// another writer with values at the end of their range would otherwise stay for ever, since no
// announcement supersedes it, or be computed with.
func CheckInstance(now time.Time, record *schema.Instance) error {
	switch {
	case !figbank.IsName(record.GetId()), !figbank.IsName(record.GetService()), record.GetFailureDomain() != "" && !figbank.IsName(record.GetFailureDomain()):
		return invalidInstance("a name is missing, too long or no text")
	case !validAddress(record.GetAddress()):
		return invalidInstance("the address has no host or no valid port")
	case !validBirth(now, record.GetBornUnixMilli()), !validBirth(now, record.GetBirthOrder()):
		return invalidInstance("the birth is out of range")
	case record.GetSequence() > maxSequence:
		return invalidInstance("the sequence is out of range")
	case record.GetRenewals() > maxRenewals:
		return invalidInstance("the number of renewals is out of range")
	case record.GetSlots() < 0 || record.GetSlots() > maxSlots:
		return invalidInstance("the number of slots is out of range")
	case record.GetColdMilliseconds() < 0 || record.GetColdMilliseconds() > maxCold.Milliseconds():
		return invalidInstance("the cold time is out of range")
	case !validWeights(record.GetLoaded()):
		return invalidInstance("the loaded weights are out of range")
	}
	return nil
}

// CheckEngine returns an InvalidError if a state can't describe an engine.
func CheckEngine(now time.Time, state *schema.EngineState) error {
	if !validAddress(state.GetAddress()) || !validBirth(now, state.GetBornUnixMilli()) || !validWeights(state.GetLoaded()) ||
		state.GetSequence() > maxSequence || state.GetAgentStartUnixNano() > now.Add(maxBirthAhead).UnixNano() {
		return figbank.InvalidError{Subject: "engine state", Detail: "a field is missing or out of range"}
	}
	return nil
}

// validAddress reports whether an address names a host and a port from 1 to 65535.
func validAddress(address string) bool {
	colon := strings.LastIndex(address, ":")
	if colon < 0 {
		return false
	}
	host := strings.Trim(address[:colon], "[]")
	port, err := strconv.ParseUint(address[colon+1:], 10, 16)
	return figbank.IsName(host) && host != "0.0.0.0" && host != "::" && err == nil && port > 0
}

func validBirth(now time.Time, milliseconds int64) bool {
	return milliseconds >= 0 && milliseconds <= now.Add(maxBirthAhead).UnixMilli()
}

func validWeights(loaded *schema.LoadedWeights) bool {
	return (loaded.GetModel() == "" || figbank.IsName(loaded.GetModel())) && loaded.GetVersion() >= 0 && loaded.GetVersion() <= maxVersion &&
		loaded.GetLayers() >= 0 && loaded.GetLayers() <= maxLayers
}

func invalidInstance(detail string) error {
	return figbank.InvalidError{Subject: "announcement", Detail: detail}
}
