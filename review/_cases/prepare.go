package main

import (
	"fmt"
	"net/http"
	"time"
)

// margin is added to the bounds of the rules, for the time that this program itself takes.
const margin = 300 * time.Millisecond

// prepare starts the deployment and its workers, two in each zone, publishes the manifest, and waits until
// the gateways are ready.
func prepare(c *cluster, work time.Duration) ([]*worker, error) {
	if err := c.start(); err != nil {
		return nil, err
	}
	var workers []*worker
	for i := range 2 * len(zones) {
		w, err := startWorker(c, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], 31+i, i%replicaCount, work)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if _, err := c.order(0, http.MethodPut, "/v1/config", manifest(1)); err != nil {
		return nil, err
	}
	if !c.awaitReady(20 * time.Second) {
		return nil, fmt.Errorf("the gateways are not ready")
	}
	return workers, nil
}
