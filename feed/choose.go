package feed

import (
	"cmp"
	"hash/fnv"
	"slices"

	"figbank"
)

// minFeeds is the least number of replicas that feed a process, if that many exist.
const minFeeds = 3

// Progress of a feed from a replica.
const (
	// feedOpening is a feed that is being opened, or that has not been tried yet.
	feedOpening feedState = iota
	// feedConnected is a feed that delivers updates.
	feedConnected
	// feedFailing is a feed that was lost, or that did not deliver in time. It is tried again.
	feedFailing
)

type (
	feedState int

	// candidate is a replica that may feed a process.
	candidate struct {
		address figbank.Address
		// sameDomain is set for a replica in the process's own failure domain.
		sameDomain bool
		state      feedState
	}
)

// wantedFeeds returns how many of the replicas should feed a process that is not itself a replica.
// A network partition may separate a minority of the replicas from the majority. With one feed more
// than the largest possible minority, at least one feed comes from the majority, so updates still
// arrive. Each further feed would only cost the replicas CPU time and bandwidth.
func wantedFeeds(replicas int) int {
	minority := max(0, replicas-1) / 2
	return max(minFeeds, minority+1)
}

// choose lists the replicas that should feed the process self, best first: those in the same
// failure domain, then the others. Within each group the order depends on self, so that processes
// spread over the replicas. The list is only as long as needed to contain wanted replicas that do
// not fail. When a replica is lost, each process that it fed thus connects to one more replica, not
// to all that are left: newcomers cost the replicas most when one of them is missing.
func choose(self figbank.ProcessID, candidates []candidate, wanted int) []figbank.Address {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b candidate) int {
		if a.sameDomain != b.sameDomain {
			return preferTrue(a.sameDomain)
		}
		return cmp.Or(cmp.Compare(rendezvousHash(self, a.address), rendezvousHash(self, b.address)), cmp.Compare(a.address, b.address))
	})
	var chosen []figbank.Address
	working := 0
	for _, c := range ordered {
		if working == wanted {
			break
		}
		chosen = append(chosen, c.address)
		if c.state != feedFailing {
			working++
		}
	}
	return chosen
}

// preferTrue returns the comparison result for two booleans that differ, so that true sorts before
// false. It needs only the first one.
func preferTrue(first bool) int {
	if first {
		return -1
	}
	return 1
}

// rendezvousHash returns a hash of a process and the address of a replica. The process prefers
// replicas with a lower hash.
func rendezvousHash(self figbank.ProcessID, address figbank.Address) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(self))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}
