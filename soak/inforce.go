package soak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"figbank/platform/standin"
)

const (
	// applyTime is how long after its ack a change may not be in force yet, unstableTime how much longer while
	// replicas are disturbed.
	applyTime    = 2 * time.Second
	unstableTime = 5 * time.Second
	// contactTime is how long after a disturbance a process still counts as disturbed.
	contactTime = 3 * time.Second
	// keptNumbers is for how many numbers a route stays that one of them has added.
	keptNumbers = 64
	// askInterval is the time between two questions to a gateway, and askTimeout that for an answer.
	askInterval = 100 * time.Millisecond
	askTimeout  = time.Second
)

type (
	// ack is a number that was acknowledged, and when.
	ack struct {
		number int
		at     time.Time
	}

	// question is a request that no gateway may answer in some way once a number must be in force.
	question struct {
		request standin.Request
		// broken holds the statuses that break the promise, and what says how.
		broken []int
		what   string
	}

	// rulesWatch asks each gateway, while faults are injected, whether it goes by what was acknowledged.
	rulesWatch struct {
		cluster   *cluster
		operators *operators
		callers   *callers
		record    *record
		// asked counts the questions to gateways in touch.
		asked atomic.Int64
	}
)

// watchRules asks all gateways until ctx ends.
func (r *run) watchRules(ctx context.Context) {
	w := &rulesWatch{cluster: r.cluster, operators: r.operators, callers: r.callers, record: r.record}
	var group sync.WaitGroup
	for i := range r.cluster.gateways {
		group.Go(func() { w.watch(ctx, i) })
	}
	group.Wait()
	r.printf("gateways in touch were asked %d times for what had to be in force", w.asked.Load())
}

func (w *rulesWatch) watch(ctx context.Context, gateway int) {
	client := &http.Client{Timeout: askTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		w.ask(ctx, client, gateway)
		wall.sleep(askInterval)
	}
}

// ask asks one gateway for a route that the newest number that must be in force has added, and with a route
// and a key that it has dropped.
func (w *rulesWatch) ask(ctx context.Context, client *http.Client, gateway int) {
	asked := wall.Now()
	number := w.due(asked)
	if number < 2 {
		return
	}
	questions := []question{
		{request: standin.Request{Route: keptOf(number)}, broken: []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}, what: "a route that it has added was refused"},
		{request: standin.Request{Route: markerOf(number - 1), ID: probeID}, broken: []int{http.StatusOK}, what: "a route that it has dropped was served"},
		{request: standin.Request{Route: standin.Safe, Key: standin.KeyOf(markerOf(number - 1)), ID: probeID}, broken: []int{http.StatusOK}, what: "a key that it has dropped was taken"},
	}
	for _, q := range questions {
		q.request.Gateway = w.cluster.gateways[gateway]
		status := w.callers.ask(ctx, client, q.request)
		if !w.inTouch(gateway, asked, wall.Now()) {
			return
		}
		w.asked.Add(1)
		if slices.Contains(q.broken, status) {
			w.record.addViolation("Config", "gateway-%d, asked at %.3f s: number %d had to be in force, and %s (status %d)",
				gateway, asked.Sub(w.record.started).Seconds(), number, q.what, status)
		}
	}
}

// due returns the highest number that must be in force at all gateways in touch, or 0.
func (w *rulesWatch) due(now time.Time) int {
	w.operators.mu.Lock()
	acks := slices.Clone(w.operators.acks)
	w.operators.mu.Unlock()
	highest := 0
	for _, a := range acks {
		if a.number > highest && w.isDue(a, now) {
			highest = a.number
		}
	}
	return highest
}

// isDue reports whether the time to put an acknowledged number in force is over. It is longer while replicas
// are disturbed, and there is no bound without a majority that ran undisturbed all the while.
func (w *rulesWatch) isDue(a ack, now time.Time) bool {
	since := now.Sub(a.at)
	if since <= applyTime {
		return false
	}
	return w.cluster.stable(a.at.Add(-contactTime), now) || since > applyTime+unstableTime && w.cluster.majorityRan(a.at, now)
}

// inTouch reports whether no fault disturbed a gateway from contactTime before a question to its end.
func (w *rulesWatch) inTouch(gateway int, asked, answered time.Time) bool {
	return !w.cluster.outages.disturbed(w.cluster.size.Replicas+gateway, asked.Add(-contactTime), answered)
}
