package metering

import (
	"maps"
	"time"

	"figbank"
	"figbank/schema"
)

type (
	// Collector adds up what gateways have counted. It is not safe for concurrent use.
	Collector struct {
		runs map[run]map[Window]map[figbank.Workspace]int64
		// answered holds, for each gateway, the time at which the newest ask began that it has answered.
		answered map[figbank.ProcessID]time.Duration
	}

	// run is one run of a gateway. A gateway that restarts counts from 0 again.
	run struct {
		gateway figbank.ProcessID
		start   int64
	}
)

// NewCollector returns a collector without counts.
func NewCollector() *Collector {
	return &Collector{runs: map[run]map[Window]map[figbank.Workspace]int64{}, answered: map[figbank.ProcessID]time.Duration{}}
}

// Add stores the answer of a gateway to an ask that began at the time askedAt. Answers may come in any order.
func (c *Collector) Add(gateway figbank.ProcessID, askedAt time.Duration, answer *schema.UsageAnswer) {
	c.answered[gateway] = max(c.answered[gateway], askedAt)
	key := run{gateway: gateway, start: answer.GetStartUnixNano()}
	windows, found := c.runs[key]
	if !found {
		windows = map[Window]map[figbank.Workspace]int64{}
		c.runs[key] = windows
	}
	for _, usage := range answer.GetWindows() {
		counts, found := windows[Window(usage.GetWindow())]
		if !found {
			counts = map[figbank.Workspace]int64{}
			windows[Window(usage.GetWindow())] = counts
		}
		for _, workspace := range usage.GetWorkspaces() {
			name := figbank.Workspace(workspace.GetWorkspace())
			counts[name] = max(counts[name], workspace.GetRequests())
		}
	}
}

// Missing returns how many of the gateways have not answered an ask that began after the given time.
func (c *Collector) Missing(gateways []figbank.ProcessID, after time.Duration) int {
	missing := 0
	for _, gateway := range gateways {
		if c.answered[gateway] < after {
			missing++
		}
	}
	return missing
}

// Sum returns what all runs of all gateways have counted in a window, those of lost gateways too.
func (c *Collector) Sum(window Window) *schema.WindowUsage {
	sum := map[figbank.Workspace]int64{}
	for _, windows := range c.runs {
		for workspace, requests := range windows[window] {
			sum[workspace] += requests
		}
	}
	return encodeWindow(window, sum)
}

// Forget drops the counts of all windows before the given one.
func (c *Collector) Forget(before Window) {
	for key, windows := range c.runs {
		maps.DeleteFunc(windows, func(window Window, _ map[figbank.Workspace]int64) bool { return window < before })
		if len(windows) == 0 {
			delete(c.runs, key)
		}
	}
}
