package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// The disruption: liveness reports of another writer, one every heartbeat, to the replicas in turn. Their id is bytes
	// that are no UTF-8, their service is not named in the configuration.
	foreignReports = replicaCount
	foreignID      = "i-%FF%FE"
	// evacuateTime is the evacuate_ms of the deployment.
	evacuateTime = 5 * time.Second
	probes       = 20
	restartWait  = 8 * time.Second
)

// foreignCase sends liveness reports of another writer, and then changes the configuration and evacuates a zone.
func foreignCase(r *record, trouble bool) (bool, error) {
	c, err := startCluster(r, func() map[string]any { return document(1) })
	defer c.close()
	if err != nil {
		return false, err
	}
	workers, err := startDesk(r, c)
	if err != nil {
		return false, err
	}
	time.Sleep(2*heartbeat + contactTime)
	for n := range foreignReports {
		if trouble {
			c.reportForeign(n)
		}
		time.Sleep(heartbeat)
	}
	changed := document(2)
	changed["routes"].([]any)[0].(map[string]any)["path_prefix"] = "/reserve/"
	if err := c.publish(changed); err != nil {
		return false, err
	}
	time.Sleep(configApply + time.Second)
	stale := c.probeRoutes()
	if err := c.order(http.MethodPost, "/v1/evacuations/zone-b", nil); err != nil {
		return false, err
	}
	time.Sleep(evacuateTime + time.Second)
	late := c.probeZone(workers, "zone-b")
	r.printf("%d of %d requests later than config_apply_ms after the acknowledgement were handled by the older configuration", stale, 2*probes)
	r.printf("%d of %d requests later than evacuate_ms after the acknowledgement reached workers of the zone", late, 2*probes)
	if err := c.restartGateway(); err != nil {
		return false, err
	}
	return stale == 0 && late == 0, nil
}

// reportForeign sends one report of another writer to a replica.
func (c *cluster) reportForeign(n int) {
	body, _ := json.Marshal(map[string]any{
		"service": "elsewhere", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1", "slots": 1, "state": "ready",
		"cold_left_ms": 0, "seq": n + 1, "born": time.Now().UnixMilli(),
	})
	status, _, err := call(http.MethodPut, "http://"+c.control(n)+"/v1/instances/"+foreignID, body)
	c.record.printf("another writer: PUT /v1/instances/%s to core-%d: status %d, %v", foreignID, n+1, status, err)
}

// probeRoutes asks for the route that the newer configuration has added and for the one that it has dropped, and returns
// how many requests were handled by the older one.
func (c *cluster) probeRoutes() int {
	stale := 0
	for i := range probes {
		added := ask(c.front(i%gatewayCount), "/reserve/now", "job", 3*time.Second)
		dropped := ask(c.front(i%gatewayCount), pathUnsafe, "job", 3*time.Second)
		c.record.printf("front-%d: added route: %s; dropped route: %s", i%gatewayCount+1, added, dropped)
		if added.status == http.StatusNotFound {
			stale++
		}
		if dropped.status == http.StatusOK {
			stale++
		}
	}
	return stale
}

// probeZone sends requests on both routes and returns how many reached workers of a zone.
func (c *cluster) probeZone(workers []*worker, zone string) int {
	late := 0
	for i := range probes {
		for _, path := range []string{"/reserve/now", pathUnsafe} {
			a := ask(c.front(i%gatewayCount), path, "job", 3*time.Second)
			for _, k := range workers {
				if k.zone == zone && k.hasRun(a.id) > 0 {
					late++
					c.record.printf("request %s reached worker %s of the evacuated zone", a.id, k.id)
				}
			}
		}
	}
	return late
}

// restartGateway stops the first gateway as planned, starts it again, and records when it is ready. It is not judged.
func (c *cluster) restartGateway() error {
	n := replicaCount
	p := c.processes[n]
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-p.ended
	if err := c.start(n); err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < restartWait; time.Sleep(50 * time.Millisecond) {
		status, _, err := call(http.MethodGet, "http://"+c.address(n, portReady)+"/v1/readiness", nil)
		if err == nil && status == http.StatusOK {
			c.record.printf("%s is ready %.1f s after its restart", p.id, time.Since(began).Seconds())
			return nil
		}
	}
	c.record.printf("%s is not ready %s after its restart", p.id, fmt.Sprint(restartWait))
	return nil
}
