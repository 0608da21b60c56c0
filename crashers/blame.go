package crashers

import (
	"slices"
	"time"
)

const (
	// maxUnprovenCrashes is how many upstreams, lost one after the other, a part may crash before
	// it is refused, if no request with it has ever been answered.
	maxUnprovenCrashes = 3
	// maxProvenCrashes is the same for a part that was answered before, and on which many sound
	// requests may depend.
	maxProvenCrashes = 6
	// minDistinctRequests is how many different requests with the part must have crashed
	// upstreams. A single request that crashes upstreams is refused by its Fingerprint.
	minDistinctRequests = 2
	// provenLifetime is how long a pattern of parts that were answered before is refused.
	provenLifetime = time.Minute
)

type (
	// loss is the loss of an upstream while it had a request that it had not begun to answer.
	loss struct {
		crash
		fingerprint Fingerprint
	}

	// verdict is a pattern of parts that crashes upstreams. Requests that contain all of them are
	// refused until the given time.
	verdict struct {
		pattern  []Part
		until    time.Time
		evidence []*loss
	}
)

// blame returns the patterns of parts that explain the losses, those with the most lost
// upstreams first. answeredAt returns when a request with the part was last answered, or the
// zero time. Of the parts of a lost request, those are suspected that were never answered. If
// all were, those are suspected that were not answered after the loss, and it takes more losses.
// One deadly part explains all that was lost with the same upstream.
func blame(losses []*loss, answeredAt func(Part) time.Time) []verdict {
	var verdicts []verdict
	explained := map[Incarnation]bool{}
	for _, proven := range []bool{false, true} {
		for {
			found := strongest(losses, explained, func(l *loss) []Part { return suspects(l, answeredAt, proven) }, proven)
			if found == nil {
				break
			}
			verdicts = append(verdicts, *found)
			for _, l := range found.evidence {
				explained[l.incarnation] = true
			}
		}
	}
	return verdicts
}

// suspects returns the parts that may have caused the loss. With proven not set, it returns
// only parts that were never answered.
func suspects(l *loss, answeredAt func(Part) time.Time, proven bool) []Part {
	var never, open []Part
	for _, part := range l.parts {
		switch at := answeredAt(part); {
		case at.IsZero():
			never = append(never, part)
		case !at.After(l.ended):
			open = append(open, part)
		}
	}
	if len(never) > 0 || !proven {
		return never
	}
	return open
}

// strongest returns the verdict on the part that explains the most losses, or nil if no part
// explains enough of them.
func strongest(losses []*loss, explained map[Incarnation]bool, suspectsOf func(*loss) []Part, proven bool) *verdict {
	needed, lifetime := maxUnprovenCrashes, crashLifetime
	if proven {
		needed, lifetime = maxProvenCrashes, provenLifetime
	}
	byPart := map[Part][]*loss{}
	for _, l := range losses {
		if explained[l.incarnation] {
			continue
		}
		for _, part := range suspectsOf(l) {
			byPart[part] = append(byPart[part], l)
		}
	}
	var best *verdict
	most := 0
	for _, evidence := range byPart {
		count := consecutiveLosses(evidence)
		if count < max(most, needed) || distinctRequests(evidence) < minDistinctRequests {
			continue
		}
		pattern := commonParts(evidence, suspectsOf)
		// An order of equals lets all gateways decide alike.
		if best != nil && count == most && slices.Compare(pattern, best.pattern) >= 0 {
			continue
		}
		most = count
		best = &verdict{pattern: pattern, evidence: evidence, until: evidence[len(evidence)-1].ended.Add(lifetime)}
	}
	return best
}

// consecutiveLosses counts the upstreams that were lost one after the other.
func consecutiveLosses(losses []*loss) int {
	crashes := make([]crash, 0, len(losses))
	for _, l := range losses {
		crashes = append(crashes, l.crash)
	}
	return consecutive(crashes)
}

func distinctRequests(losses []*loss) int {
	seen := map[Fingerprint]bool{}
	for _, l := range losses {
		seen[l.fingerprint] = true
	}
	return len(seen)
}

// commonParts returns the suspected parts that all the losses have in common, sorted.
func commonParts(losses []*loss, suspectsOf func(*loss) []Part) []Part {
	common := slices.Clone(suspectsOf(losses[0]))
	for _, l := range losses[1:] {
		suspected := suspectsOf(l)
		common = slices.DeleteFunc(common, func(part Part) bool { return !slices.Contains(suspected, part) })
	}
	slices.Sort(common)
	return slices.Compact(common)
}

// covers reports whether a request with the given parts contains the whole pattern.
func (v verdict) covers(parts []Part) bool {
	for _, part := range v.pattern {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
