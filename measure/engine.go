package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"figbank"
	"figbank/deployment"
	"figbank/fake"
	"figbank/schema"
)

const (
	// coldCapacity is how many concurrent calls an engine can run when it has just started.
	// Whenever as many calls as the limit have completed, the limit doubles, up to the capacity
	// of the service.
	coldCapacity = 4
	// callTime is how long a call runs before its answer begins. A paced answer then takes
	// pieceTime for each piece of at most pieceSize bytes.
	callTime  = 100 * time.Millisecond
	pieceTime = 5 * time.Millisecond
	pieceSize = 256
	doneEvent = "data: [DONE]\n\n"
	// restartTime is how long an engine that restarts is unreachable. Limiters rely on it: no
	// process restarts in less than the time for which they trust an incarnation that they have
	// just confirmed.
	restartTime = 20 * time.Millisecond
)

type (
	// Engine is an in-memory back end that can run a limited number of concurrent calls. The
	// limit is low when the engine is cold, which means that it has just started, and rises as
	// calls complete. An engine with more calls than its limit crashes: it aborts all its calls
	// and starts again, cold.
	Engine struct {
		service     deployment.Service
		bookingRuns *fake.RunCounter

		mu          sync.Mutex
		incarnation int
		// restarted is closed and replaced at each restart.
		restarted chan struct{}
		down      bool
		// reachableAt is when the last restart has ended.
		reachableAt time.Time
		running     int64
		limit       int64
		// completed counts the completed calls since the limit last changed.
		completed      int64
		overloads      int
		runs           int
		written        int64
		fullCapacityAt time.Time
		firstCallAt    time.Time
	}

	// body is the body of an answer. A call counts as running until its body is read to the end
	// or closed.
	body struct {
		engine    *Engine
		ctx       context.Context //nolint:containedctx // a body lives as long as its call
		restarted <-chan struct{}
		remaining *bytes.Reader
		paced     bool
		once      sync.Once
	}

	// callBody is the body of the calls that callers in a Cluster send.
	callBody struct {
		Model string `json:"model"`
		// ID identifies a booking or chat. Size asks for an answer of that many bytes. Crash makes
		// the engine crash.
		ID    string `json:"id"`
		Size  int    `json:"size"`
		Crash bool   `json:"crash"`
	}
)

var _ figbank.Engine = (*Engine)(nil)

// NewEngine returns a cold engine for a service.
func NewEngine(service deployment.Service, bookingRuns *fake.RunCounter) *Engine {
	e := &Engine{service: service, bookingRuns: bookingRuns}
	e.Restart()
	return e
}

// Restart starts a new, cold incarnation and aborts all running calls.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// SetDown makes the engine unreachable or reachable again. Setting it down aborts all running
// calls, and the engine is cold afterwards.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	if down {
		e.restart()
	}
}

// Counts returns how many calls the engine ran and how often it crashed from overload.
func (e *Engine) Counts() (runs, overloads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs, e.overloads
}

// RampTime returns how long the current incarnation took from its first call until it
// reached its full capacity, or 0 if it has not reached it.
func (e *Engine) RampTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fullCapacityAt.IsZero() {
		return 0
	}
	return e.fullCapacityAt.Sub(e.firstCallAt)
}

// Written returns the number of answer bytes that the engine has written. It writes an answer
// only as fast as the answer is read.
func (e *Engine) Written() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.written
}

// Status returns the incarnation, the number of running calls and the manifest of a model. It
// returns an error while the engine is down.
func (e *Engine) Status(context.Context) (*schema.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable() {
		return nil, figbank.NotRunError{Reason: figbank.ReasonUnreachable}
	}
	status := &schema.EngineStatus{Incarnation: strconv.Itoa(e.incarnation), Ready: true, Running: e.running}
	if e.service.Model {
		status.Manifest = manifest
	}
	return status, nil
}

// Load returns an error, because a Cluster loads no weights.
func (e *Engine) Load(context.Context, *schema.LoadOrder) error {
	return figbank.InvalidError{Subject: "order", Detail: "weights are not part of this measure"}
}

