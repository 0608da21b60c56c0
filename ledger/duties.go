package ledger

import (
	"cmp"
	"slices"
	"strings"

	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// maxUsageWindows is the number of windows whose usage the state stores. A successor of the one that reports
// must find all windows that are not overdue.
const maxUsageWindows = 32

// holdDuty gives a duty to the proposer, or renews its lease, if the record is still the one that the proposer has seen.
// Otherwise nothing changes. Either way the result tells the record, so that a command that is proposed once more has
// the result of the first time.
func (s *State) holdDuty(request *schema.HoldDuty) *schema.Result {
	i, found := s.findDuty(request.GetSubject())
	current := &schema.DutyRecord{Subject: request.GetSubject()}
	if found {
		current = s.duties[i]
	}
	if current.GetToken() != request.GetSeenToken() || current.GetRenewals() != request.GetSeenRenewals() {
		return &schema.Result{CommitIndex: s.applied, Duty: current}
	}
	next := &schema.DutyRecord{Subject: request.GetSubject(), Holder: request.GetHolder(), Token: s.applied}
	if current.GetHolder() == request.GetHolder() {
		next.Token, next.Renewals = current.GetToken(), current.GetRenewals()+1
	}
	s.duties = slices.Clone(s.duties)
	if found {
		s.duties[i] = next
	} else {
		s.duties = slices.Insert(s.duties, i, next)
	}
	s.dutiesChanged = true
	return &schema.Result{CommitIndex: s.applied, Duty: next}
}

// fixUsage stores the usage of a window for the holder of the duty to report it, unless it is stored already. The result
// tells what is stored.
func (s *State) fixUsage(request *schema.FixUsage) *schema.Result {
	i, found := s.findDuty(request.GetSubject())
	if !found || s.duties[i].GetToken() != request.GetToken() {
		return refuse(schema.Refusal_REFUSAL_SUPERSEDED, "another process holds the duty")
	}
	usage := request.GetUsage()
	at, fixed := slices.BinarySearchFunc(s.usage, usage.GetWindow(), func(known *schema.WindowUsage, window int64) int {
		return cmp.Compare(known.GetWindow(), window)
	})
	switch {
	case fixed:
		return &schema.Result{CommitIndex: s.applied, Usage: s.usage[at]}
	case at == 0 && len(s.usage) >= maxUsageWindows:
		return refuse(schema.Refusal_REFUSAL_STALE, "the window is older than all that are stored")
	}
	s.usage = slices.Insert(slices.Clone(s.usage), at, proto.CloneOf(usage))
	s.usage = s.usage[max(0, len(s.usage)-maxUsageWindows):]
	return &schema.Result{CommitIndex: s.applied, Usage: usage}
}

// findDuty returns the index of a duty's record, or where to insert it.
func (s *State) findDuty(subject string) (int, bool) {
	return slices.BinarySearchFunc(s.duties, subject, func(known *schema.DutyRecord, subject string) int {
		return strings.Compare(known.GetSubject(), subject)
	})
}

// TakeDuties returns the records of all duties if one has changed since the last call.
func (s *State) TakeDuties() ([]*schema.DutyRecord, bool) {
	changed := s.dutiesChanged
	s.dutiesChanged = false
	return s.duties, changed
}
