package replica

import (
	"maps"
	"slices"
	"strings"

	"figbank/voters"
)

// knownReplicas lists the replicas that a host knows, as the feeds of a real deployment do: its own
// subscribers, what the other replicas list, and what lost replicas listed last.
func (m *simulation) knownReplicas(h *simulatedHost) []voters.Replica {
	for address, list := range h.lists {
		list.stale = true
		h.lists[address] = list
	}
	known := map[string]voters.Replica{}
	current := m.subscribers(h)
	current[h.name()] = h.description()
	for _, other := range m.hosts {
		if _, feeds := current[other.name()]; feeds && other != h {
			h.lists[other.address()] = simulatedList{members: m.subscribers(other)}
		}
	}
	for _, stale := range []bool{true, false} {
		for _, list := range h.lists {
			for name, member := range list.members {
				if list.stale == stale {
					member.LastKnown = stale
					known[name] = member
				}
			}
		}
	}
	maps.Copy(known, current)
	return slices.SortedFunc(maps.Values(known), func(a, b voters.Replica) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// subscribers returns the running replicas that reach a host and are reached by it.
func (m *simulation) subscribers(h *simulatedHost) map[string]voters.Replica {
	connected := map[string]voters.Replica{}
	for _, other := range m.hosts {
		cut := m.blocked[[2]int{h.index, other.index}] || m.blocked[[2]int{other.index, h.index}]
		if other != h && other.replica != nil && !cut {
			connected[other.name()] = other.description()
		}
	}
	return connected
}
