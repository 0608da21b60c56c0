package soak

import (
	"fmt"
	"time"

	"figbank/platform/standin"
)

// usageLease is the length of the lease of the duty to report usage, usageTakeover the setting TakeoverDelay.
const (
	usageLease    = time.Second
	usageTakeover = 300 * time.Millisecond
	// usageDuty is the platform's name of the duty.
	usageDuty = "usage_report"
)

// usageSection returns the settings of the duty to report usage.
func usageSection(receiver *standin.UsageReceiver) string {
	return fmt.Sprintf(`[Duties]
Receiver = %s
Assigned = %s
LeaseTime = %s
TakeoverDelay = %s
UsageWindow = 2s
UsageDue = 10s
`, receiver.Address(), usageDuty, usageLease, usageTakeover)
}

// checkUsage checks that one process at a time has reported usage, and no more requests than have run. What a killed gateway had
// not told yet may be missing.
func (r *run) checkUsage() {
	for _, broken := range r.cluster.receiver.Broken() {
		r.record.addViolation("Usage", "%s", broken)
	}
	reported, windows := r.cluster.receiver.Total()
	total, ran := int64(0), 0
	for _, requests := range reported {
		total += requests
	}
	for _, runs := range r.cluster.runCounts() {
		ran += runs
	}
	r.printf("usage: %d requests reported in %d windows, %d ran", total, windows, ran)
	if total > int64(ran) {
		r.record.addViolation("Usage", "%d requests are reported, but only %d ran", total, ran)
	}
	if windows == 0 {
		r.record.addViolation("Usage", "no window was reported")
	}
}
