package metering

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
)

const (
	// maxWorkspaces bounds how many workspaces are counted in one window.
	maxWorkspaces = 1 << 14
	// extraWindows is how many windows are kept beyond those that may still be reported.
	extraWindows = 2
)

// Counter counts the requests of one gateway that have begun to run. It is safe for concurrent use.
type Counter struct {
	common  figbank.Common
	wall    *WallTime
	keep    int
	started int64

	mu      sync.Mutex
	windows map[Window]map[figbank.Workspace]int64
}

// NewCounter returns a counter that keeps the windows that end up to due ago.
func NewCounter(common figbank.Common, wall *WallTime, due time.Duration) *Counter {
	return &Counter{
		common: common.Named("metering"), wall: wall, keep: int(due/wall.length) + 1 + extraWindows,
		started: common.Clock.Now().UnixNano(), windows: map[Window]map[figbank.Workspace]int64{},
	}
}

// Begin counts a request that has begun to run just now.
func (c *Counter) Begin(workspace figbank.Workspace) {
	window := c.wall.Window()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, found := c.windows[window]
	if !found {
		counts = map[figbank.Workspace]int64{}
		c.windows[window] = counts
		c.forget(window)
	}
	if _, found := counts[workspace]; !found && len(counts) >= maxWorkspaces {
		c.common.Log.Error("metering: too many workspaces in one window, request not counted", zap.String("workspace", string(workspace)), zap.Int64("window", int64(window)))
		return
	}
	counts[workspace]++
}

// forget drops the oldest windows beyond those that are kept. The caller holds mu.
func (c *Counter) forget(newest Window) {
	maps.DeleteFunc(c.windows, func(window Window, _ map[figbank.Workspace]int64) bool { return window <= newest-Window(c.keep) })
}

// Answer returns what has been counted from a window on.
func (c *Counter) Answer(from Window) *schema.UsageAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := &schema.UsageAnswer{StartUnixNano: c.started}
	for window, counts := range c.windows {
		if window >= from {
			answer.Windows = append(answer.Windows, encodeWindow(window, counts))
		}
	}
	slices.SortFunc(answer.Windows, func(a, b *schema.WindowUsage) int { return cmp.Compare(a.GetWindow(), b.GetWindow()) })
	return answer
}

// Serve answers the asks on one stream.
func (c *Counter) Serve(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	for {
		ask := &schema.UsageAsk{}
		if err := stream.Receive(ask); err != nil {
			return
		}
		if err := stream.Send(c.Answer(Window(ask.GetFromWindow()))); err != nil {
			return
		}
	}
}

// encodeWindow returns the counts of a window, sorted by workspace, so that equal counts have equal messages.
func encodeWindow(window Window, counts map[figbank.Workspace]int64) *schema.WindowUsage {
	usage := &schema.WindowUsage{Window: int64(window)}
	for _, workspace := range slices.Sorted(maps.Keys(counts)) {
		usage.Workspaces = append(usage.Workspaces, &schema.WorkspaceUsage{Workspace: string(workspace), Requests: counts[workspace]})
	}
	return usage
}
