package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"figbank/platform/standin"
)

const (
	callTimeout = 6 * time.Second
	// thinkTime bounds the random pause of a caller between two requests.
	thinkTime = 60 * time.Millisecond
	// maxEvents bounds the number of events that a stream is asked for.
	maxEvents = 12
)

// routes are the routes to which callers send requests.
var routes = []string{standin.Safe, standin.Unsafe, standin.PublicRoute, standin.Stream}

type (
	// callers sends requests over persistent connections and checks each answer.
	callers struct {
		gateways []string
		record   *record
		// sized is set if all requests are streams, with prompts of different lengths.
		sized bool
		// garbled returns how upstreams garbled the answers to a request.
		garbled func(id string) []string
		// disturbed reports whether a gateway was stopped, started or paused within a time.
		disturbed func(gateway string, from, to time.Time) bool
		// planned is set during the planned restarts, while no faults are injected.
		planned atomic.Bool

		mu sync.Mutex
		// sent holds every request by its id.
		sent map[string]*sentRequest
		// passedOn counts streams that were not what the upstream should have sent, by the garbage that
		// it sent.
		passedOn map[string]int
	}

	sentRequest struct {
		route, gateway string
		// at is when the request was sent. unreachable is set if the gateway took no connection.
		at          time.Time
		unreachable bool
		// prompt is the length of the prompt, 0 for a usual one. served is set once the answer is
		// complete.
		prompt int
		served bool
		// took is the time to the end of the answer.
		took time.Duration
		// notRun is set when the answer was 503 or 429. Both statuses mean that the request was
		// not run.
		notRun bool
		// planned is set when the request began during the planned restarts. It is cleared if the
		// request was lost only after these restarts.
		planned bool
		// lost is set when the caller got neither a complete answer nor a refusal.
		lost bool
	}
)

func newCallers(gateways []string, r *record) *callers {
	return &callers{
		gateways: gateways, record: r, sent: map[string]*sentRequest{}, passedOn: map[string]int{},
		garbled:   func(string) []string { return nil },
		disturbed: func(string, time.Time, time.Time) bool { return false },
	}
}

// run sends requests from the given number of callers at each gateway until ctx ends.
func (c *callers) run(ctx context.Context, perGateway int) {
	var group sync.WaitGroup
	for _, gateway := range c.gateways {
		for range perGateway {
			group.Go(func() { c.loop(ctx, gateway) })
		}
	}
	group.Wait()
}

func (c *callers) loop(ctx context.Context, gateway string) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for ctx.Err() == nil {
		route := routes[rand.IntN(len(routes))] //nolint:gosec // spreads load, no secret
		if c.sized {
			route = standin.Stream
		}
		status := c.call(client, gateway, route, 0)
		if c.sized {
			pauseAfterRefusal(status)
		}
		wall.sleep(time.Duration(rand.Int64N(int64(thinkTime)))) //nolint:gosec // spreads load, no secret
	}
}

// call sends one request with an upload of a length, checks the answer and returns its status, or 0 if there was none.
func (c *callers) call(client *http.Client, gateway, route string, upload int) int {
	id, events := uuid.NewString(), 0
	if isStream(route) {
		events = 1 + rand.IntN(maxEvents) //nolint:gosec // spreads load, no secret
	}
	request := &sentRequest{route: route, gateway: gateway, at: wall.Now(), planned: c.planned.Load()}
	if c.sized && route == standin.Stream {
		events, request.prompt = sizedEvents, drawPrompt()
	}
	c.mu.Lock()
	c.sent[id] = request
	c.mu.Unlock()
	got := standin.Request{Gateway: gateway, Route: route, ID: id, Events: events, Prompt: request.prompt, Upload: upload}.Send(context.Background(), client)
	request.took = wall.since(request.at)
	c.record.count(outcomeOf(route, got))
	if got.Status == http.StatusOK {
		request.served = c.checkContent(id, got, request, events)
	}
	switch {
	case got.Err != nil:
		request.lost = true
		request.unreachable = errors.Is(got.Err, syscall.ECONNREFUSED)
		request.planned = request.planned && c.planned.Load()
	case got.Status == http.StatusServiceUnavailable, got.Status == http.StatusTooManyRequests:
		request.notRun = true
	case got.Status >= http.StatusBadRequest && got.Status < http.StatusInternalServerError:
		c.record.addViolation("Denied", "%s %s at %s got %d", route, id, gateway, got.Status)
	}
	return got.Status
}

// outcomeOf returns the key under which a Report counts an answer.
func outcomeOf(route string, got standin.Answer) string {
	outcome := strconv.Itoa(got.Status)
	switch {
	case got.Err != nil && got.Status == 0:
		outcome = "no answer"
	case got.Err != nil:
		outcome = "truncated answer"
	}
	if isFaulty(route) {
		return "faulty service: " + outcome
	}
	return outcome
}

// ask sends a request and returns the status of its answer, 0 if there was none. A request without an id counts
// among those that callers sent.
func (c *callers) ask(ctx context.Context, client *http.Client, request standin.Request) int {
	if request.ID == "" {
		request.ID = uuid.NewString()
		c.mu.Lock()
		c.sent[request.ID] = &sentRequest{route: request.Route, gateway: request.Gateway, at: wall.Now()}
		c.mu.Unlock()
	}
	return request.Send(ctx, client).Status
}

// checkRuns checks how often each request ran, and records a violation for each broken promise.
// The map runs holds how often the upstreams ran each request, by the request's id.
func (c *callers) checkRuns(runs map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, request := range c.sent {
		ran := runs[id]
		switch {
		case isUnsafe(request.route) && ran > 1:
			c.record.addViolation("Twice", "%s ran %d times", id, ran)
		case request.notRun && ran > 0:
			c.record.addViolation("Refused", "%s was refused as not run, but ran", id)
		case request.lost && request.planned && ran > 0:
			c.record.addViolation("Lost", "%s %s ran, but its answer was lost during planned restarts", request.route, id)
		}
	}
	for id := range runs {
		if id != probeID && c.sent[id] == nil {
			c.record.addViolation("Unasked", "%s ran, but no caller sent it", id)
		}
	}
}
