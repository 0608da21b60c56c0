package registry

import (
	"cmp"

	"figbank/schema"
)

// IsLeave reports whether an instance in the given state gets no new requests for good.
func IsLeave(state schema.InstanceState) bool {
	return state == schema.InstanceState_INSTANCE_STATE_LEAVING || state == schema.InstanceState_INSTANCE_STATE_GONE
}

// Serving reports whether an instance in the given state may get new requests.
func Serving(state schema.InstanceState) bool {
	return state == schema.InstanceState_INSTANCE_STATE_READY
}

// AffectsRouting reports whether the change from a to b affects routing. a is nil for a
// new instance. Of ColdMilliseconds, only the change to or from 0 counts.
func AffectsRouting(a, b *schema.Instance) bool {
	return a == nil ||
		a.GetState() != b.GetState() ||
		a.GetBornUnixMilli() != b.GetBornUnixMilli() ||
		a.GetAddress() != b.GetAddress() ||
		a.GetService() != b.GetService() ||
		a.GetSlots() != b.GetSlots() ||
		(a.GetColdMilliseconds() > 0) != (b.GetColdMilliseconds() > 0) ||
		!sameWeights(a.GetLoaded(), b.GetLoaded())
}

// birthOrder returns the place of a record's incarnation among those of its id.
func birthOrder(record *schema.Instance) int64 {
	return max(record.GetBornUnixMilli(), record.GetBirthOrder())
}

// Supersedes reports whether a replaces b, a record of the same id. Records are ordered by
// incarnation, then by renewals, then by the rank of their state (gone over leaving over the others), then by
// sequence. At equal sequence, a silent record replaces a ready one. The next announcement, with
// a higher sequence, replaces the silent record.
func Supersedes(a, b *schema.Instance) bool {
	if birthOrder(a) != birthOrder(b) {
		return birthOrder(a) > birthOrder(b)
	}
	if a.GetRenewals() != b.GetRenewals() {
		return a.GetRenewals() > b.GetRenewals()
	}
	if stateRank(a) != stateRank(b) {
		return stateRank(a) > stateRank(b)
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetState() == schema.InstanceState_INSTANCE_STATE_SILENT && Serving(b.GetState())
}

// stateRank returns the rank of a record's state. Between two renewals, an incarnation never goes back to
// a state of lower rank.
func stateRank(record *schema.Instance) int {
	switch record.GetState() {
	case schema.InstanceState_INSTANCE_STATE_GONE:
		return 2
	case schema.InstanceState_INSTANCE_STATE_LEAVING:
		return 1
	default:
		return 0
	}
}

// engineSupersedes reports whether a replaces b, a report on the engine at the same
// address. Those of one agent are ordered by their sequence: the clock may go back between two
// starts of the engine. Others are ordered by the engine's incarnation, then by the start of the agent.
func engineSupersedes(a, b *schema.EngineState) bool {
	if a.GetAgentStartUnixNano() == b.GetAgentStartUnixNano() {
		return a.GetSequence() > b.GetSequence()
	}
	return cmp.Or(
		cmp.Compare(a.GetBornUnixMilli(), b.GetBornUnixMilli()),
		cmp.Compare(a.GetAgentStartUnixNano(), b.GetAgentStartUnixNano()),
	) > 0
}

// sameEngine reports whether a and b are equal for routing.
func sameEngine(a, b *schema.EngineState) bool {
	return a.GetBornUnixMilli() == b.GetBornUnixMilli() && a.GetSwitching() == b.GetSwitching() && a.GetLeaving() == b.GetLeaving() &&
		sameWeights(a.GetLoaded(), b.GetLoaded())
}

func sameWeights(a, b *schema.LoadedWeights) bool {
	return a.GetModel() == b.GetModel() && a.GetVersion() == b.GetVersion() && a.GetLayers() == b.GetLayers()
}
