package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelID    = "i-model-1"
	pieceCount = 48
	pieceBytes = 49152
	layerCount = 16
	loadTime   = 300 * time.Millisecond
	// excusedTime is how long before the load a piece may have turned bad without breaking WHOLE.
	excusedTime = 3 * time.Second
	// freezeTime is how long the agent's machine is frozen.
	freezeTime = 4 * time.Second
)

func pieceOf(version, piece int) []byte {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d/%d", version, piece)))
	return bytes.Repeat(sum[:], pieceBytes/len(sum))
}

// startOrigin starts the origin, which holds all versions of the weights. spoils returns whether an answer with
// the digests of a version is sent with one wrong digit.
func startOrigin(c *cluster, address string, spoils func(version int) bool) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifest/{model}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		digests := make([]string, pieceCount)
		for i := range digests {
			sum := sha256.Sum256(pieceOf(version, i))
			digests[i] = hex.EncodeToString(sum[:])
		}
		spoilt := spoils(version)
		if spoilt {
			digests[7] = flipDigit(digests[7])
		}
		c.record.line("origin sends the digests of version %d, spoilt: %t", version, spoilt)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layerCount, "digests": digests,
		})
	})
	mux.HandleFunc("GET /v1/piece/{model}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		piece, _ := strconv.Atoi(r.URL.Query().Get("sample_size"))
		c.record.line("origin sends piece %d of version %d", piece, version)
		_, _ = w.Write(pieceOf(version, piece))
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// flipDigit changes the first hexadecimal digit.
func flipDigit(digest string) string {
	first := "0"
	if digest[0] == '0' {
		first = "1"
	}
	return first + digest[1:]
}

// model is a model worker. Its staged pieces can turn bad.
type model struct {
	cluster *cluster
	address string
	born    int64
	// verified is called once, when the agent has read back the last piece of a version that is staged whole.
	verified func()

	mu       sync.Mutex
	version  int
	busy     bool
	orders   int
	running  int
	sequence int
	staged   [pieceCount][]byte
	badSince [pieceCount]time.Time
	// spoilt are the pieces that had been bad for longer than excusedTime when the layers in use were loaded.
	spoilt []int
	// readBack is how many pieces in a row the agent has read since the last one was staged.
	readBack int
	// wrongRuns counts the requests that were run with spoilt layers.
	wrongRuns int
}

func startModel(c *cluster) (*model, error) {
	listener, err := net.Listen("tcp", c.ip(21)+":0")
	if err != nil {
		return nil, err
	}
	m := &model{cluster: c, address: listener.Addr().String(), born: time.Now().UnixMilli(), version: 1, verified: func() {}}
	for i := range m.staged {
		m.staged[i] = pieceOf(1, i)
	}
	go func() { _ = (&http.Server{Handler: m}).Serve(listener) }()
	go func() {
		for {
			m.report()
			time.Sleep(heartbeat)
		}
	}()
	return m, nil
}

// loaded holds the fields of reports that describe the layers. The caller holds mu.
func (m *model) loaded() map[string]any {
	return map[string]any{
		"stage":  "both",
		"models": []any{map[string]any{"name": modelName, "version": m.version, "adapters": []any{}}},
		"layers": map[string]any{"from": 0, "target": layerCount, "version": m.version},
		"born":   m.born,
	}
}

func (m *model) report() {
	m.mu.Lock()
	m.sequence++
	fields := m.loaded()
	fields["service"], fields["address"], fields["zone"], fields["version"] = modelService, m.address, zones[0], "v1"
	fields["slots"], fields["state"], fields["cold_left_ms"], fields["seq"] = 16, "ready", 0, m.sequence
	m.mu.Unlock()
	body, _ := json.Marshal(fields)
	for i := range replicaCount {
		if status, _, err := call(http.MethodPut, "http://"+m.cluster.control(i)+"/v1/instances/"+modelID, body, callTimeout); err == nil && status/100 == 2 {
			return
		}
	}
}

// turnBad spoils a staged piece.
func (m *model) turnBad(piece int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staged[piece] = bytes.Repeat([]byte{0xff}, pieceBytes)
	m.badSince[piece] = time.Now()
	m.cluster.record.line("worker: staged piece %d turns bad", piece)
}

func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		m.mu.Lock()
		fields := m.loaded()
		fields["busy"], fields["seq"], fields["num_waiting"], fields["num_running"] = m.busy, m.orders, 0, m.running
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(fields)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-put/"):
		m.put(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-get/"):
		m.get(w, r)
	case r.URL.Path == "/v1/order":
		m.order(w, r)
	default:
		m.run(w, r)
	}
}

