package feed

import (
	"sync/atomic"
	"time"
)

type (
	// Work is what serving feeds has cost a process since it started.
	Work struct {
		// Joins and Leaves count the subscribers that came and went.
		Joins, Leaves int64
		// Built counts the updates that were built. Empty counts those of them that
		// contained nothing.
		Built, Empty int64
		// BuildTime is the time spent on building updates.
		BuildTime time.Duration
	}

	// workMeter counts Work. It is safe for concurrent use.
	workMeter struct {
		joins, leaves, built, empty, buildTime atomic.Int64
	}
)

// Work returns what serving feeds has cost this process since it started.
func (v *View) Work() Work {
	return Work{
		Joins: v.work.joins.Load(), Leaves: v.work.leaves.Load(), Built: v.work.built.Load(), Empty: v.work.empty.Load(),
		BuildTime: time.Duration(v.work.buildTime.Load()),
	}
}

func (m *workMeter) countUpdate(took time.Duration, empty bool) {
	m.built.Add(1)
	m.buildTime.Add(int64(took))
	if empty {
		m.empty.Add(1)
	}
}

// Since returns the work done after an earlier reading.
func (w Work) Since(earlier Work) Work {
	return Work{
		Joins: w.Joins - earlier.Joins, Leaves: w.Leaves - earlier.Leaves, Built: w.Built - earlier.Built,
		Empty: w.Empty - earlier.Empty, BuildTime: w.BuildTime - earlier.BuildTime,
	}
}
