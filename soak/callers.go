package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"figbank/platform/standin"
)

const (
	callTimeout = 6 * time.Second
	thinkTime   = 60 * time.Millisecond
	mostEvents  = 12
)

// routes are those that callers use.
var routes = []string{standin.Safe, standin.Unsafe, standin.Open, standin.Stream}

type (
	// callers send requests over connections that they keep, and check each answer.
	callers struct {
		gateways []string
		record   *record
		planned  atomic.Bool

		mu sync.Mutex
		// sent holds each request by its id.
		sent map[string]*sentRequest
	}

	sentRequest struct {
		kind string
		// notRun is set when the caller was told so.
		notRun bool
		// planned is set when only planned work went on.
		planned bool
		// lost is set when the caller got no whole answer and no refusal.
		lost bool
	}
)

func newCallers(gateways []string, r *record) *callers {
	return &callers{gateways: gateways, record: r, sent: map[string]*sentRequest{}}
}

// run has so many callers at each gateway send requests until ctx ends.
func (c *callers) run(ctx context.Context, each int) {
	var group sync.WaitGroup
	for _, gateway := range c.gateways {
		for range each {
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
		kind := routes[rand.IntN(len(routes))] //nolint:gosec // spreads load, no secret
		c.call(client, gateway, kind)
		wall.sleep(time.Duration(rand.Int64N(int64(thinkTime)))) //nolint:gosec // spreads load, no secret
	}
}

// call sends one request and checks what comes back.
func (c *callers) call(client *http.Client, gateway, kind string) int {
	id, events := uuid.NewString(), 0
	if kind == standin.Stream {
		events = 1 + rand.IntN(mostEvents) //nolint:gosec // spreads load, no secret
	}
	request := &sentRequest{kind: kind, planned: c.planned.Load()}
	c.mu.Lock()
	c.sent[id] = request
	c.mu.Unlock()
	got := standin.Ask{Gateway: gateway, Route: kind, ID: id, Events: events}.Send(context.Background(), client)
	c.record.count(outcomeOf(got))
	switch {
	case got.Err != nil:
		request.lost = true
		request.planned = request.planned && c.planned.Load()
	case got.Status == http.StatusServiceUnavailable, got.Status == http.StatusTooManyRequests:
		request.notRun = true
	case got.Status == http.StatusOK && kind == standin.Stream:
		c.checkStream(id, got, events)
	case got.Status == http.StatusOK:
		c.checkPlain(id, got)
	case got.Status >= http.StatusBadRequest && got.Status < http.StatusInternalServerError:
		c.record.breaks("Denied", "%s %s at %s got %d", kind, id, gateway, got.Status)
	}
	return got.Status
}

func outcomeOf(got standin.Answer) string {
	switch {
	case got.Err != nil && got.Status == 0:
		return "no answer"
	case got.Err != nil:
		return "cut answer"
	}
	return strconv.Itoa(got.Status)
}

func (c *callers) checkPlain(id string, got standin.Answer) {
	switch {
	case !got.Sealed:
		c.record.breaks("Mixed", "%s got 200 without a seal", id)
	case got.Body != "answer to "+id:
		c.record.breaks("Mixed", "%s got %q", id, got.Body)
	}
}

// checkStream checks that each event came once, in order, and all of them.
func (c *callers) checkStream(id string, got standin.Answer, events int) {
	next := 1
	for part := range strings.SplitSeq(got.Body, "\n\n") {
		if part == "" {
			continue
		}
		if want := fmt.Sprintf("id: %d\ndata: %s-%d-", next, id, next); !strings.HasPrefix(part, want) {
			c.record.breaks("Mixed", "stream %s holds %.60q where event %d is due", id, part, next)
			return
		}
		next++
	}
	if next != events+1 {
		c.record.breaks("Mixed", "stream %s ended as if whole after %d of %d events", id, next-1, events)
	}
}

// settle checks all requests against what the upstreams have run.
func (c *callers) settle(runs map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, request := range c.sent {
		ran := runs[id]
		switch {
		case request.kind == standin.Unsafe && ran > 1:
			c.record.breaks("Twice", "%s ran %d times", id, ran)
		case request.kind == standin.Unsafe && request.notRun && ran > 0:
			c.record.breaks("Refused", "%s was refused as not run and ran", id)
		case request.lost && request.planned && ran > 0:
			c.record.breaks("Lost", "%s %s ran, and its answer was lost while only planned work went on", request.kind, id)
		}
	}
	for id := range runs {
		if id != probeID && c.sent[id] == nil {
			c.record.breaks("Unasked", "%s ran and nobody sent it", id)
		}
	}
}
