// Package refusals remembers the requests that were refused for want of a place, over all gateways of a failure domain, so
// that a gateway knows a caller that has come back. A balancer sends it to any gateway.
package refusals

import (
	"sync"
	"time"
)

const (
	// lifetime is how long a refusal is remembered. Callers that come back do so sooner.
	lifetime = 6 * time.Second
	// maxRemembered bounds how many refusals are remembered, maxReported how many one report holds.
	maxRemembered = 1 << 14
	maxReported   = 1 << 10
)

// Set holds the refused requests, by their fingerprints. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	expires  map[uint64]time.Time
	reported []uint64
	prunedAt time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{expires: map[uint64]time.Time{}}
}

// Record remembers that this gateway has refused a request.
func (s *Set) Record(now time.Time, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remember(now, fingerprint)
	if len(s.reported) < maxReported {
		s.reported = append(s.reported, fingerprint)
	}
}

// Receive remembers what another gateway has refused.
func (s *Set) Receive(now time.Time, fingerprints []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fingerprint := range fingerprints {
		s.remember(now, fingerprint)
	}
}

// Report returns what this gateway has refused since the last call.
func (s *Set) Report() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := s.reported
	s.reported = nil
	return reported
}

// Contains reports whether a request was refused lately.
func (s *Set) Contains(now time.Time, fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	expires, found := s.expires[fingerprint]
	return found && now.Before(expires)
}

// remember adds a refusal, unless there are too many. The caller holds mu.
func (s *Set) remember(now time.Time, fingerprint uint64) {
	if now.Sub(s.prunedAt) >= time.Second {
		s.prunedAt = now
		for known, expires := range s.expires {
			if !now.Before(expires) {
				delete(s.expires, known)
			}
		}
	}
	if _, found := s.expires[fingerprint]; found || len(s.expires) < maxRemembered {
		s.expires[fingerprint] = now.Add(lifetime)
	}
}
