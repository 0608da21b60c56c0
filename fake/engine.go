// Package fake provides stand-ins for the systems around figbank: a model engine, a plain
// service, the origin of weights, a network, a replicated log, and a disk that loses data
// that was not synced.
package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"figbank"
	"figbank/engine"
	"figbank/schema"

	"github.com/google/uuid"
)

type (
	// EngineSettings configures a stand-in engine.
	EngineSettings struct {
		// LoadTime is the time from a load order until the engine serves the weights.
		LoadTime time.Duration
		// TokenInterval is the time between two tokens of an answer.
		TokenInterval time.Duration
		// ChecksFencing makes the engine refuse a load order whose fencing number is lower than that
		// of the last accepted order.
		ChecksFencing bool
	}

	// Engine is a stand-in model engine. The text of its answers depends on the loaded weights
	// and the prompt, so that a caller can check both.
	Engine struct {
		settings EngineSettings
		clock    figbank.Clock
		server   *http.Server

		mu          sync.Mutex
		incarnation string
		// serving is the order whose weights are served, or nil while none are.
		serving *schema.LoadOrder
		// fencing is the fencing number of the last accepted order.
		fencing uint64
		running int
		peak    int
		runs    int
		orders  []*schema.LoadOrder
	}

	chatRequest struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"`
		Messages  []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}

	chatChoice struct {
		Delta   *chatText `json:"delta,omitempty"`
		Message *chatText `json:"message,omitempty"`
	}

	chatText struct {
		Content string `json:"content"`
	}

	chatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Choices []chatChoice `json:"choices"`
	}
)

const (
	defaultTokens = 16
	tokenLength   = 8
	headerTimeout = 10 * time.Second
	maxBody       = 64 << 20
)

// NewEngine starts a stand-in engine that serves on listener until Close.
func NewEngine(listener net.Listener, clock figbank.Clock, settings EngineSettings) *Engine {
	e := &Engine{settings: settings, clock: clock, incarnation: uuid.NewString()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.StatusPath, e.status)
	mux.HandleFunc("POST "+engine.LoadPath, e.load)
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

// Close stops the engine and aborts the answers in progress, as a crash does.
func (e *Engine) Close() {
	_ = e.server.Close()
}

// Runs returns how many completions were started, and the highest number of completions that
// ran at once.
func (e *Engine) Runs() (runs, peak int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs, e.peak
}

// Orders returns the load orders that the engine accepted.
func (e *Engine) Orders() []*schema.LoadOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*schema.LoadOrder(nil), e.orders...)
}

// AnswerText returns the text that an engine answers to prompt, in the given number of tokens,
// when it serves the weights of manifest.
func AnswerText(manifest, prompt string, tokens int) string {
	var text string
	for i := range tokens {
		text += token(manifest, prompt, i)
	}
	return text
}

// token returns the i-th token of an answer.
func token(manifest, prompt string, i int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", manifest, prompt, i))
	return hex.EncodeToString(sum[:])[:tokenLength]
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := &schema.EngineStatus{
		Incarnation: e.incarnation, Ready: e.serving != nil, Fencing: e.fencing, Running: int64(e.running),
		Manifest: e.serving.GetManifest(), Model: e.serving.GetModel(),
		Adapter: e.serving.GetAdapter(), Version: e.serving.GetVersion(),
	}
	e.mu.Unlock()
	content, err := engine.MarshalOptions.Marshal(status)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(content)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	order := &schema.LoadOrder{}
	if err != nil || engine.UnmarshalOptions.Unmarshal(body, order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := os.Stat(order.GetFolder()); err != nil {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && order.GetFencing() < e.fencing {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fencing = order.GetFencing()
	e.orders = append(e.orders, order)
	e.serving = nil
	go e.serveLater(order)
	w.WriteHeader(http.StatusAccepted)
}

// serveLater serves the weights of an order after LoadTime, unless a later order with another
// fencing number was accepted in the meantime.
func (e *Engine) serveLater(order *schema.LoadOrder) {
	<-e.clock.After(e.settings.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing == order.GetFencing() {
		e.serving = order
	}
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request); err != nil || len(request.Messages) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	manifest, ready := e.begin()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	header := w.Header()
	header.Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	header.Set(engine.HeaderIncarnation, e.incarnation)
	header.Set(engine.HeaderManifest, manifest)
	prompt := request.Messages[len(request.Messages)-1].Content
	tokens := request.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	if request.Stream {
		e.stream(w, r, manifest, prompt, tokens)
		return
	}
	if !e.sleep(r, time.Duration(tokens)*e.settings.TokenInterval) {
		return
	}
	header.Set("Content-Type", "application/json")
	message := chatText{Content: AnswerText(manifest, prompt, tokens)}
	_ = json.NewEncoder(w).Encode(chatAnswer{ID: "chat", Object: "chat.completion", Choices: []chatChoice{{Message: &message}}})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, manifest, prompt string, tokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range tokens {
		if !e.sleep(r, e.settings.TokenInterval) {
			return
		}
		delta := chatText{Content: token(manifest, prompt, i)}
		event, err := json.Marshal(chatAnswer{ID: "chat", Object: "chat.completion.chunk", Choices: []chatChoice{{Delta: &delta}}})
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// sleep waits for d, and reports whether d passed before the request was canceled.
func (e *Engine) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-e.clock.After(d):
		return true
	}
}

func (e *Engine) begin() (manifest string, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.serving == nil {
		return "", false
	}
	e.running++
	e.runs++
	e.peak = max(e.peak, e.running)
	return e.serving.GetManifest(), true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
