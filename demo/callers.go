package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/caller"
	"figbank/deployment"
	"figbank/fake"

	"github.com/google/uuid"
)

const (
	chatCallers    = 24
	bookingCallers = 6
	thinkTime      = 150 * time.Millisecond
	// maxAttempts bounds the attempts of one request after the context of run has ended. Until
	// then, the number of attempts is not bounded.
	maxAttempts = 150
	// retryDelay is the time between two attempts.
	retryDelay  = 200 * time.Millisecond
	callTimeout = 90 * time.Second
	minTokens   = 4
	tokenRange  = 24
	// replayEvery sets how many bookings are sent again under their key: on average, one of
	// replayEvery bookings.
	replayEvery = 5
)

type (
	// callers sends requests to gateways and checks every answer. The balancer picks the
	// gateway of each request.
	callers struct {
		deployment *deployment.Deployment
		balancer   *balancer
		clock      figbank.Clock
		runCounter *fake.RunCounter
		outcomes   *Outcomes
		http       *http.Client
		// manifests returns the digests of the weights that answers may come from.
		manifests func() map[string]bool
		stopping  atomic.Bool
	}
)

func newCallers(d *deployment.Deployment, b *balancer, clock figbank.Clock, runCounter *fake.RunCounter, manifests func() map[string]bool) *callers {
	return &callers{
		deployment: d, balancer: b, clock: clock, runCounter: runCounter, manifests: manifests,
		outcomes: newOutcomes(), http: &http.Client{Timeout: callTimeout},
	}
}

// run sends requests until ctx ends, and returns once the running requests have ended.
func (c *callers) run(ctx context.Context) {
	var group sync.WaitGroup
	context.AfterFunc(ctx, func() { c.stopping.Store(true) })
	for range chatCallers {
		group.Go(func() { c.loop(ctx, c.chat) })
	}
	for range bookingCallers {
		group.Go(func() { c.loop(ctx, c.booking) })
	}
	group.Wait()
}

func (c *callers) loop(ctx context.Context, call func()) {
	for ctx.Err() == nil {
		call()
		<-c.clock.After(time.Duration(rand.Int64N(int64(thinkTime)))) //nolint:gosec // spreads load, no secret
	}
}

// chat requests a completion. It checks that the answer names a declared manifest, and that the
// text is the one that the fake engine generates for that manifest.
func (c *callers) chat() {
	prompt := uuid.NewString()
	tokens := minTokens + rand.IntN(tokenRange) //nolint:gosec // spreads load, no secret
	body, _ := json.Marshal(map[string]any{
		"model": string(c.deployment.ModelService().Name), "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	a, ok := c.sendUntilAnswered(caller.ChatPath, "", body)
	if !ok {
		return
	}
	manifest := a.Header.Get("X-Manifest")
	text, complete := caller.StreamedText(a.Body)
	c.outcomes.add(func(o *Outcomes) {
		switch {
		case !complete:
			o.Incomplete++
			o.note("chat answer ended without an end marker")
		case !c.manifests()[manifest]:
			o.WrongVersion++
			o.note("chat answered from an undeclared manifest: " + manifest)
		case text != fake.AnswerText(manifest, prompt, tokens):
			o.WrongText++
			o.note("chat answered with the wrong text")
		default:
			o.Answered++
		}
	})
}

// booking sends a booking under an idempotency key, and sometimes sends it again.
func (c *callers) booking() {
	id := uuid.NewString()
	body := fmt.Appendf(nil, `{"id":%q}`, id)
	path := caller.ServicePath(c.deployment.BookingService().Name, "bookings")
	a, ok := c.sendUntilAnswered(path, id, body)
	if !ok {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		if !strings.Contains(string(a.Body), id) {
			o.WrongText++
			o.note("booking got the answer of another booking")
			return
		}
		o.Answered++
	})
	if rand.IntN(replayEvery) == 0 { //nolint:gosec // spreads load, no secret
		c.replay(path, id, body, a)
	}
}

// replay sends a booking again under its key and checks that the answer is the same.
func (c *callers) replay(path, key string, body []byte, first caller.Answer) {
	again, ok := c.sendUntilAnswered(path, key, body)
	if !ok {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		if !bytes.Equal(first.Body, again.Body) {
			o.WrongText++
			o.note("booking got a different answer when it was sent again")
			return
		}
		o.Replayed++
	})
}

