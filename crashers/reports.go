package crashers

import (
	"time"

	"figbank/schema"
)

const (
	// maxReports bounds a message: once it has maxReports new entries, it gets no entries of
	// further suspects. It also bounds how many suspects are searched for crashes to repeat.
	maxReports = 64
	// maxRepeats bounds the repetition: once a message repeats maxRepeats crashes, it repeats
	// none of further suspects. Crashes are repeated for gateways that have missed them.
	maxRepeats = 2
)

// Report returns the entries of the next message to the gateways at distance to: observations
// that they have not been sent yet, and a few repeated crashes. Only crashes of requests or parts
// that have crashed several upstreams are repeated, and these take turns. Gateways in
// this failure domain get what this gateway observed. Gateways in other domains also get what
// the gateways of this domain have reported.
func (s *Set) Report(now time.Time, to Distance) []*schema.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []*schema.CrashReport
	for i := len(s.order) - 1; i >= 0 && len(reports) < maxReports; i-- {
		reports = append(reports, s.newReports(now, s.order[i], to)...)
	}
	reports = append(reports, s.parts.answerReports(now, to)...)
	reports = append(reports, s.parts.evidenceReport(now, to)...)
	return append(reports, s.repeatedReports(now, to)...)
}

// newReports returns the observations of one suspect that have not been reported to the
// gateways at distance to, and marks them as reported. The caller holds mu.
func (s *Set) newReports(now time.Time, fingerprint Fingerprint, to Distance) []*schema.CrashReport {
	var reports []*schema.CrashReport
	known := s.suspects[fingerprint]
	if !known.answeredAt.IsZero() && known.answerPropagation.markReported(to) {
		reports = append(reports, &schema.CrashReport{
			Fingerprint: uint64(fingerprint), Answered: true, EndedMicrosecondsAgo: now.Sub(known.answeredAt).Microseconds(),
		})
	}
	for i := range known.crashes {
		if c := &known.crashes[i]; c.propagation.markReported(to) {
			reports = append(reports, c.report(now, fingerprint))
		}
	}
	return reports
}

// repeatedReports returns the crashes of the next suspects that have crashed more than one
// upstream. Successive calls rotate through the suspects. The caller holds mu.
func (s *Set) repeatedReports(now time.Time, to Distance) []*schema.CrashReport {
	var reports []*schema.CrashReport
	for range min(len(s.order), maxReports) {
		s.repeatIndex = (s.repeatIndex + 1) % len(s.order)
		fingerprint := s.order[s.repeatIndex]
		crashes := s.suspects[fingerprint].crashes
		if len(crashes) <= 1 {
			continue
		}
		for i := range crashes {
			if crashes[i].propagation.origin < to {
				reports = append(reports, crashes[i].report(now, fingerprint))
			}
		}
		if len(reports) >= maxRepeats {
			break
		}
	}
	return reports
}

// markReported marks an observation as reported to the gateways at distance to. It returns
// true if the observation must be reported to them now: it was made at a smaller distance,
// and was not marked before.
func (s *propagation) markReported(to Distance) bool {
	reported := &s.reportedSameDomain
	if to == OtherDomain {
		reported = &s.reportedOtherDomain
	}
	due := s.origin < to && !*reported
	*reported = true
	return due
}

func (c crash) report(now time.Time, fingerprint Fingerprint) *schema.CrashReport {
	report := &schema.CrashReport{
		Fingerprint: uint64(fingerprint), Incarnation: uint64(c.incarnation),
		SentMicrosecondsAgo: now.Sub(c.sent).Microseconds(), EndedMicrosecondsAgo: now.Sub(c.ended).Microseconds(),
	}
	for _, part := range c.parts {
		report.Parts = append(report.Parts, uint64(part))
	}
	return report
}

// Receive adds the reports of a gateway at distance from.
func (s *Set) Receive(now time.Time, reports []*schema.CrashReport, from Distance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ago := func(microseconds int64) time.Time {
		return now.Add(-time.Duration(microseconds) * time.Microsecond)
	}
	for _, report := range reports {
		fingerprint := Fingerprint(report.GetFingerprint())
		parts := receivedParts(report)
		if report.GetAnswered() {
			for _, part := range parts {
				s.parts.addAnswer(part, ago(report.GetEndedMicrosecondsAgo()), from)
			}
			if len(parts) > 0 {
				continue
			}
			s.addAnswer(fingerprint, ago(report.GetEndedMicrosecondsAgo()), propagation{origin: from})
			continue
		}
		s.addCrash(fingerprint, crash{
			incarnation: Incarnation(report.GetIncarnation()), parts: parts, propagation: propagation{origin: from},
			sent: ago(report.GetSentMicrosecondsAgo()), ended: ago(report.GetEndedMicrosecondsAgo()),
		})
	}
}

func receivedParts(report *schema.CrashReport) []Part {
	parts := make([]Part, 0, len(report.GetParts()))
	for _, part := range report.GetParts() {
		parts = append(parts, Part(part))
	}
	return parts
}
