package main

import (
	"fmt"
	"time"
)

func init() { cases["refused-for-a-time"] = refusedForATime }

// refusalTime is how long the worker wants nothing.
const refusalTime = 4 * time.Second

// refusedForATime: a worker turns requests away with 503 and Retry-After. Between half a second after the first
// such answer to a gateway and the end of the time that it names, that gateway may send it two more requests.
func refusedForATime(c *cluster, trouble bool) (verdict, error) {
	workers, err := prepare(c, 60*time.Millisecond)
	if err != nil {
		return verdict{}, err
	}
	load := startConsumers(c, 8, 60*time.Millisecond)
	time.Sleep(5 * time.Second)
	refusing := workers[3]
	until := time.Now().Add(refusalTime)
	if trouble {
		refusing.mu.Lock()
		refusing.refusesUntil = until
		refusing.mu.Unlock()
	}
	time.Sleep(refusalTime + time.Second)
	load.end()
	first, after := map[string]time.Time{}, map[string]int{}
	for _, r := range refusing.refusals {
		if first[r.gateway].IsZero() {
			first[r.gateway] = r.at
		}
		if r.at.After(first[r.gateway].Add(500*time.Millisecond + margin)) {
			after[r.gateway]++
		}
	}
	v := verdict{detail: fmt.Sprintf("requests sent in spite of Retry-After, by gateway: %v; answers %v", after, load.counts())}
	for _, count := range after {
		if count > 2 {
			v.breaks++
		}
	}
	return v, nil
}
