// Package crashers keeps requests that crash each upstream that runs them from
// going on doing so. Gateways tell each other which requests they saw end with
// the loss of an upstream; one that has done so several times in a row, and was
// answered nowhere, is refused.
package crashers

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesMost is how many upstreams a request may crash.
	crashesMost = 3
	// memory is how long crashes count after the latest.
	memory = 10 * time.Minute
	// suspectsMost bounds the requests that are remembered.
	suspectsMost = 4096
)

type (
	// Fingerprint is what requests have in common that are the same but for their id.
	Fingerprint uint64

	// Incarnation is one life of an upstream.
	Incarnation uint64

	// Set is the suspects that a gateway knows of. It is safe for concurrent use.
	Set struct {
		// verdicts maps each suspect's fingerprint to the time until which it is
		// refused, for the request path.
		verdicts sync.Map

		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
		// order lists the suspects, the one that changed longest ago first.
		order  []Fingerprint
		repeat int
	}

	suspect struct {
		// crashes are in the order of their ends.
		crashes []crash
		// answeredAt is when an upstream has last answered the request whole.
		answeredAt time.Time
		answered   told
	}

	// crash is the loss of an upstream while it ran the request.
	crash struct {
		incarnation Incarnation
		sent, ended time.Time
		told        told
	}

	// told says where a piece of news came from and who has been told.
	told struct {
		scope     Scope
		near, far bool
	}

	// Scope is how far away something was seen.
	Scope int
)

// Where something was seen.
const (
	// Here is at this gateway.
	Here Scope = iota
	// Near is at another gateway of the failure domain.
	Near
	// Far is in another failure domain.
	Far
)

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{suspects: map[Fingerprint]*suspect{}}
}

// FingerprintOf identifies a request by all that the upstream is given of it,
// but for its id.
func FingerprintOf(workspace, method, target string, body []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{workspace, method, target} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}

// IncarnationOf identifies one life of an upstream. Born is in milliseconds.
func IncarnationOf(id string, born int64) Incarnation {
	hash := xxhash.New()
	_, _ = hash.WriteString(id)
	for shift := 0; shift < 64; shift += 8 {
		_, _ = hash.Write([]byte{byte(born >> shift & 0xff)})
	}
	return Incarnation(hash.Sum64())
}

// Crashed notes that an upstream was lost while it ran a request sent then.
func (s *Set) Crashed(now time.Time, fingerprint Fingerprint, incarnation Incarnation, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(fingerprint, crash{incarnation: incarnation, sent: sent, ended: now})
}

// Answered notes that an upstream has answered a request whole, which speaks it
// free of what was seen before.
func (s *Set) Answered(now time.Time, fingerprint Fingerprint) {
	if _, suspected := s.verdicts.Load(fingerprint); !suspected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free(fingerprint, now, told{})
}

// Refuses tells whether a request is not to be sent to any upstream.
func (s *Set) Refuses(now time.Time, fingerprint Fingerprint) bool {
	until, suspected := s.verdicts.Load(fingerprint)
	return suspected && now.Before(until.(time.Time)) //nolint:forcetypeassert // judge stores nothing else
}

// judge keeps the verdict on a suspect up to date.
func (s *Set) judge(fingerprint Fingerprint, known *suspect) {
	switch {
	case len(known.crashes) == 0:
		s.verdicts.Delete(fingerprint)
	case inRow(known.crashes) >= crashesMost:
		s.verdicts.Store(fingerprint, known.crashes[len(known.crashes)-1].ended.Add(memory))
	default:
		s.verdicts.Store(fingerprint, time.Time{})
	}
}

func (s *Set) add(fingerprint Fingerprint, seen crash) {
	known := s.touch(fingerprint)
	if !seen.ended.After(known.answeredAt) {
		return
	}
	known.crashes = slices.DeleteFunc(known.crashes, func(c crash) bool { return seen.ended.Sub(c.ended) > memory })
	same := func(c crash) bool { return c.incarnation == seen.incarnation }
	if !slices.ContainsFunc(known.crashes, same) {
		known.crashes = append(known.crashes, seen)
		slices.SortFunc(known.crashes, func(a, b crash) int { return a.ended.Compare(b.ended) })
	}
	s.judge(fingerprint, known)
}

func (s *Set) free(fingerprint Fingerprint, at time.Time, heard told) {
	known := s.touch(fingerprint)
	known.crashes = slices.DeleteFunc(known.crashes, func(c crash) bool { return !c.ended.After(at) })
	known.answeredAt = at
	known.answered = heard
	s.judge(fingerprint, known)
}

// touch returns a suspect as the one that changed last, and forgets the one that
// changed longest ago when there are too many.
func (s *Set) touch(fingerprint Fingerprint) *suspect {
	known := s.suspects[fingerprint]
	if known == nil {
		known = &suspect{}
		s.suspects[fingerprint] = known
	} else {
		s.order = slices.DeleteFunc(s.order, func(f Fingerprint) bool { return f == fingerprint })
	}
	s.order = append(s.order, fingerprint)
	if len(s.order) > suspectsMost {
		delete(s.suspects, s.order[0])
		s.verdicts.Delete(s.order[0])
		s.order = s.order[1:]
	}
	return known
}

// inRow is how many upstreams were lost one after the other: each while it ran a
// request that was sent after the one before was lost. Upstreams that are lost
// together, to a power cut, say nothing about the requests that all of them ran.
func inRow(crashes []crash) int {
	count := 0
	var last time.Time
	for _, c := range crashes {
		if !c.sent.Before(last) {
			count++
			last = c.ended
		}
	}
	return count
}