// sendUntilAnswered sends a request until it gets a complete answer. It sends the request again
// under the same key as long as recordFailure allows that, for example if the request was refused
// as not run, or if an earlier request under the key still runs. It returns false if there is no
// complete answer.
func (c *callers) sendUntilAnswered(path, key string, body []byte) (caller.Answer, bool) {
	runsBefore := c.runCounter.Runs(key)
	for attempts := 0; attempts < maxAttempts; {
		if c.stopping.Load() {
			attempts++
		}
		started := c.clock.Now()
		a, err := c.send(path, key, body)
		if err == nil && a.Status == http.StatusOK && !a.Incomplete {
			c.outcomes.add(func(o *Outcomes) { o.Latencies = append(o.Latencies, c.clock.Now().Sub(started)) })
			return a, true
		}
		if !c.recordFailure(a, err) {
			return caller.Answer{}, false
		}
		c.checkRefusal(a, key, runsBefore)
		<-c.clock.After(retryDelay)
	}
	c.outcomes.add(func(o *Outcomes) {
		o.Lost++
		o.note("request got no complete answer in any of its attempts")
	})
	return caller.Answer{}, false
}

// checkRefusal records a violation if a request was refused as not run, but has run. It ignores
// the first runsBefore runs under the key, which are those of an earlier request.
func (c *callers) checkRefusal(a caller.Answer, key string, runsBefore int) {
	if a.Outcome != caller.NotRun || c.runCounter.Runs(key) == runsBefore {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		o.FalseNotRun++
		o.note("booking was refused as not run, but ran: " + a.Reason)
	})
}

// recordFailure counts a failed attempt and reports whether the request may be sent again.
func (c *callers) recordFailure(a caller.Answer, err error) bool {
	again := false
	c.outcomes.add(func(o *Outcomes) {
		switch {
		case errors.As(err, new(noGatewayError)):
			o.Refused["NoGateway"]++
			again = true
		case err != nil:
			o.Unknown++
			o.note("request failed: " + err.Error())
		case a.Outcome == caller.NotRun && a.Status == http.StatusServiceUnavailable,
			a.Reason == caller.StillRunning, a.Status == http.StatusNotFound:
			o.Refused[a.Reason]++
			again = true
		case a.Incomplete:
			o.Incomplete++
			o.note("answer ended before it was complete")
		default:
			o.Unknown++
			o.note(fmt.Sprintf("request got status %d, outcome %s: %s", a.Status, a.Outcome, a.Body))
		}
	})
	return again
}

// noGatewayError reports that no gateway is ready.
type noGatewayError struct{}

// Error describes the failure.
func (noGatewayError) Error() string { return "no gateway is ready" }

func (c *callers) send(path, key string, body []byte) (caller.Answer, error) {
	gateway, found := c.balancer.pick()
	if !found {
		return caller.Answer{}, noGatewayError{}
	}
	workspace := c.deployment.Workspaces[rand.IntN(len(c.deployment.Workspaces))] //nolint:gosec // spreads load, no secret
	if key != "" {
		workspace = c.deployment.Workspaces[int(key[0])%len(c.deployment.Workspaces)]
	}
	request, err := caller.NewRequest(context.Background(), "http://"+gateway, path, workspace, key, body)
	if err != nil {
		return caller.Answer{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return caller.Answer{}, figbank.WrapError("demo", "Send", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return caller.NewAnswer(response.StatusCode, response.Header, content, err != nil), nil
}
