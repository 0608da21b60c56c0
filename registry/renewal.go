package registry

import (
	"time"

	"figbank/schema"
)

const (
	// minReportGap is the shortest time between two reports that count as evidence. Reports that the network
	// has held up arrive together.
	minReportGap = 500 * time.Millisecond
	// renewalReports is how many reports show that an incarnation serves on. An upstream that leaves
	// has at most a report or two under way, which may arrive late.
	renewalReports = 3
)

// laterReports counts the reports of an incarnation that came after it was recorded as gone.
type laterReports struct {
	count        int
	lastSequence uint64
	lastAt       time.Time
}

// disprove counts a report, and returns whether the reports show that the leave was not that of this
// incarnation. gone is the record of the leave, goneAt the time since which it is known.
func (l *laterReports) disprove(now, goneAt time.Time, gone, report *schema.Instance) bool {
	if report.GetSequence() <= max(l.lastSequence, gone.GetSequence()) {
		return false
	}
	if l.lastAt.Before(goneAt) {
		l.lastAt = goneAt
	}
	if now.Sub(l.lastAt) < minReportGap {
		return false
	}
	l.count, l.lastSequence, l.lastAt = l.count+1, report.GetSequence(), now
	return l.count >= renewalReports
}
