package feed

import (
	"cmp"
	"hash/fnv"
	"slices"

	"figbank"
)

// leastFollowed is how many replicas feed a process at least, where there are as many.
const leastFollowed = 3

// candidate is a replica that may feed a process.
type candidate struct {
	address figbank.Address
	// near ones stand in the process's own failure domain.
	near bool
	// reached ones feed the process at present.
	reached bool
}

// wantedOf is how many of some replicas feed a process that is none itself: one
// more than a minority, so that news arrives however the replicas are cut apart,
// and no more, since each feed costs its replica time and its links bytes.
func wantedOf(replicas int) int {
	minority := max(0, replicas-1) / 2
	return max(leastFollowed, minority+1)
}

// choose lists the replicas to follow, best first: near ones, then others in an
// order of this process's own, which spreads processes over replicas. Beyond
// those wanted it lists as many as it takes to have the wanted number reached.
func choose(self figbank.ProcessID, candidates []candidate, wanted int) []figbank.Address {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b candidate) int {
		if a.near != b.near {
			return preferTrue(a.near)
		}
		return cmp.Or(cmp.Compare(weight(self, a.address), weight(self, b.address)), cmp.Compare(a.address, b.address))
	})
	var chosen []figbank.Address
	reached := 0
	for _, c := range ordered {
		if reached == wanted {
			break
		}
		chosen = append(chosen, c.address)
		if c.reached {
			reached++
		}
	}
	return chosen
}

func preferTrue(first bool) int {
	if first {
		return -1
	}
	return 1
}

func weight(self figbank.ProcessID, address figbank.Address) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(self))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}
