package ledger

import (
	"bytes"
	"time"

	"figbank/schema"
)

const (
	// answerLifetime is how long the answer under a key can be had again.
	answerLifetime = 24 * time.Hour
	// keyLifetime is how long a used key is refused. Callers must not reuse a key
	// after that; the operators' page says so.
	keyLifetime = 8 * 24 * time.Hour
	// runningLimit is when a claim whose gateway never reported counts as unknown.
	runningLimit = 10 * time.Minute
)

func keyOf(key *schema.ClaimKey) claimKey {
	return claimKey{workspace: key.GetWorkspace(), service: key.GetService(), key: key.GetKey()}
}

// claim reserves a key. A key that is already claimed never leads to a second
// run: the result says what is known of the first.
func (s *State) claim(asked *schema.Claim) *schema.Result {
	record, found := s.claims[keyOf(asked.GetKey())]
	free := !found || record.GetState() == schema.ClaimState_CLAIM_STATE_UNSPECIFIED
	if found && free && record.GetOwner() == asked.GetOwner() {
		return refuse(schema.Refusal_REFUSAL_CLAIM_WITHDRAWN, "the claim was freed by its owner")
	}
	if free {
		s.putClaim(&schema.ClaimRecord{
			Key: asked.GetKey(), Owner: asked.GetOwner(), Fingerprint: asked.GetFingerprint(),
			State: schema.ClaimState_CLAIM_STATE_RUNNING, TimeUnixNano: s.now.UnixNano(),
		})
		return &schema.Result{CommitIndex: s.applied}
	}
	if !bytes.Equal(record.GetFingerprint(), asked.GetFingerprint()) {
		return refuse(schema.Refusal_REFUSAL_CLAIM_MISMATCH, "the key belongs to another request")
	}
	switch {
	case record.GetState() == schema.ClaimState_CLAIM_STATE_DONE && s.age(record) <= answerLifetime:
		return &schema.Result{CommitIndex: s.applied, Recorded: record.GetAnswer()}
	case record.GetState() != schema.ClaimState_CLAIM_STATE_RUNNING:
		return refuse(schema.Refusal_REFUSAL_CLAIM_UNKNOWN, "the outcome of the request under this key is no longer known")
	case record.GetOwner() == asked.GetOwner():
		return &schema.Result{CommitIndex: s.applied}
	case s.age(record) > runningLimit:
		return refuse(schema.Refusal_REFUSAL_CLAIM_UNKNOWN, "the gateway that ran the request under this key did not report its outcome")
	}
	return refuse(schema.Refusal_REFUSAL_CLAIM_RUNNING, "the request under this key is still running")
}

// settle records an outcome for the claim's owner; anyone else's changes
// nothing. A request that never ran leaves its key free to be claimed again, by
// others: its own claim may still be on its way, also when none has come yet.
func (s *State) settle(outcome *schema.Settle) *schema.Result {
	key := keyOf(outcome.GetKey())
	record, found := s.claims[key]
	if !found && outcome.GetState() == schema.ClaimState_CLAIM_STATE_UNSPECIFIED {
		s.putClaim(&schema.ClaimRecord{Key: outcome.GetKey(), Owner: outcome.GetOwner(), TimeUnixNano: s.now.UnixNano()})
	}
	if !found || record.GetOwner() != outcome.GetOwner() || record.GetState() != schema.ClaimState_CLAIM_STATE_RUNNING {
		return &schema.Result{CommitIndex: s.applied}
	}
	s.claims[key] = &schema.ClaimRecord{
		Key: record.GetKey(), Owner: record.GetOwner(), Fingerprint: record.GetFingerprint(),
		State: outcome.GetState(), Answer: outcome.GetAnswer(), TimeUnixNano: record.GetTimeUnixNano(),
	}
	return &schema.Result{CommitIndex: s.applied}
}

func (s *State) putClaim(record *schema.ClaimRecord) {
	key := keyOf(record.GetKey())
	if _, found := s.claims[key]; !found {
		s.claimOrder = append(s.claimOrder, key)
	}
	s.claims[key] = record
}

// expireClaims forgets keys in the order of their claims.
func (s *State) expireClaims() {
	for len(s.claimOrder) > 0 {
		key := s.claimOrder[0]
		if s.age(s.claims[key]) <= keyLifetime {
			return
		}
		delete(s.claims, key)
		s.claimOrder = s.claimOrder[1:]
	}
}

func (s *State) age(record *schema.ClaimRecord) time.Duration {
	return s.now.Sub(time.Unix(0, record.GetTimeUnixNano()))
}
