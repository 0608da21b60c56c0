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
	// maxTries bounds the tries of one request once the demo ends, and triesDelay
	// is between them. Before that, callers come back as long as they are told to.
	maxTries    = 150
	triesDelay  = 200 * time.Millisecond
	callTimeout = 90 * time.Second
	minTokens   = 4
	moreTokens  = 24
	// replayEvery resends every nth booking under its key.
	replayEvery = 5
)

type (
	// callers send requests through the balancer and check every answer.
	callers struct {
		deployment *deployment.Deployment
		balancer   *balancer
		clock      figbank.Clock
		book       *fake.Book
		outcomes   *Outcomes
		http       *http.Client
		manifests  func() map[string]bool
		stopping   atomic.Bool
	}
)

func newCallers(d *deployment.Deployment, b *balancer, clock figbank.Clock, book *fake.Book, manifests func() map[string]bool) *callers {
	return &callers{
		deployment: d, balancer: b, clock: clock, book: book, manifests: manifests,
		outcomes: newOutcomes(), http: &http.Client{Timeout: callTimeout},
	}
}

// run sends requests until ctx ends, and lets those that run end.
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

// chat asks for a completion and checks its text against the weights it names.
func (c *callers) chat() {
	prompt := uuid.NewString()
	tokens := minTokens + rand.IntN(moreTokens) //nolint:gosec // spreads load, no secret
	body, _ := json.Marshal(map[string]any{
		"model": string(c.deployment.ModelService().Name), "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	a, ok := c.untilAnswered(caller.ChatPath, "", body)
	if !ok {
		return
	}
	manifest := a.Header.Get("X-Manifest")
	text, whole := caller.StreamedText(a.Body)
	c.outcomes.add(func(o *Outcomes) {
		switch {
		case !whole:
			o.Cut++
			o.note("chat ended without its end mark")
		case !c.manifests()[manifest]:
			o.WrongVersion++
			o.note("chat answered from manifest " + manifest)
		case text != fake.Text(manifest, prompt, tokens):
			o.WrongText++
			o.note("chat answered with other text")
		default:
			o.Answered++
		}
	})
}

// booking books a job under an idempotency key, now and then twice.
func (c *callers) booking() {
	id := uuid.NewString()
	body := fmt.Appendf(nil, `{"id":%q}`, id)
	path := caller.ServicePath(c.deployment.BookingService().Name, "bookings")
	a, ok := c.untilAnswered(path, id, body)
	if !ok {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		if !strings.Contains(string(a.Body), id) {
			o.WrongText++
			o.note("booking answered for another booking")
			return
		}
		o.Answered++
	})
	if rand.IntN(replayEvery) == 0 { //nolint:gosec // spreads load, no secret
		c.replay(path, id, body, a)
	}
}

func (c *callers) replay(path, key string, body []byte, first caller.Answer) {
	again, ok := c.untilAnswered(path, key, body)
	if !ok {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		if !bytes.Equal(first.Body, again.Body) {
			o.WrongText++
			o.note("booking's answer changed when asked for again")
			return
		}
		o.Replayed++
	})
}

// untilAnswered sends a request again, under the same key, as long as it is
// refused as not run or told that the key's request still runs.
func (c *callers) untilAnswered(path, key string, body []byte) (caller.Answer, bool) {
	runsBefore := c.book.Runs(key)
	for tries := 0; tries < maxTries; {
		if c.stopping.Load() {
			tries++
		}
		started := c.clock.Now()
		a, err := c.send(path, key, body)
		if err == nil && a.Status == http.StatusOK && !a.Cut {
			c.outcomes.add(func(o *Outcomes) { o.Latencies = append(o.Latencies, c.clock.Now().Sub(started)) })
			return a, true
		}
		if !c.mayTryAgain(a, err) {
			return caller.Answer{}, false
		}
		c.checkNotRun(a, key, runsBefore)
		<-c.clock.After(triesDelay)
	}
	c.outcomes.add(func(o *Outcomes) {
		o.Lost++
		o.note("request got no answer in all its tries")
	})
	return caller.Answer{}, false
}

// checkNotRun checks a refusal: "not run" speaks of this request, not of one
// that was answered under the same key before.
func (c *callers) checkNotRun(a caller.Answer, key string, runsBefore int) {
	if a.Outcome != caller.NotRun || c.book.Runs(key) == runsBefore {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		o.FalseNotRun++
		o.note("booking was refused as not run but ran: " + a.Reason)
	})
}

// mayTryAgain counts a failed try.
func (c *callers) mayTryAgain(a caller.Answer, err error) bool {
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
		case a.Cut:
			o.Cut++
			o.note("answer was cut")
		default:
			o.Unknown++
			o.note(fmt.Sprintf("answered %d, outcome %s: %s", a.Status, a.Outcome, a.Body))
		}
	})
	return again
}

// noGatewayError says that no gateway is ready.
type noGatewayError struct{}

// Error says so.
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
		return caller.Answer{}, figbank.Fail("demo", "Send", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return caller.Read(response.StatusCode, response.Header, content, err != nil), nil
}
