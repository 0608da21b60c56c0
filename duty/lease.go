// Package duty lets one process at a time carry out a duty for the whole deployment. The holder is recorded in the
// replicated log, with a fencing token that grows at each change. It renews its lease there, and stops by itself in time
// when it cannot. Times are those of the host's boot-time clock, which goes on while the host is suspended; the clocks
// of two hosts are never compared.
package duty

import (
	"time"

	"figbank/schema"
)

const (
	// renewalsPerLease is how many renewals a holder tries in the time of one lease.
	renewalsPerLease = 4
	// othersDelay is how much longer a process waits that the log does not prefer, so that usually only one tries.
	othersDelay = 700 * time.Millisecond
)

// Steps that a process takes towards a duty.
const (
	// Wait does nothing.
	Wait Step = iota
	// Take proposes to become the holder.
	Take
	// Renew proposes to go on as the holder.
	Renew
)

type (
	// Step is what a process does next.
	Step int

	// Terms are the times that hold for all leases of a deployment.
	Terms struct {
		// Length is how long a holder may act after the start of a renewal that was accepted.
		Length time.Duration
		// TakeoverDelay is how much longer than Length a successor waits after the last renewal that it has seen.
		TakeoverDelay time.Duration
	}

	// Lease decides when one process takes a duty, renews its lease of it, and may act. It is not safe for concurrent
	// use.
	//
	// A successor has seen the record unchanged for longer than Length, and the log accepts it only if the record is
	// unchanged still. The last renewal of the holder was thus accepted before that time, and began even earlier. So
	// the holder does not act any more, and has not for TakeoverDelay.
	Lease struct {
		terms Terms
		// self identifies this run of the process. After a restart it is another holder, which must wait too.
		self    string
		subject string

		seen   *schema.DutyRecord
		seenAt time.Duration
		// asked is the command that was proposed last, askedAt when it was for the first time.
		asked   *schema.HoldDuty
		askedAt time.Duration
		// began is the start of the lease.
		began time.Duration
		holds bool
		// abstainsUntil is the time before which this process does not take the duty again.
		abstainsUntil time.Duration
	}
)

// CallTime returns how long one call of a holder may take, so that a holder that renews its lease in time may always begin
// one.
func (t Terms) CallTime() time.Duration {
	return t.Length * 2 / 5
}

// NewLease returns the lease of a process that has seen no record at the time now.
func NewLease(terms Terms, subject, self string, now time.Duration) *Lease {
	return &Lease{terms: terms, self: self, subject: subject, seen: &schema.DutyRecord{Subject: subject}, seenAt: now}
}

// Observe stores the record as the log has it. Records that are older than the one seen last change nothing.
func (l *Lease) Observe(now time.Duration, record *schema.DutyRecord) {
	if !isNewer(record, l.seen) {
		return
	}
	l.seen, l.seenAt = record, now
	l.holds = l.holds && record.GetHolder() == l.self
}

// Next returns what to do now. preferred is set on the process that should hold the duty if nobody does.
func (l *Lease) Next(now time.Duration, preferred bool) Step {
	if now < l.abstainsUntil {
		return Wait
	}
	if l.holds && now < l.began+l.terms.Length {
		if now-l.began >= l.terms.Length/renewalsPerLease {
			return Renew
		}
		return Wait
	}
	patience := l.terms.Length + l.terms.TakeoverDelay
	if !preferred {
		patience += othersDelay
	}
	if now-l.seenAt > patience {
		return Take
	}
	return Wait
}

// Propose returns the command that takes the duty or renews the lease. The lease counts from the first time that a command
// was proposed, even if only a later try is answered: the first one may have been accepted.
func (l *Lease) Propose(now time.Duration) *schema.HoldDuty {
	if l.asked == nil || l.asked.GetSeenToken() != l.seen.GetToken() || l.asked.GetSeenRenewals() != l.seen.GetRenewals() {
		l.asked = &schema.HoldDuty{Subject: l.subject, Holder: l.self, SeenToken: l.seen.GetToken(), SeenRenewals: l.seen.GetRenewals()}
		l.askedAt = now
	}
	return l.asked
}

// Confirm stores the record that the log has returned for the proposed command. A process that has given the duty up
// meanwhile does not get it back.
func (l *Lease) Confirm(now time.Duration, record *schema.DutyRecord) {
	asked := l.asked
	l.Observe(now, record)
	taken := record.GetToken() != asked.GetSeenToken() && record.GetRenewals() == 0
	renewed := record.GetToken() == asked.GetSeenToken() && record.GetRenewals() == asked.GetSeenRenewals()+1
	if record.GetHolder() != l.self || !taken && !renewed || record.GetToken() != l.seen.GetToken() {
		return
	}
	if now >= l.abstainsUntil {
		l.holds, l.began = true, l.askedAt
	}
}

// Token returns the fencing token, and whether this process may begin to act now if that takes up to the given time.
func (l *Lease) Token(now, takes time.Duration) (uint64, bool) {
	return l.seen.GetToken(), l.holds && now+takes < l.began+l.terms.Length
}

// Abstain gives the duty up, so that another process can take it after the end of the lease. This one does not try
// before the time until.
func (l *Lease) Abstain(until time.Duration) {
	l.holds, l.abstainsUntil = false, until
}

// Holder returns who holds the duty as far as is known, empty if nobody ever has.
func (l *Lease) Holder() string {
	return l.seen.GetHolder()
}

func isNewer(a, b *schema.DutyRecord) bool {
	if a.GetToken() != b.GetToken() {
		return a.GetToken() > b.GetToken()
	}
	return a.GetRenewals() > b.GetRenewals()
}
