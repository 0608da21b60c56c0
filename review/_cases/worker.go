package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a server of the platform that announces itself, as PROTOCOL.md has it.
type worker struct {
	cluster  *cluster
	id, zone string
	work     time.Duration
	address  string
	born     int64
	server   *http.Server
	stopBeat chan struct{}
	// control is the index of the replica that it reports to first.
	control int

	mu       sync.Mutex
	sequence int
	state    string
	running  int
	// cutFromControl makes all its reports fail: they reach no replica.
	cutFromControl bool
	// saysLeaving adds Server-Leaving to all answers.
	saysLeaving bool
	// refusesUntil makes it turn all requests away until then, with Retry-After.
	refusesUntil time.Time
	refusals     []refusal
	runs         []workerRun
}

// refusal is one request that a worker turned away with Retry-After.
type refusal struct {
	at      time.Time
	gateway string
}

// workerRun is one request that a worker ran.
type workerRun struct {
	id, path string
	sentAt   time.Time
	at       time.Time
	from     string
}

func startWorker(c *cluster, id, zone string, host int, control int, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", c.ip(host)+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		cluster: c, id: id, zone: zone, work: work, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		stopBeat: make(chan struct{}), control: control, state: "ready",
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	c.record.line("worker %s starts in %s at %s", id, zone, w.address)
	return w, nil
}

// beat reports every heartbeat until stopBeat is closed.
func (w *worker) beat() {
	for {
		w.report()
		select {
		case <-w.stopBeat:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends one liveness report: to its replica first, then to the next ones.
func (w *worker) report() bool {
	w.mu.Lock()
	w.sequence++
	cut := w.cutFromControl
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": serviceSlots, "state": w.state,
		"cold_left_ms": 0, "seq": w.sequence, "born": w.born,
	})
	state := w.state
	w.mu.Unlock()
	if cut {
		return false
	}
	for try := range replicaCount {
		at := (w.control + try) % replicaCount
		status, _, err := call(http.MethodPut, "http://"+w.cluster.control(at)+"/v1/instances/"+w.id, body, callTimeout)
		if err == nil && status/100 == 2 {
			if state != "ready" {
				w.cluster.record.line("worker %s: report %q acknowledged by %s", w.id, state, w.cluster.replicas[at].name)
			}
			return true
		}
	}
	return false
}

// setCut cuts the worker off from the replicas, or joins it to them again.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutFromControl = cut
}

// startLeaving makes the worker say in its answers, and in its reports, that it is leaving. It serves on.
func (w *worker) startLeaving() {
	w.mu.Lock()
	w.saysLeaving, w.state = true, "draining"
	w.mu.Unlock()
	w.cluster.record.line("worker %s starts to leave", w.id)
	w.report()
}

func (w *worker) endReports() { close(w.stopBeat) }

// keptCall makes calls to a replica on one connection, which it opens at once.
type keptCall struct {
	client *http.Client
	base   string
}

func newKeptCall(c *cluster, at int) *keptCall {
	k := &keptCall{client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, base: "http://" + c.control(at)}
	// Any answer opens the connection.
	_ = k.send(http.MethodGet, "/v1/none")
	return k
}

// send returns the status of the answer, 0 if there is none.
func (k *keptCall) send(method, path string) int {
	request, _ := http.NewRequest(method, k.base+path, nil)
	response, err := k.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// leave ends the reports and sends DELETE to one replica. It returns the status and the time of the answer.
func (w *worker) leave(at int) (int, time.Time) {
	close(w.stopBeat)
	w.cluster.record.line("worker %s sends DELETE to %s", w.id, w.cluster.replicas[at].name)
	w.mu.Lock()
	cut := w.cutFromControl
	w.mu.Unlock()
	if cut {
		return 0, time.Now()
	}
	status, _, _ := call(http.MethodDelete, "http://"+w.cluster.control(at)+"/v1/instances/"+w.id, nil, callTimeout)
	now := time.Now()
	return status, now
}

// exit ends the worker as a process that exits: what still runs is cut off.
func (w *worker) exit() {
	w.mu.Lock()
	running := w.running
	w.mu.Unlock()
	w.cluster.record.line("worker %s exits, %d requests at work", w.id, running)
	_ = w.server.Close()
}

func (w *worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	header := response.Header()
	header.Set("Request-Id", id)
	w.mu.Lock()
	if w.saysLeaving {
		header.Set("Server-Leaving", "1")
	}
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", w.running, serviceSlots))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		header.Set("Not-Executed", "1")
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if left := time.Until(w.refusesUntil); left > 0 {
		w.refusals = append(w.refusals, refusal{at: arrived, gateway: r.Header.Get("Sent-To")})
		w.mu.Unlock()
		w.cluster.record.line("worker %s turns %s away for %.1f s (taken by %s)", w.id, id, left.Seconds(), r.Header.Get("Sent-To"))
		header.Set("Not-Executed", "1")
		header.Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 1, 64))
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if w.running >= serviceSlots {
		w.mu.Unlock()
		header.Set("Not-Executed", "1")
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	sent, _ := strconv.ParseInt(r.Header.Get("Sent-At"), 10, 64)
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	run := workerRun{id: id, path: r.URL.Path, sentAt: time.UnixMicro(sent), at: arrived, from: r.Header.Get("Sent-To")}
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.cluster.record.line("worker %s runs %s %s (taken by %s, from %s)", w.id, id, r.URL.Path, run.from, host)
	time.Sleep(w.work)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	answer := fmt.Sprintf("%s ran %s with %d bytes", w.id, id, len(body))
	header.Set("Response-Seal", "seal."+w.id+"."+strconv.Itoa(len(answer)))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(response, answer)
}

// runsAfter returns the runs of requests that arrived after a time.
func (w *worker) runsAfter(at time.Time) []workerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var after []workerRun
	for _, run := range w.runs {
		if run.at.After(at) {
			after = append(after, run)
		}
	}
	return after
}
