package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["spoilt-digests"] = spoiltDigests }

// spoiltDigests: a new version is named. The origin's first answer with its digests has one wrong digit. All
// its other answers are right. The requests of the model must go on being served.
func spoiltDigests(c *cluster, trouble bool) (verdict, error) {
	sent := 0
	var mu sync.Mutex
	origin, err := startOrigin(c, c.ip(61)+":0", func(version int) bool {
		mu.Lock()
		defer mu.Unlock()
		if version == 2 {
			sent++
		}
		return trouble && version == 2 && sent == 1
	})
	if err != nil {
		return verdict{}, err
	}
	m, err := startModel(c)
	if err != nil {
		return verdict{}, err
	}
	c.addAgent(m.address)
	if err := c.start(); err != nil {
		return verdict{}, err
	}
	for i := range 2 * len(zones) {
		if _, err := startWorker(c, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], 31+i, i%replicaCount, 60*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	if _, err := c.order(0, http.MethodPut, "/v1/config", modelManifest(1, origin)); err != nil {
		return verdict{}, err
	}
	if !c.awaitReady(20 * time.Second) {
		return verdict{}, fmt.Errorf("the gateways are not ready")
	}
	load := startConsumers(c, 2, 60*time.Millisecond)
	load.addRoute("model", 300*time.Millisecond)
	time.Sleep(5 * time.Second)
	body, _ := json.Marshal(map[string]any{"model": modelName, "version": 2})
	acked, err := c.order(0, http.MethodPost, "/v1/version-put", body)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(75 * time.Second)
	load.end()
	m.mu.Lock()
	version := m.version
	m.mu.Unlock()
	return starved(load, "/model/job", acked.Add(20*time.Second), fmt.Sprintf("worker at version %d", version)), nil
}
