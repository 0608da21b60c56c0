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

// otherReports counts the reports of an incarnation whose birth is not later than that of the known one. A report that the
// network has held up comes alone; an incarnation that runs reports again and again, and the known one does not.
type otherReports struct {
	bornUnixMilli int64
	reports       laterReports
}

// prove counts a report, and returns whether the reports show that the incarnation runs in place of the known one, which was
// announced last at knownAt. A report without a birth shows nothing, and none shows anything that came before the known
// one was announced again.
func (o *otherReports) prove(now, knownAt time.Time, report *schema.Instance) bool {
	if report.GetBornUnixMilli() == 0 {
		return false
	}
	if o.bornUnixMilli != report.GetBornUnixMilli() || knownAt.After(o.reports.lastAt) {
		*o = otherReports{bornUnixMilli: report.GetBornUnixMilli()}
	}
	return o.reports.disprove(now, knownAt, nil, report)
}

// laterReports counts the reports of an incarnation that came after it was recorded as gone.
type laterReports struct {
	count        int
	lastSequence uint64
	lastAt       time.Time
}

// disprove counts a report, and returns whether the reports show that the leave was not that of this
// incarnation. gone is the record of the leave, or nil, goneAt the time since which it is known.
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
