// Package crashers detects requests, and parts of prompts, that crash every upstream that runs
// them, so that gateways can refuse them. Gateways report to each other which requests ended with
// the loss of an upstream. A request is refused after several such crashes in a row with no
// complete answer in between. A part of prompts is refused once it is what the losses of several
// upstreams in a row have in common and no request with it has been answered.
package crashers

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is how many upstreams a request may crash before it is refused.
	maxCrashes = 3
	// crashLifetime is how long a crash counts. A request is refused until crashLifetime
	// after its latest crash.
	crashLifetime = 10 * time.Minute
	// maxSuspects bounds the number of requests that are remembered.
	maxSuspects = 4096
)

type (
	// Fingerprint identifies requests with the same workspace, method, target and body.
	Fingerprint uint64

	// Request identifies a request. Parts are those of its prompt that other requests may have
	// too.
	Request struct {
		Fingerprint Fingerprint
		Parts       []Part
	}

	// Incarnation identifies one run of an upstream, from its start to its end.
	Incarnation uint64

	// Set holds the requests that a gateway suspects of crashing upstreams. It is safe for
	// concurrent use.
	Set struct {
		// refusedUntil maps each suspect's Fingerprint to the time.Time until which it is
		// refused, or to the zero time if it is not refused. The request path reads it without
		// taking mu.
		refusedUntil sync.Map

		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
		// order lists the suspects, the least recently changed first.
		order []Fingerprint
		// repeatIndex is the index in order at which repeatedReports stopped last.
		repeatIndex int
		parts       partSet
	}

	// suspect holds the crashes and the latest complete answer of one suspected request.
	suspect struct {
		// crashes are sorted by the field ended.
		crashes []crash
		// answeredAt is when an upstream last answered the request completely.
		answeredAt        time.Time
		answerPropagation propagation
	}

	// crash is the loss of an upstream while it ran the request. The request was sent at
	// sent, and the upstream was lost at ended. parts are empty if the answer had begun.
	crash struct {
		incarnation Incarnation
		parts       []Part
		sent, ended time.Time
		propagation propagation
	}

	// propagation records at which distance an observation was made, and to which other
	// gateways this one has already reported it.
	propagation struct {
		origin                                  Distance
		reportedSameDomain, reportedOtherDomain bool
	}

	// Distance is how far away from this gateway another one is.
	Distance int
)

// Distances from this gateway.
const (
	// SameGateway is this gateway itself.
	SameGateway Distance = iota
	// SameDomain is another gateway in the same failure domain.
	SameDomain
	// OtherDomain is a gateway in another failure domain.
	OtherDomain
)

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{suspects: map[Fingerprint]*suspect{}}
}

// FingerprintOf returns the fingerprint of a request, a hash of its workspace, method,
// target and body.
func FingerprintOf(workspace, method, target string, body []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{workspace, method, target} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}

// IncarnationOf returns the incarnation of an upstream that started at born, in Unix
// milliseconds.
func IncarnationOf(id string, born int64) Incarnation {
	hash := xxhash.New()
	_, _ = hash.WriteString(id)
	for shift := 0; shift < 64; shift += 8 {
		_, _ = hash.Write([]byte{byte(born >> shift & 0xff)})
	}
	return Incarnation(hash.Sum64())
}

// RecordCrash records that an upstream was lost while it ran the request, which was sent
// at the given time. The request's parts must be left out if its answer had begun: a part that
// crashes upstreams does so at once.
func (s *Set) RecordCrash(now time.Time, request Request, incarnation Incarnation, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCrash(request.Fingerprint, crash{incarnation: incarnation, parts: request.Parts, sent: sent, ended: now})
}

// RecordBegun records that an upstream has begun to answer a request with these parts, and
// went on.
func (s *Set) RecordBegun(now time.Time, parts []Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		s.parts.addAnswer(part, now, SameGateway)
	}
}

// RecordAnswer records that an upstream has answered the request completely. Earlier crashes
// of the request no longer count. Requests that are not suspected are ignored.
func (s *Set) RecordAnswer(now time.Time, fingerprint Fingerprint) {
	if _, suspected := s.refusedUntil.Load(fingerprint); !suspected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addAnswer(fingerprint, now, propagation{})
}

// Refuses reports whether the request must not be sent to any upstream.
func (s *Set) Refuses(now time.Time, request Request) bool {
	until, suspected := s.refusedUntil.Load(request.Fingerprint)
	return suspected && now.Before(until.(time.Time)) || s.parts.refuses(now, request.Parts) //nolint:forcetypeassert // updateRefusal stores nothing else
}

// updateRefusal updates refusedUntil after a suspect has changed. The caller holds mu.
func (s *Set) updateRefusal(fingerprint Fingerprint, known *suspect) {
	switch {
	case len(known.crashes) == 0:
		s.refusedUntil.Delete(fingerprint)
	case consecutive(known.crashes) >= maxCrashes:
		s.refusedUntil.Store(fingerprint, known.crashes[len(known.crashes)-1].ended.Add(crashLifetime))
	default:
		s.refusedUntil.Store(fingerprint, time.Time{})
	}
}

// addCrash adds a crash, seen here or reported, unless the request was answered after it.
// An incarnation counts once. It also removes crashes that no longer count. The caller holds
// mu.
func (s *Set) addCrash(fingerprint Fingerprint, seen crash) {
	s.parts.addLoss(fingerprint, seen)
	known := s.touch(fingerprint)
	if !seen.ended.After(known.answeredAt) {
		return
	}
	known.crashes = slices.DeleteFunc(known.crashes, func(c crash) bool { return seen.ended.Sub(c.ended) > crashLifetime })
	same := func(c crash) bool { return c.incarnation == seen.incarnation }
	if !slices.ContainsFunc(known.crashes, same) {
		known.crashes = append(known.crashes, seen)
		slices.SortFunc(known.crashes, func(a, b crash) int { return a.ended.Compare(b.ended) })
	}
	s.updateRefusal(fingerprint, known)
}

// addAnswer adds a complete answer, seen here or reported, and removes earlier crashes. The
// caller holds mu.
func (s *Set) addAnswer(fingerprint Fingerprint, at time.Time, answerPropagation propagation) {
	known := s.touch(fingerprint)
	known.crashes = slices.DeleteFunc(known.crashes, func(c crash) bool { return !c.ended.After(at) })
	known.answeredAt = at
	known.answerPropagation = answerPropagation
	s.updateRefusal(fingerprint, known)
}

// touch returns a suspect, creating it if needed, and marks it as the most recently
// changed. When there are too many, it removes the least recently changed one. The caller
// holds mu.
func (s *Set) touch(fingerprint Fingerprint) *suspect {
	known := s.suspects[fingerprint]
	if known == nil {
		known = &suspect{}
		s.suspects[fingerprint] = known
	} else {
		s.order = slices.DeleteFunc(s.order, func(f Fingerprint) bool { return f == fingerprint })
	}
	s.order = append(s.order, fingerprint)
	if len(s.order) > maxSuspects {
		delete(s.suspects, s.order[0])
		s.refusedUntil.Delete(s.order[0])
		s.order = s.order[1:]
	}
	return known
}

// consecutive counts the upstreams that were lost one after the other: the request was sent
// to each of them only after the previous one was lost. Upstreams that are lost together, for
// instance in a power cut, prove nothing about the requests that all of them ran.
func consecutive(crashes []crash) int {
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