// Call starts a call and returns its answer after callTime. The call counts as running until
// the body of the answer is read to its end or closed.
func (e *Engine) Call(ctx context.Context, request *figbank.ServiceRequest) (*figbank.ServiceAnswer, error) {
	var call callBody
	if err := json.Unmarshal(request.Body, &call); err != nil {
		return nil, figbank.InvalidError{Subject: "body", Detail: err.Error()}
	}
	restarted, incarnation, err := e.begin(call)
	if err != nil {
		return nil, err
	}
	select {
	case <-restarted:
		return nil, figbank.UnknownOutcomeError{Detail: "back end crashed"}
	case <-ctx.Done():
		e.finish(restarted, false)
		return nil, figbank.UnknownOutcomeError{Detail: "call was canceled"}
	case <-virtual.After(callTime):
	}
	answer, contentType := e.answer(request, call)
	return &figbank.ServiceAnswer{
		Status:      200,
		Headers:     []*schema.Header{{Name: "Content-Type", Value: []byte(contentType)}, {Name: "X-Request-Id", Value: []byte(request.ID)}},
		Body:        &body{engine: e, ctx: ctx, restarted: restarted, remaining: bytes.NewReader(answer), paced: call.Size == 0},
		Incarnation: figbank.Incarnation(strconv.Itoa(incarnation)),
	}, nil
}

func (e *Engine) begin(call callBody) (restarted chan struct{}, incarnation int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable() {
		return nil, 0, figbank.NotRunError{Reason: figbank.ReasonUnreachable}
	}
	if e.firstCallAt.IsZero() {
		e.firstCallAt = virtual.Now()
	}
	e.runs++
	if call.ID != "" && !e.service.Repeatable {
		e.bookingRuns.Add(call.ID)
	}
	if call.Crash {
		e.restart()
		return nil, 0, figbank.UnknownOutcomeError{Detail: "back end crashed"}
	}
	e.running++
	if e.running > e.limit {
		e.overloads++
		e.restart()
		return nil, 0, figbank.UnknownOutcomeError{Detail: "back end crashed from overload"}
	}
	return e.restarted, e.incarnation, nil
}

func (e *Engine) answer(request *figbank.ServiceRequest, call callBody) (content []byte, contentType string) {
	if call.Size > 0 {
		return bytes.Repeat([]byte("x"), call.Size), "application/octet-stream"
	}
	if e.service.Model {
		return fmt.Appendf(nil, "data: %s of %s\n\n%s", call.ID, request.ID, doneEvent), "text/event-stream"
	}
	return fmt.Appendf(nil, `{"id":%q}`, call.ID), "application/json"
}

// finish ends a call. If the call succeeded, it counts towards the next increase of the limit.
// The parameter restarted is the channel of the incarnation that ran the call. If the engine
// has restarted since then, finish does nothing.
func (e *Engine) finish(restarted <-chan struct{}, succeeded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if restarted != (<-chan struct{})(e.restarted) {
		return
	}
	e.running--
	if !succeeded {
		return
	}
	e.completed++
	if e.completed >= e.limit && e.limit < e.service.Capacity {
		e.completed = 0
		e.limit = min(e.service.Capacity, e.limit*2)
	}
	if e.limit == e.service.Capacity && e.fullCapacityAt.IsZero() {
		e.fullCapacityAt = virtual.Now()
	}
}

// unreachable reports whether calls cannot reach the engine now. The caller holds e.mu.
func (e *Engine) unreachable() bool {
	return e.down || virtual.Now().Before(e.reachableAt)
}

// restart starts a new, cold incarnation. The caller holds e.mu.
func (e *Engine) restart() {
	if e.restarted != nil {
		close(e.restarted)
		e.reachableAt = virtual.Now().Add(restartTime)
	}
	e.restarted = make(chan struct{})
	e.incarnation++
	e.running, e.completed, e.limit = 0, 0, coldCapacity
	e.firstCallAt, e.fullCapacityAt = time.Time{}, time.Time{}
}

// Read returns the next piece. A paced body delays each piece, like a model that generates
// tokens.
func (b *body) Read(p []byte) (int, error) {
	if b.paced {
		select {
		case <-virtual.After(pieceTime):
		case <-b.restarted:
		case <-b.ctx.Done():
		}
	}
	select {
	case <-b.restarted:
		return 0, io.ErrUnexpectedEOF
	case <-b.ctx.Done():
		return 0, io.ErrUnexpectedEOF
	default:
	}
	n, err := b.remaining.Read(p[:min(len(p), b.pieceSize())])
	b.engine.mu.Lock()
	b.engine.written += int64(n)
	b.engine.mu.Unlock()
	if errors.Is(err, io.EOF) {
		b.once.Do(func() { b.engine.finish(b.restarted, true) })
	}
	return n, err
}

func (b *body) pieceSize() int {
	if b.paced {
		return pieceSize
	}
	return unpacedPieceSize
}

// unpacedPieceSize is the largest piece that an unpaced answer returns from one Read.
const unpacedPieceSize = 16 << 10

// Close ends the call if the answer was not read to its end.
func (b *body) Close() error {
	b.once.Do(func() { b.engine.finish(b.restarted, false) })
	return nil
}
