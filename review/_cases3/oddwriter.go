package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// otherService is the service of another writer's entries. No manifest names it.
	otherService  = "stock-sync"
	otherInterval = 1200 * time.Millisecond
	otherSettle   = 3 * time.Second
	otherTime     = 20 * time.Second
	// otherGone is longer than a worker's entry outlives its last liveness report.
	otherGone = 8 * time.Second
)

// writeOthers sends, until done, entries of another writer: one for the address of each worker, under an id and a service of
// its own.
func (c *cluster) writeOthers(workers []*worker, done <-chan struct{}) {
	born := time.Now().UnixMilli()
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		for i, w := range workers {
			body, _ := json.Marshal(map[string]any{
				"service": otherService, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
				"models": []any{}, "seq": sequence, "born": born,
			})
			id := fmt.Sprintf("x-%d-%d", c.port, i)
			request, err := http.NewRequest(http.MethodPut, "http://"+c.address(1+i%3, portControl)+"/v1/instances/"+id, bytes.NewReader(body))
			if err != nil {
				return
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				c.record.note("other writer: %s: %v", id, err)
				continue
			}
			_ = response.Body.Close()
			c.record.note("other writer: entry %s, service %s, address %s: %d", id, otherService, w.address, response.StatusCode)
		}
		select {
		case <-done:
			return
		case <-time.After(otherInterval):
		}
	}
}

// runOddWriter is the case of entries of another writer.
func runOddWriter(c *cluster, trouble bool) (broken bool, err error) {
	if err := c.startAll(3); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 3 {
		w, err := c.startWorker(i, bookingSlots, bookingWork, nil)
		if err != nil {
			return false, err
		}
		defer w.close()
		workers = append(workers, w)
	}
	if err := c.order(http.MethodPut, "/v1/config", manifest(3, routeTimeoutMS)); err != nil {
		return false, err
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for _, t := range c.traffic("before", usualTime) {
		if t.served.Load() < t.sent.Load()*9/10 {
			return false, fmt.Errorf("usual requests are not served before the disruption")
		}
	}
	done := make(chan struct{})
	if trouble {
		go c.writeOthers(workers, done)
	}
	time.Sleep(otherSettle)
	during := c.traffic("during", otherTime)
	close(done)
	for i, t := range during {
		if failed := t.sent.Load() - t.served.Load(); failed*10 > t.sent.Load()*6 {
			c.record.note("broken: %s refused or failed %d of %d requests, while its workers serve and report", c.gateways[i].name, failed, t.sent.Load())
			broken = true
		}
	}
	time.Sleep(otherGone)
	c.traffic("gone", usualTime/2)
	return broken, nil
}
