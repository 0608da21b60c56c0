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
	// Service is a stand-in plain service that books jobs: POST /bookings runs
	// one, GET /bookings/ID tells how often it was run.
	Service struct {
		clock       figbank.Clock
		workTime    time.Duration
		incarnation string
		server      *http.Server
		book        *Book
		started     atomic.Int64
	}

	// Book counts the runs of each booking over all services that share it.
	Book struct {
		mu   sync.Mutex
		runs map[string]int
	}

	booking struct {
		ID   string `json:"id"`
		Runs int    `json:"runs"`
	}
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{runs: map[string]int{}}
}

// Run counts a run and returns how many there are now.
func (b *Book) Run(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	return b.runs[id]
}

// Runs is how often a booking was run.
func (b *Book) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// Doubled is the number of bookings that were run more than once.
func (b *Book) Doubled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	doubled := 0
	for _, runs := range b.runs {
		if runs > 1 {
			doubled++
		}
	}
	return doubled
}

// NewService serves a stand-in service on listener until Close.
func NewService(listener net.Listener, clock figbank.Clock, workTime time.Duration, book *Book) *Service {
	s := &Service{clock: clock, workTime: workTime, incarnation: uuid.NewString(), book: book}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.HealthPath, func(w http.ResponseWriter, _ *http.Request) { s.mark(w, nil) })
	mux.HandleFunc("POST /bookings", s.run)
	mux.HandleFunc("GET /bookings/{id}", s.look)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Close ends the service and cuts its answers, as a crash would.
func (s *Service) Close() {
	_ = s.server.Close()
}

// Runs is the number of calls that reached the service.
func (s *Service) Runs() int {
	return int(s.started.Load())
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	s.started.Add(1)
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var asked booking
	if err != nil || json.Unmarshal(content, &asked) != nil || asked.ID == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	asked.Runs = s.book.Run(asked.ID)
	<-s.clock.After(s.workTime)
	s.answer(w, r, asked)
}

func (s *Service) look(w http.ResponseWriter, r *http.Request) {
	s.started.Add(1)
	id := r.PathValue("id")
	s.answer(w, r, booking{ID: id, Runs: s.book.Runs(id)})
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, b booking) {
	s.mark(w, r)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b)
}

func (s *Service) mark(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderIncarnation, s.incarnation)
	if r != nil {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	}
}
