package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["stale-leave"] = staleLeave }

const (
	singleService = "archive"
	singleID      = "i-archive-1"
	// cutTime is how long the worker is cut off from control.
	cutTime = 5 * time.Second
)

// singleManifest is the manifest with one more service, which has one worker, and a route to it.
func singleManifest(version int) []byte {
	var document map[string]any
	_ = json.Unmarshal(manifest(version), &document)
	document["services"] = append(document["services"].([]any), map[string]any{
		"name": singleService, "health_path": "/health", "max_conns": 48, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
	})
	document["routes"] = append(document["routes"].([]any), map[string]any{
		"name": "r-archive", "host": callerHost, "path_prefix": "/archive/", "kind": "safe", "timeout_ms": routeTimeout,
		"target_latency_ms": 300, "priority": 2, "service": singleService, "max_attempts": 2, "public": false, "sticky": false,
		"resumable": false, "target_gap_ms": 0, "home_regions": []string{},
	})
	content, _ := json.Marshal(document)
	return content
}

// staleLeave: the only worker of a service is cut off from control while it leaves. It exits without an
// acknowledgement, and starts again under its id. The DELETE that the partition has held up arrives after the
// new lifetime has registered. The service's requests must go on being served.
func staleLeave(c *cluster, trouble bool) (verdict, error) {
	if err := c.start(); err != nil {
		return verdict{}, err
	}
	for i := range 2 * len(zones) {
		if _, err := startWorker(c, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], 31+i, i%replicaCount, 60*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	var links []*link
	for i := range replicaCount {
		l, err := startLink(c.ip(51+i)+":0", c.control(i))
		if err != nil {
			return verdict{}, err
		}
		links = append(links, l)
	}
	setCut := func(cut bool) {
		for _, l := range links {
			l.setCut(cut)
		}
	}
	first, err := startSingle(c, links)
	if err != nil {
		return verdict{}, err
	}
	if _, err := c.order(0, http.MethodPut, "/v1/config", singleManifest(1)); err != nil {
		return verdict{}, err
	}
	if !c.awaitReady(20 * time.Second) {
		return verdict{}, fmt.Errorf("the gateways are not ready")
	}
	load := startConsumers(c, 2, 60*time.Millisecond)
	load.addRoute("archive", 300*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		setCut(true)
		c.record.line("worker %s is cut off from the replicas", singleID)
	}
	cutAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	acked := first.leave()
	c.record.line("worker %s: leave acknowledged: %t", singleID, acked)
	time.Sleep(time.Until(cutAt.Add(drainTime + 500*time.Millisecond)))
	first.exit()
	time.Sleep(time.Until(cutAt.Add(cutTime - time.Second)))
	if _, err := startSingle(c, links); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if trouble {
		setCut(false)
		c.record.line("worker %s reaches the replicas again", singleID)
	}
	time.Sleep(60 * time.Second)
	load.end()
	return starved(load, "/archive/job", cutAt.Add(cutTime+5*time.Second), "single worker cut off for 5 s"), nil
}

// single is the worker of singleService. It keeps its connections to the replicas.
type single struct {
	cluster  *cluster
	links    []*link
	client   *http.Client
	server   *http.Server
	address  string
	born     int64
	sequence int
	stopBeat chan struct{}
}

func startSingle(c *cluster, links []*link) (*single, error) {
	listener, err := net.Listen("tcp", c.ip(41)+":0")
	if err != nil {
		return nil, err
	}
	s := &single{
		cluster: c, links: links, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		address: listener.Addr().String(), born: time.Now().UnixMilli(), stopBeat: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	go s.beat()
	c.record.line("worker %s starts at %s, born %d", singleID, s.address, s.born)
	return s, nil
}

func (s *single) beat() {
	for {
		s.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": singleService, "address": s.address, "zone": zones[0], "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "seq": s.sequence, "born": s.born,
		})
		s.control(http.MethodPut, body)
		select {
		case <-s.stopBeat:
			return
		case <-time.After(heartbeat):
		}
	}
}

// control makes one call to the first replica that acknowledges it.
func (s *single) control(method string, body []byte) bool {
	for i, l := range s.links {
		request, _ := http.NewRequest(method, "http://"+l.address()+"/v1/instances/"+singleID, strings.NewReader(string(body)))
		if body != nil {
			request.Header.Set("Content-Type", "application/json")
		}
		response, err := s.client.Do(request)
		if err != nil {
			s.cluster.record.line("worker %s (born %d): %s to %s gets no answer", singleID, s.born, method, s.cluster.replicas[i].name)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			s.cluster.record.line("worker %s (born %d): %s acknowledged by %s", singleID, s.born, method, s.cluster.replicas[i].name)
			return true
		}
	}
	return false
}

func (s *single) leave() bool {
	close(s.stopBeat)
	return s.control(http.MethodDelete, nil)
}

func (s *single) exit() {
	s.cluster.record.line("worker %s (born %d) exits", singleID, s.born)
	_ = s.server.Close()
}

func (s *single) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	header := response.Header()
	header.Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != singleID {
		header.Set("Not-Executed", "1")
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.cluster.record.line("worker %s (born %d) runs %s", singleID, s.born, id)
	time.Sleep(20 * time.Millisecond)
	answer := "archive ran " + id
	header.Set("Response-Seal", "seal."+id)
	header.Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(response, answer)
}
