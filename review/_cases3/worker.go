package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	bookingSlots = 6
	bookingWork  = 60 * time.Millisecond
	queue        = 24
	// unreadTime is how long a worker waits for its answer to be read before it cuts it off.
	unreadTime = 3 * time.Second
	// drainTime is how long a worker serves after it has said that it drains, drainMargin a little longer.
	drainTime   = 2 * time.Second
	drainMargin = 500 * time.Millisecond
)

// worker is a stand-in of a worker of the booking application.
type worker struct {
	record  *record
	cluster *cluster
	id      string
	address string
	zone    string
	born    int64
	server  *http.Server
	places  chan struct{}
	stop    chan struct{}
	// answer is the body of large answers.
	answer []byte
	slots  int
	work   time.Duration

	mu       sync.Mutex
	draining bool
	sequence int
	running  int
	waiting  int
	runs     map[string]int
}

// startWorker starts the nth worker of a run, at an address of its own.
func (c *cluster) startWorker(n, slots int, work time.Duration, answer []byte) (*worker, error) {
	w := &worker{
		record: c.record, cluster: c, id: fmt.Sprintf("i-%d-%d", c.port, n), zone: zones[n%len(zones)],
		address: fmt.Sprintf("127.%d.%d.%d:%d", c.net, 1+n/200, 1+n%200, c.port+portWorker),
		born:    time.Now().UnixMilli(), places: make(chan struct{}, slots), stop: make(chan struct{}), answer: answer, runs: map[string]int{},
		slots: slots, work: work,
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	return w, nil
}

// beat sends liveness reports.
func (w *worker) beat() {
	for {
		w.report()
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// report sends one liveness report, and returns whether it was acknowledged.
func (w *worker) report() bool {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": "cutdesk", "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "cold_left_ms": 0,
		"models": []any{}, "seq": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	return w.call(http.MethodPut, body)
}

// call sends a report of this worker to the control addresses in turn until one acknowledges it.
func (w *worker) call(method string, body []byte) bool {
	client := &http.Client{Timeout: time.Second}
	for machine := 1; machine <= 3; machine++ {
		request, err := http.NewRequest(method, "http://"+w.cluster.address(machine, portControl)+"/v1/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// leave drains the worker as the pages tell: it reports that it drains, serves on for the drain time and a little longer,
// says that it is gone and ends.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	acknowledged := w.report()
	time.Sleep(drainTime + drainMargin)
	gone := w.call(http.MethodDelete, nil)
	w.record.note("worker %s has left: draining acknowledged %t, gone acknowledged %t", w.id, acknowledged, gone)
	w.close()
}

func (w *worker) close() {
	close(w.stop)
	_ = w.server.Close()
}

// busy returns how many requests run and wait.
func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running + w.waiting
}

// ServeHTTP runs a request. Paths that contain "/large/" have a large answer.
func (w *worker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	header := out.Header()
	header.Set("Request-Id", id)
	if request.URL.Path == "/health" {
		header.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusOK)
		return
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.waiting >= queue {
		w.mu.Unlock()
		header.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.waiting++
	w.mu.Unlock()
	taken := false
	select {
	case w.places <- struct{}{}:
		taken = true
	case <-request.Context().Done():
	}
	w.mu.Lock()
	w.waiting--
	if !taken {
		w.mu.Unlock()
		return
	}
	w.running++
	w.runs[id]++
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots))
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		<-w.places
	}()
	time.Sleep(w.work)
	body := []byte("answer to " + id + strings.Repeat(".", 780))
	if strings.Contains(request.URL.Path, "/large/") {
		body = w.answer
	}
	header.Set("Response-Seal", "seal-"+w.id)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = http.NewResponseController(out).SetWriteDeadline(time.Now().Add(unreadTime))
	if _, err := out.Write(body); err != nil {
		w.record.note("worker %s: its answer to %s was not read to its end: cut off", w.id, id)
	}
}

// manifest returns a manifest with routes to the workers: one of usual requests, one of those that may run once, and one whose
// answers are large.
func manifest(version, timeoutMS int) map[string]any {
	route := func(name, kind string, attempts, targetMS int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS, "priority": 2,
			"service": "cutdesk", "max_attempts": attempts, "public": false, "sticky": false, "resumable": false, "target_gap_ms": 0, "home_regions": []any{},
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("status", "safe", 2, 300), route("book", "unsafe", 1, 300), route("export", "safe", 2, 1000)},
		"services": []any{map[string]any{
			"name": "cutdesk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api_keys": []any{key}, "priority": 1, "home_regions": []any{}}},
	}
}
