package feed

import (
	"cmp"
	"hash/fnv"
	"slices"

	"figbank"
)

// minFeeds is the least number of replicas that feed a process, if that many exist.
const minFeeds = 3

// candidate is a replica that may feed a process.
type candidate struct {
	address figbank.Address
	// sameDomain is set for a replica in the process's own failure domain.
	sameDomain bool
	// connected is set for a replica that feeds the process now.
	connected bool
}

// wantedFeeds returns how many of the replicas should feed a process that is not
// itself a replica. One feed more than the largest minority means that at least one
// feed comes from a replica of any majority, so updates arrive when a network
// partition separates a minority of the replicas. Each further feed would only cost
// the replicas CPU time and bandwidth.
func wantedFeeds(replicas int) int {
	minority := max(0, replicas-1) / 2
	return max(minFeeds, minority+1)
}

// choose lists the replicas that should feed the process self, best first: those in
// the same failure domain, then the others. Within both groups the order depends on
// self, so that processes spread over the replicas. The list ends as soon as wanted
// of its replicas are connected. If fewer are connected, it contains every candidate.
func choose(self figbank.ProcessID, candidates []candidate, wanted int) []figbank.Address {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b candidate) int {
		if a.sameDomain != b.sameDomain {
			return preferTrue(a.sameDomain)
		}
		return cmp.Or(cmp.Compare(rendezvousHash(self, a.address), rendezvousHash(self, b.address)), cmp.Compare(a.address, b.address))
	})
	var chosen []figbank.Address
	connected := 0
	for _, c := range ordered {
		if connected == wanted {
			break
		}
		chosen = append(chosen, c.address)
		if c.connected {
			connected++
		}
	}
	return chosen
}

// preferTrue returns the result of a comparison that sorts true before false. first is
// the first operand; the second one must be its opposite.
func preferTrue(first bool) int {
	if first {
		return -1
	}
	return 1
}

// rendezvousHash returns the rank of a replica for a process. Replicas with a lower
// rank are preferred.
func rendezvousHash(self figbank.ProcessID, address figbank.Address) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(self))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}
