package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["stale-order"] = staleOrder }

// cycles is how often staleOrder evacuates a zone, at most.
const cycles = 6

// staleOrder: a zone is evacuated, taken back and evacuated again while one replica is frozen. The operator
// first sends the withdrawal to that replica, gets no answer within a second, closes the connection, and has
// it acknowledged by another one. The thawed replica must not carry it out any more. This is repeated, with
// another replica each time, until the rule is broken.
func staleOrder(c *cluster, trouble bool) (verdict, error) {
	workers, err := prepare(c, 60*time.Millisecond)
	if err != nil {
		return verdict{}, err
	}
	const zone = "chc-a"
	path := "/v1/evacuations/" + zone
	load := startConsumers(c, 3, 50*time.Millisecond)
	defer load.end()
	time.Sleep(4 * time.Second)
	if _, err := c.order(0, http.MethodPost, path, nil); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	for cycle := range cycles {
		frozen, other := (cycle+1)%replicaCount, (cycle+2)%replicaCount
		froze := time.Now()
		if trouble {
			c.replicas[frozen].signal(syscall.SIGSTOP)
			c.record.line("froze %s", c.replicas[frozen].name)
		}
		if _, err := c.order(frozen, http.MethodDelete, path, nil); err != nil {
			return verdict{}, err
		}
		time.Sleep(500 * time.Millisecond)
		acked, err := c.order(other, http.MethodPost, path, nil)
		if err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Until(froze.Add(4 * time.Second)))
		if trouble {
			c.replicas[frozen].signal(syscall.SIGCONT)
			c.record.line("thawed %s", c.replicas[frozen].name)
		}
		counted := time.Now().Add(contactTime + margin)
		if bound := acked.Add(evacuateTime + margin); bound.After(counted) {
			counted = bound
		}
		time.Sleep(time.Until(counted.Add(3 * time.Second)))
		breaks := 0
		for _, w := range workers {
			if w.zone == zone {
				breaks += len(w.runsAfter(counted))
			}
		}
		c.record.line("cycle %d: %d requests reached %s after %.3f, though it is evacuated", cycle+1, breaks, zone, counted.Sub(c.record.start).Seconds())
		if breaks > 0 {
			return verdict{breaks: breaks, detail: fmt.Sprintf("cycle %d: requests run in %s, evacuated by the last acknowledged order: %d", cycle+1, zone, breaks)}, nil
		}
	}
	return verdict{detail: fmt.Sprintf("%d cycles; no request run in the evacuated zone", cycles)}, nil
}
