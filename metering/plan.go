package metering

import (
	"time"

	"figbank/schema"
)

const (
	// settleTime is how long after the end of a window gateways are asked for its final counts. Until then, requests that
	// began at its end are counted, and clocks of hosts may differ by as much.
	settleTime = 300 * time.Millisecond
	// patience is how long after the end of a window gateways are waited for that do not answer.
	patience = 3 * time.Second
)

// Steps towards the report of a window.
const (
	// Wait waits for the window's end, or for gateways.
	Wait Step = iota
	// Fix records the sum in the log.
	Fix
	// Send reports what is fixed.
	Send
	// Done has nothing left to do.
	Done
	// Miss gives the window up, since its report is overdue.
	Miss
)

type (
	// Step is what to do next for a window.
	Step int

	// Progress is how far the report of one window has come.
	Progress struct {
		// Fixed is what the log holds, nil if it is not known to hold anything.
		Fixed    *schema.WindowUsage
		Reported bool
		Missed   bool
		// NotBefore is the time before which the report is not tried again.
		NotBefore time.Duration
		Tries     int
	}
)

// Next returns what to do for a window. sinceEnd is the time since its end, missing the number of gateways whose final
// counts are not known, now the current time, due the time after its end by which it must be reported.
func (p *Progress) Next(now, sinceEnd, due time.Duration, missing int) Step {
	switch {
	case p.Reported || p.Missed:
		return Done
	case sinceEnd >= due:
		return Miss
	case p.Fixed == nil && (sinceEnd < settleTime || missing > 0 && sinceEnd < patience):
		return Wait
	case now < p.NotBefore:
		return Wait
	case p.Fixed == nil:
		return Fix
	}
	return Send
}
