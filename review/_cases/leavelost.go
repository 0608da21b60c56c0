package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["leave-lost"] = leaveLost }

// leaveGap is the time between the leaves of two workers that leave together.
const leaveGap = 5 * time.Millisecond

// leaveLost: two workers leave for good, one right after the other. The replica that has just acknowledged
// the second one is killed. Later than drain_ms after the acknowledgement, with the core stable again, no
// request may reach that worker.
func leaveLost(c *cluster, trouble bool) (verdict, error) {
	workers, err := prepare(c, 150*time.Millisecond)
	if err != nil {
		return verdict{}, err
	}
	load := startConsumers(c, 8, 60*time.Millisecond)
	time.Sleep(6 * time.Second)
	first, second, at := workers[0], workers[3], 0
	// Both use connections that are open already.
	firstCall, secondCall := newKeptCall(c, at), newKeptCall(c, at)
	first.endReports()
	second.endReports()
	_ = firstCall.send(http.MethodDelete, "/v1/instances/"+first.id)
	time.Sleep(leaveGap)
	status := secondCall.send(http.MethodDelete, "/v1/instances/"+second.id)
	acked := time.Now()
	if trouble {
		c.replicas[at].signal(syscall.SIGKILL)
	}
	if status/100 != 2 {
		return verdict{}, fmt.Errorf("the leave was not acknowledged: %d", status)
	}
	c.record.line("worker %s: leave acknowledged by %s", second.id, c.replicas[at].name)
	counted := acked.Add(drainTime + margin)
	if trouble {
		c.record.line("killed %s", c.replicas[at].name)
		c.replicas[at].kill()
		time.Sleep(restartDelay)
		if err := c.replicas[at].begin(); err != nil {
			return verdict{}, err
		}
		c.record.line("started %s again", c.replicas[at].name)
		counted = time.Now().Add(contactTime + margin)
	}
	time.Sleep(time.Until(acked.Add(9 * time.Second)))
	c.record.line("requests that reach %s between %.3f and now break DRAIN", second.id, counted.Sub(c.record.start).Seconds())
	exited := time.Now()
	first.exit()
	second.exit()
	time.Sleep(2 * time.Second)
	load.end()
	late := second.runsAfter(counted)
	lost := 0
	for _, a := range load.answers {
		if a.path == "/unsafe/job" && (a.status == 0 || a.status == http.StatusBadGateway) && a.endedAt.After(exited.Add(-margin)) {
			lost++
		}
	}
	return verdict{breaks: len(late), detail: fmt.Sprintf("requests run by %s after its leave was acknowledged and drain_ms had passed: %d; unsafe requests lost as it exited: %d; answers %v",
		second.id, len(late), lost, load.counts())}, nil
}
