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
	drainInterval = 8 * time.Millisecond
	drainLead     = 5 * time.Second
	drainOut      = 8 * time.Second
	drainTail     = 6 * time.Second
	// drainGrace is how long a domain that was taken out may still get new work.
	drainGrace = 3 * time.Second
	// tries of a caller that is told to come back.
	patientTries = 20
	// slowest is how much longer than the median any request may take.
	slowest = 2
)

// Drain takes a failure domain out under load and brings it back. Abrupt is the
// baseline: the domain's upstreams just stop.
func Drain(d *deployment.Deployment, abrupt bool, seed uint64) *Report {
	w := NewWorld(d, DefaultPolicy())
	defer w.Close()
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	domain := d.Domains[1]
	var load, bookings Load
	done := make(chan struct{})
	go func() {
		defer close(done)
		bookings.Run(w, 5*drainInterval, drainLead+drainOut+drainTail, patientTries, rand.New(rand.NewPCG(seed, 2)), func(i int) Request { //nolint:gosec // repeatable
			id := fmt.Sprintf("booking-%d", i)
			return Request{Service: d.BookingService(), Workspace: d.Workspaces[i%len(d.Workspaces)], Key: id, Body: callBody{ID: id}}
		})
	}()
	chats := func(duration time.Duration) {
		load.Run(w, drainInterval, duration, patientTries, random, func(i int) Request {
			return Request{
				Service: d.ModelService(), Workspace: d.Workspaces[i%len(d.Workspaces)],
				Body: callBody{Model: string(d.ModelService().Name), ID: fmt.Sprintf("chat-%d", i)},
			}
		})
	}
	chats(drainLead)
	if abrupt {
		w.stopDomain(string(domain.Name))
	} else {
		w.DeclareDomain(domain.Name, 1, "Out")
	}
	chats(drainGrace)
	before := w.runsIn(string(domain.Name))
	chats(drainOut - drainGrace)
	misplaced := w.runsIn(string(domain.Name)) - before
	if !abrupt {
		w.DeclareDomain(domain.Name, 2, "In")
	}
	chats(drainTail)
	returned := w.runsIn(string(domain.Name)) - before - misplaced
	<-done
	r := &Report{}
	seen := append(load.Wait(), bookings.Wait()...)
	counts, median, worst := summarize(seen)
	r.Note("Requests", float64(len(seen)), "requests")
	r.AtMost("Lost", float64(counts.lost), "requests", 0)
	r.AtMost("Unknown", float64(counts.unknown), "requests", 0)
	r.AtMost("Cut", float64(counts.cut), "requests", 0)
	r.AtMost("DoubleRuns", float64(w.Book.Doubled()), "bookings", 0)
	r.AtMost("Misplaced", float64(misplaced), "calls", 0)
	r.AtLeast("AfterReturn", float64(returned), "calls", 1)
	r.Note("Median", median.Seconds()*1000, "ms")
	r.AtMost("SlowestOverMedian", float64(worst)/float64(max(1, median)), "ratio", slowest)
	return r
}

type counts struct {
	answered, lost, unknown, cut int
}

// summarize counts outcomes, and returns the median and worst time of answers.
func summarize(seen []Seen) (c counts, median, worst time.Duration) {
	var times []time.Duration
	for _, s := range seen {
		switch {
		case s.Cut:
			c.cut++
		case s.Outcome == caller.NotRun:
			c.lost++
		case s.Outcome == "Unknown":
			c.unknown++
		default:
			c.answered++
			times = append(times, s.Time)
		}
	}
	if len(times) == 0 {
		return c, 0, 0
	}
	slices.Sort(times)
	return c, times[len(times)/2], times[len(times)-1]
}

func (w *World) runsIn(domain string) int {
	total := 0
	for _, u := range w.Upstreams {
		if string(u.domain.Name) == domain {
			runs, _ := u.Engine.Seen()
			total += runs
		}
	}
	return total
}

func (w *World) stopDomain(domain string) {
	for _, u := range w.Upstreams {
		if string(u.domain.Name) == domain {
			u.Engine.SetDown(true)
		}
	}
}