func (m *model) put(w http.ResponseWriter, r *http.Request) {
	piece, _ := strconv.Atoi(r.URL.Query().Get("sample_size"))
	content, err := io.ReadAll(r.Body)
	if err != nil || piece < 0 || piece >= pieceCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	m.staged[piece], m.badSince[piece], m.readBack = content, time.Time{}, 0
	m.mu.Unlock()
}

func (m *model) get(w http.ResponseWriter, r *http.Request) {
	piece, _ := strconv.Atoi(r.URL.Query().Get("sample_size"))
	m.mu.Lock()
	content := m.staged[piece]
	if m.readBack == piece {
		m.readBack++
	}
	whole := m.readBack == pieceCount && bytes.Equal(m.staged[0], pieceOf(2, 0))
	verified := m.verified
	if whole {
		m.verified = func() {}
	}
	m.mu.Unlock()
	_, _ = w.Write(content)
	if whole {
		verified()
	}
}

// order accepts an order to load what is staged at this moment.
func (m *model) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string `json:"op"`
		Version      int    `json:"version"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy || order.Precondition != nil && *order.Precondition != m.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.orders++
	m.busy = true
	var spoilt []int
	for i, content := range m.staged {
		if !bytes.Equal(content, pieceOf(order.Version, i)) {
			bad := time.Since(m.badSince[i])
			m.cluster.record.line("worker: piece %d is not that of version %d as the order is accepted; bad for %.3f s", i, order.Version, bad.Seconds())
			if bad > excusedTime {
				spoilt = append(spoilt, i)
			}
		}
	}
	m.cluster.record.line("worker: accepts the order to load version %d", order.Version)
	w.WriteHeader(http.StatusAccepted)
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			m.mu.Lock()
			idle := m.running == 0
			m.mu.Unlock()
			if idle {
				break
			}
		}
		time.Sleep(loadTime)
		m.mu.Lock()
		m.version, m.busy, m.spoilt = order.Version, false, spoilt
		m.mu.Unlock()
		m.cluster.record.line("worker: serves version %d", order.Version)
		m.report()
	}()
}

func (m *model) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	header := w.Header()
	header.Set("Request-Id", id)
	expected, _ := strconv.Atoi(r.Header.Get("Expect-Version"))
	m.mu.Lock()
	if r.Header.Get("Expect-Instance") != modelID || expected != 0 && expected != m.version {
		m.mu.Unlock()
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m.busy {
		m.mu.Unlock()
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.running++
	version, spoilt := m.version, m.spoilt
	if len(spoilt) > 0 {
		m.wrongRuns++
	}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()
	m.cluster.record.line("worker runs %s on version %d, spoilt pieces %v", id, version, spoilt)
	header.Set("Content-Type", "text/event-stream")
	header.Set("Response-Seal", "seal."+id)
	header.Set("Weight-Versions", strconv.Itoa(version))
	for i := 1; i <= 5; i++ {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: tokens\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// modelManifest is the manifest with the model's service, its route and the origin.
func modelManifest(version int, origin string) []byte {
	var document map[string]any
	_ = json.Unmarshal(manifest(version), &document)
	document["services"] = append(document["services"].([]any), map[string]any{
		"name": modelService, "health_path": "/health", "max_conns": 304, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 26.0,
		"engine": map[string]any{
			"slots": 16, "kv_capacity": 685000, "kv_token_bytes": 327680, "stride": 6, "size_mb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387,
			"context_per_k": 0.0203, "read_per_s": 31900.0, "pairs_per_m": 0.733, "chunk": 2048, "report_lag_ms": 200.0,
			"models": []any{map[string]any{"name": modelName, "pace": 1.0, "warm_s": 0.3}}, "usual": map[string]any{"prompt": 973, "answer": 106},
			"layers": layerCount, "layer_mb": 4540.0, "chunks": pieceCount, "chunk_bytes": pieceBytes,
		},
	}, map[string]any{"name": "backroom", "origin": origin, "zone": zones[2], "link_mbps": 15.0, "max_conns": 48})
	document["routes"] = append(document["routes"].([]any), map[string]any{
		"name": "r-model", "host": callerHost, "path_prefix": "/model/", "kind": "stream", "timeout_ms": 6000,
		"target_latency_ms": 400, "priority": 1, "service": modelService, "max_attempts": 2, "public": false, "sticky": true,
		"resumable": true, "target_gap_ms": 300, "home_regions": []string{},
	})
	content, _ := json.Marshal(document)
	return content
}
