package ledger

import (
	"bytes"
	"time"

	"figbank/schema"
)

const (
	// answerLifetime is how long a recorded answer is returned for its key.
	answerLifetime = 24 * time.Hour
	// keyLifetime is how long a used key prevents a second run. The operators' page says that
	// callers must not reuse a key after that time.
	keyLifetime = 8 * 24 * time.Hour
	// runningTimeout is the age beyond which the outcome of a claim counts as unknown if
	// its owner has not reported one.
	runningTimeout = 10 * time.Minute
)

func claimKeyOf(key *schema.ClaimKey) claimKey {
	return claimKey{workspace: key.GetWorkspace(), service: key.GetService(), key: key.GetKey()}
}

// claim reserves a key. If another owner has claimed the key and not freed it, the result is the
// recorded answer of that owner's request or a refusal, so that the request does not run a second
// time. A repeated claim of the same owner succeeds while the request is running, since a proposer
// may repeat its command.
func (s *State) claim(request *schema.Claim) *schema.Result {
	record, found := s.claims[claimKeyOf(request.GetKey())]
	// The state Unspecified means that the owner has freed the key.
	available := !found || record.GetState() == schema.ClaimState_CLAIM_STATE_UNSPECIFIED
	if found && available && record.GetOwner() == request.GetOwner() {
		return refuse(schema.Refusal_REFUSAL_CLAIM_WITHDRAWN, "the claim was freed by its owner")
	}
	if available {
		s.putClaim(&schema.ClaimRecord{
			Key: request.GetKey(), Owner: request.GetOwner(), Fingerprint: request.GetFingerprint(),
			State: schema.ClaimState_CLAIM_STATE_RUNNING, TimeUnixNano: s.now.UnixNano(),
		})
		return &schema.Result{CommitIndex: s.applied}
	}
	if !bytes.Equal(record.GetFingerprint(), request.GetFingerprint()) {
		return refuse(schema.Refusal_REFUSAL_CLAIM_MISMATCH, "the key belongs to another request")
	}
	switch {
	case record.GetState() == schema.ClaimState_CLAIM_STATE_DONE && s.age(record) <= answerLifetime:
		return &schema.Result{CommitIndex: s.applied, Recorded: record.GetAnswer()}
	case record.GetState() != schema.ClaimState_CLAIM_STATE_RUNNING:
		return refuse(schema.Refusal_REFUSAL_CLAIM_UNKNOWN, "the outcome of the request under this key is no longer known")
	case record.GetOwner() == request.GetOwner():
		return &schema.Result{CommitIndex: s.applied}
	case s.age(record) > runningTimeout:
		return refuse(schema.Refusal_REFUSAL_CLAIM_UNKNOWN, "the gateway that ran the request under this key did not report its outcome")
	}
	return refuse(schema.Refusal_REFUSAL_CLAIM_RUNNING, "the request under this key is still running")
}

// settle records the outcome of a running claim. It ignores an outcome that is not from the claim's
// owner. The state Unspecified withdraws the claim: the request never ran, and other owners may
// claim the key. The owner itself cannot claim the key again, since a late copy of its claim may
// still arrive. For the same reason, a withdrawal is recorded even if its claim has not arrived
// yet.
func (s *State) settle(outcome *schema.Settle) *schema.Result {
	key := claimKeyOf(outcome.GetKey())
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

// putClaim stores a record under its key. A key that is already stored keeps its
// position in claimOrder.
func (s *State) putClaim(record *schema.ClaimRecord) {
	key := claimKeyOf(record.GetKey())
	if _, found := s.claims[key]; !found {
		s.claimOrder = append(s.claimOrder, key)
	}
	s.claims[key] = record
}

// expireClaims removes keys whose claims are older than keyLifetime, in the order in
// which the keys were first claimed. It stops at the first newer claim, so a key that
// was claimed again delays the removal of the keys after it.
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
