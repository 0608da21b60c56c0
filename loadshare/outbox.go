package loadshare

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"figbank/schema"
)

// maxKeptCrashes bounds how many crash reports wait for a gateway that is slow or lost. The newest are
// kept.
const maxKeptCrashes = 256

type (
	// outbox holds the report to send next to one gateway. A newer report replaces an older one,
	// but the crashes of a report that was not sent are kept, since each is reported once. It is
	// safe for concurrent use.
	outbox struct {
		mu     sync.Mutex
		report *schema.LoadReport
		at     time.Time
	}
)

// put sets the report to send next, made at the given time.
func (o *outbox) put(at time.Time, report *schema.LoadReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report, o.at = withCrashesOf(report, o.report, at.Sub(o.at)), at
}

// take returns the report to send next and when it was made, and removes it. It returns nil if there
// is none.
func (o *outbox) take() (*schema.LoadReport, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	report := o.report
	o.report = nil
	return report, o.at
}

// putBack returns a report that could not be sent.
func (o *outbox) putBack(at time.Time, report *schema.LoadReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.report == nil {
		o.report, o.at = report, at
		return
	}
	o.report = withCrashesOf(o.report, report, o.at.Sub(at))
}

// withCrashesOf returns the newer report with the crashes of the older one, which was made that much
// earlier. The reports stay as they are, since several outboxes may hold them.
func withCrashesOf(newer, older *schema.LoadReport, earlier time.Duration) *schema.LoadReport {
	if len(older.GetCrashes()) == 0 {
		return newer
	}
	merged := &schema.LoadReport{
		From: newer.GetFrom(), FailureDomain: newer.GetFailureDomain(), WholeDomain: newer.GetWholeDomain(),
		Loads: newer.GetLoads(), Limits: newer.GetLimits(),
	}
	for _, crash := range older.GetCrashes() {
		aged := proto.CloneOf(crash)
		aged.EndedMicrosecondsAgo += earlier.Microseconds()
		if aged.GetIncarnation() != 0 {
			aged.SentMicrosecondsAgo += earlier.Microseconds()
		}
		merged.Crashes = append(merged.Crashes, aged)
	}
	merged.Crashes = append(merged.Crashes, newer.GetCrashes()...)
	merged.Crashes = merged.Crashes[max(0, len(merged.Crashes)-maxKeptCrashes):]
	return merged
}
