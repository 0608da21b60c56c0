package crashers

import (
	"time"

	"figbank/schema"
)

const (
	// reportMost bounds the news in one report.
	reportMost = 64
	// repeatMost is how many older crashes a report repeats, for gateways that have
	// missed them.
	repeatMost = 2
)

// Report lists what the gateways at that distance have not been told: near, what
// was seen here; far, what was seen in this failure domain. With it go a few
// crashes of the requests that are suspected most, by turns.
func (s *Set) Report(now time.Time, to Scope) []*schema.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []*schema.CrashReport
	for i := len(s.order) - 1; i >= 0 && len(reports) < reportMost; i-- {
		reports = append(reports, s.news(now, s.order[i], to)...)
	}
	return append(reports, s.repeats(now, to)...)
}

func (s *Set) news(now time.Time, fingerprint Fingerprint, to Scope) []*schema.CrashReport {
	var reports []*schema.CrashReport
	known := s.suspects[fingerprint]
	if !known.answeredAt.IsZero() && known.answered.due(to) {
		reports = append(reports, &schema.CrashReport{
			Fingerprint: uint64(fingerprint), Answered: true, EndedMicrosecondsAgo: now.Sub(known.answeredAt).Microseconds(),
		})
	}
	for i := range known.crashes {
		if c := &known.crashes[i]; c.told.due(to) {
			reports = append(reports, c.report(now, fingerprint))
		}
	}
	return reports
}

// repeats goes through the requests that have crashed more than one upstream.
func (s *Set) repeats(now time.Time, to Scope) []*schema.CrashReport {
	var reports []*schema.CrashReport
	for range min(len(s.order), reportMost) {
		s.repeat = (s.repeat + 1) % len(s.order)
		fingerprint := s.order[s.repeat]
		crashes := s.suspects[fingerprint].crashes
		if len(crashes) <= 1 {
			continue
		}
		for i := range crashes {
			if crashes[i].told.scope < to {
				reports = append(reports, crashes[i].report(now, fingerprint))
			}
		}
		if len(reports) >= repeatMost {
			break
		}
	}
	return reports
}

// due tells once, for each distance, what was seen nearer than that.
func (t *told) due(to Scope) bool {
	done := &t.near
	if to == Far {
		done = &t.far
	}
	due := t.scope < to && !*done
	*done = true
	return due
}

func (c crash) report(now time.Time, fingerprint Fingerprint) *schema.CrashReport {
	return &schema.CrashReport{
		Fingerprint: uint64(fingerprint), Incarnation: uint64(c.incarnation),
		SentMicrosecondsAgo: now.Sub(c.sent).Microseconds(), EndedMicrosecondsAgo: now.Sub(c.ended).Microseconds(),
	}
}

// Hear takes in a report from a gateway at that distance.
func (s *Set) Hear(now time.Time, reports []*schema.CrashReport, from Scope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ago := func(microseconds int64) time.Time {
		return now.Add(-time.Duration(microseconds) * time.Microsecond)
	}
	for _, report := range reports {
		fingerprint := Fingerprint(report.GetFingerprint())
		if report.GetAnswered() {
			s.free(fingerprint, ago(report.GetEndedMicrosecondsAgo()), told{scope: from})
			continue
		}
		s.add(fingerprint, crash{
			incarnation: Incarnation(report.GetIncarnation()), told: told{scope: from},
			sent: ago(report.GetSentMicrosecondsAgo()), ended: ago(report.GetEndedMicrosecondsAgo()),
		})
	}
}
