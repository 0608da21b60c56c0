package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"figbank/caller"
	"figbank/deployment"
)

const (
	// drainInterval is the time between two chats. Bookings are five times as far apart.
	drainInterval = 8 * time.Millisecond
	// drainBefore is how long the load runs before the domain is taken out.
	drainBefore = 5 * time.Second
	// drainDuring is how long the load runs while the domain is out.
	drainDuring = 8 * time.Second
	// drainAfter is how long the load runs after the domain was brought back.
	drainAfter = 6 * time.Second
	// drainGrace is how long a domain may still get new work after it was taken out.
	drainGrace = 3 * time.Second
	// retryAttempts bounds how many times a caller sends a request that is refused as not run.
	retryAttempts = 20
	// maxSlowestOverMedian bounds the time of the slowest request in multiples of the median.
	maxSlowestOverMedian = 2
)

// Drain takes a failure domain out of service under load and brings it back. If abrupt is set,
// it measures the baseline: the engines of the domain stop without notice and do not come back.
func Drain(d *deployment.Deployment, abrupt bool, seed uint64) *Report {
	cluster := NewCluster(d, DefaultPolicy())
	defer cluster.Close()
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	domain := d.Domains[1]
	var load, bookings LoadGenerator
	done := make(chan struct{})
	go func() {
		defer close(done)
		bookings.Run(cluster, 5*drainInterval, drainBefore+drainDuring+drainAfter, retryAttempts, rand.New(rand.NewPCG(seed, 2)), func(i int) Request { //nolint:gosec // repeatable
			id := fmt.Sprintf("booking-%d", i)
			return Request{Service: d.BookingService(), Workspace: d.Workspaces[i%len(d.Workspaces)], Key: id, Body: callBody{ID: id}}
		})
	}()
	chats := func(duration time.Duration) {
		load.Run(cluster, drainInterval, duration, retryAttempts, random, func(i int) Request {
			return Request{
				Service: d.ModelService(), Workspace: d.Workspaces[i%len(d.Workspaces)],
				Body: callBody{Model: string(d.ModelService().Name), ID: fmt.Sprintf("chat-%d", i)},
			}
		})
	}
	chats(drainBefore)
	if abrupt {
		cluster.stopEngines(string(domain.Name))
	} else {
		cluster.DeclareDomain(domain.Name, 1, "Out")
	}
	chats(drainGrace)
	before := cluster.runsIn(string(domain.Name))
	chats(drainDuring - drainGrace)
	misplaced := cluster.runsIn(string(domain.Name)) - before
	if !abrupt {
		cluster.DeclareDomain(domain.Name, 2, "In")
	}
	chats(drainAfter)
	returned := cluster.runsIn(string(domain.Name)) - before - misplaced
	<-done
	r := &Report{}
	results := append(load.Wait(), bookings.Wait()...)
	counts, median, worst := summarize(results)
	r.Note("Requests", float64(len(results)), "requests")
	r.AtMost("Lost", float64(counts.lost), "requests", 0)
	r.AtMost("Unknown", float64(counts.unknown), "requests", 0)
	r.AtMost("Cut", float64(counts.incomplete), "requests", 0)
	r.AtMost("DoubleRuns", float64(cluster.BookingRuns.Duplicates()), "bookings", 0)
	r.AtMost("Misplaced", float64(misplaced), "calls", 0)
	r.AtLeast("AfterReturn", float64(returned), "calls", 1)
	r.Note("Median", median.Seconds()*1000, "ms")
	r.AtMost("SlowestOverMedian", float64(worst)/float64(max(1, median)), "ratio", maxSlowestOverMedian)
	return r
}

type counts struct {
	answered, lost, unknown, incomplete int
}

// summarize counts the results by outcome, and returns the median and the longest time of
// the answered requests. A request whose last answer was a refusal as not run counts as lost.
func summarize(results []Result) (c counts, median, worst time.Duration) {
	var times []time.Duration
	for _, result := range results {
		switch {
		case result.Incomplete:
			c.incomplete++
		case result.Outcome == caller.NotRun:
			c.lost++
		case result.Outcome == "Unknown":
			c.unknown++
		default:
			c.answered++
			times = append(times, result.Duration)
		}
	}
	if len(times) == 0 {
		return c, 0, 0
	}
	slices.Sort(times)
	return c, times[len(times)/2], times[len(times)-1]
}

// runsIn returns how many calls the engines of a domain have run.
func (c *Cluster) runsIn(domain string) int {
	total := 0
	for _, u := range c.Upstreams {
		if string(u.domain.Name) == domain {
			runs, _ := u.Engine.Counts()
			total += runs
		}
	}
	return total
}

// stopEngines makes the engines of a domain abort their calls and refuse new ones.
func (c *Cluster) stopEngines(domain string) {
	for _, u := range c.Upstreams {
		if string(u.domain.Name) == domain {
			u.Engine.SetDown(true)
		}
	}
}
