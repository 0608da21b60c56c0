package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["server-leaving"] = serverLeaving }

// serverLeaving: a worker leaves while it is cut off from control, so that none of its reports arrives. It
// says so in all its answers. Later than drain_ms after a gateway has passed on such an answer, that gateway
// may send it nothing more. At the end the worker exits, and cuts off what still runs.
func serverLeaving(c *cluster, trouble bool) (verdict, error) {
	workers, err := prepare(c, 150*time.Millisecond)
	if err != nil {
		return verdict{}, err
	}
	load := startConsumers(c, 8, 60*time.Millisecond)
	time.Sleep(6 * time.Second)
	leaving := workers[3]
	if trouble {
		leaving.setCut(true)
		c.record.line("worker %s is cut off from the replicas", leaving.id)
	}
	leaving.startLeaving()
	time.Sleep(5 * time.Second)
	if status, _ := leaving.leave(0); status/100 != 2 && !trouble {
		return verdict{}, fmt.Errorf("the leave was not acknowledged: %d", status)
	}
	exited := time.Now()
	leaving.exit()
	time.Sleep(2 * time.Second)
	load.end()
	// passedOn is when each gateway had passed on the first answer with Server-Leaving.
	passedOn := map[string]time.Time{}
	lost := 0
	for _, a := range load.answers {
		if first := passedOn[a.gateway]; a.leaving && (first.IsZero() || a.endedAt.Before(first)) {
			passedOn[a.gateway] = a.endedAt
		}
		if a.path == "/unsafe/job" && (a.status == 0 || a.status == http.StatusBadGateway) && a.endedAt.After(exited.Add(-margin)) {
			lost++
		}
	}
	late := 0
	for _, run := range leaving.runsAfter(c.record.start) {
		if first := passedOn[run.from]; !first.IsZero() && run.sentAt.After(first.Add(drainTime)) {
			late++
		}
	}
	return verdict{breaks: late, detail: fmt.Sprintf("requests sent later than drain_ms after their gateway had passed on an answer with Server-Leaving, and run by %s: %d; unsafe requests lost as it exited: %d; answers %v",
		leaving.id, late, lost, load.counts())}, nil
}
