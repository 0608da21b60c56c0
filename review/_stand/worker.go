package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// worker is a stand-in for an application worker: it announces itself, checks Expect-Instance, says so if it rejects
	// a request, and echoes the request's id.
	worker struct {
		record                     *record
		id, service, zone, address string
		slots                      int
		work                       time.Duration
		control                    []string
		// clock is how far the time of day of its machine is from the true time.
		clock time.Duration

		server *http.Server
		stop   chan struct{}

		mu       sync.Mutex
		born     int64
		sequence int
		state    string
		running  int
		runs     map[string]int
		arrivals []arrival
		// fail, if set, may take over the answer to a request that has run.
		fail func(w http.ResponseWriter, r *http.Request) bool
	}

	arrival struct {
		id string
		at time.Time
	}
)

// start begins a lifetime of the worker at its address, or at a free one, and announces it until the lifetime ends.
func (k *worker) start() error {
	at := k.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = listenLocal(at); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.address, k.stop, k.sequence, k.state = listener.Addr().String(), make(chan struct{}), 0, "ready"
	k.born = time.Now().Add(k.clock).UnixMilli()
	if k.runs == nil {
		k.runs = map[string]int{}
	}
	k.mu.Unlock()
	k.record.printf("worker %s starts at %s, born %d", k.id, k.address, k.born)
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = k.server.Serve(listener) }()
	go k.announce(k.stop)
	return nil
}

// crash ends the lifetime without a word.
func (k *worker) crash() {
	close(k.stop)
	_ = k.server.Close()
	k.record.printf("worker %s crashes", k.id)
}

func (k *worker) announce(stop <-chan struct{}) {
	for n := 0; ; n++ {
		if _, err := k.report(); err != nil {
			k.record.printf("worker %s: no acknowledgement: %v", k.id, err)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends one liveness report and returns when it was acknowledged.
func (k *worker) report() (time.Time, error) {
	k.mu.Lock()
	k.sequence++
	state := k.state
	body := map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots, "state": k.state,
		"cold_left_ms": 0, "models": []any{}, "seq": k.sequence, "born": k.born,
	}
	k.mu.Unlock()
	content, err := json.Marshal(body)
	if err != nil {
		return time.Time{}, err
	}
	for _, control := range k.control {
		status, _, callErr := call(http.MethodPut, "http://"+control+"/v1/instances/"+k.id, content)
		if callErr == nil && status < http.StatusMultipleChoices {
			if state != "ready" {
				k.record.printf("worker %s: report %d, state %s, acknowledged by %s", k.id, body["seq"], state, control)
			}
			return time.Now(), nil
		}
		err = fmt.Errorf("status %d, %w", status, callErr)
	}
	return time.Time{}, err
}

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", k.id)
		return
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", id)
	k.mu.Lock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", k.running, k.slots))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.id {
		k.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.arrivals = append(k.arrivals, arrival{id: id, at: time.Now()})
	if k.running >= k.slots {
		k.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.running++
	k.runs[id]++
	fail := k.fail
	k.mu.Unlock()
	k.record.printf("worker %s runs request %s: %s", k.id, id, body)
	time.Sleep(k.work)
	k.mu.Lock()
	k.running--
	k.mu.Unlock()
	if fail != nil && fail(w, r) {
		return
	}
	w.Header().Set("Response-Seal", "seal."+k.id+"."+id)
	_, _ = fmt.Fprintf(w, "done by %s: %s", k.id, body)
}

// hasRun returns how often the worker has run a request.
func (k *worker) hasRun(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[id]
}
