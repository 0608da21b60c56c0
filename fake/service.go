package fake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/engine"

	"github.com/google/uuid"
)

type (
	// Service is a stand-in plain service for bookings: POST /bookings runs a booking, and
	// GET /bookings/ID returns how often it was run.
	Service struct {
		clock       figbank.Clock
		workTime    time.Duration
		incarnation string
		server      *http.Server
		runCounter  *RunCounter
		received    atomic.Int64
	}

	// RunCounter counts how often each booking was run. Several services can share one.
	RunCounter struct {
		mu   sync.Mutex
		runs map[string]int
	}

	booking struct {
		ID   string `json:"id"`
		Runs int    `json:"runs"`
	}
)

// NewRunCounter returns a RunCounter without runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: map[string]int{}}
}

// Add counts a run of a booking and returns its number of runs so far.
func (c *RunCounter) Add(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	return c.runs[id]
}

// Runs returns how often a booking was run.
func (c *RunCounter) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// Duplicates returns the number of bookings that were run more than once.
func (c *RunCounter) Duplicates() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	duplicates := 0
	for _, runs := range c.runs {
		if runs > 1 {
			duplicates++
		}
	}
	return duplicates
}

// NewService starts a stand-in service that serves on listener until Close. Each booking takes
// workTime.
func NewService(listener net.Listener, clock figbank.Clock, workTime time.Duration, runCounter *RunCounter) *Service {
	s := &Service{clock: clock, workTime: workTime, incarnation: uuid.NewString(), runCounter: runCounter}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.HealthPath, func(w http.ResponseWriter, _ *http.Request) { s.setHeaders(w, nil) })
	mux.HandleFunc("POST /bookings", s.run)
	mux.HandleFunc("GET /bookings/{id}", s.get)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Close stops the service and aborts the answers in progress, as a crash does.
func (s *Service) Close() {
	_ = s.server.Close()
}

// Received returns the number of requests that the service received. It includes invalid
// requests and queries, but not health checks.
func (s *Service) Received() int {
	return int(s.received.Load())
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	s.received.Add(1)
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var request booking
	if err != nil || json.Unmarshal(content, &request) != nil || request.ID == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	request.Runs = s.runCounter.Add(request.ID)
	<-s.clock.After(s.workTime)
	s.answer(w, r, request)
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	s.received.Add(1)
	id := r.PathValue("id")
	s.answer(w, r, booking{ID: id, Runs: s.runCounter.Runs(id)})
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, b booking) {
	s.setHeaders(w, r)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b)
}

// setHeaders sets the header with the incarnation. If r is not nil, it also sets the header with
// the id of the request.
func (s *Service) setHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderIncarnation, s.incarnation)
	if r != nil {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	}
}
