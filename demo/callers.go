package demo

import (
	"bufio"
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
	doneLine    = "data: [DONE]"
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

	// answer is one HTTP answer, read to its end.
	answer struct {
		status  int
		outcome string
		reason  string
		header  http.Header
		body    []byte
		// cut is set when the answer did not end as it should.
		cut bool
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
	a, ok := c.untilAnswered("/v1/chat/completions", "", body)
	if !ok {
		return
	}
	manifest := a.header.Get("X-Manifest")
	text, whole := streamedText(a.body)
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
	path := "/services/" + string(c.deployment.BookingService().Name) + "/bookings"
	a, ok := c.untilAnswered(path, id, body)
	if !ok {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		if !strings.Contains(string(a.body), id) {
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

func (c *callers) replay(path, key string, body []byte, first answer) {
	again, ok := c.untilAnswered(path, key, body)
	if !ok {
		return
	}
	c.outcomes.add(func(o *Outcomes) {
		if !bytes.Equal(first.body, again.body) {
			o.WrongText++
			o.note("booking's answer changed when asked for again")
			return
		}
		o.Replayed++
	})
}

// untilAnswered sends a request again, under the same key, as long as it is
// refused as not run.
func (c *callers) untilAnswered(path, key string, body []byte) (answer, bool) {
	for tries := 0; tries < maxTries; {
		if c.stopping.Load() {
			tries++
		}
		started := c.clock.Now()
		a, err := c.send(path, key, body)
		if err == nil && a.status == http.StatusOK && !a.cut {
			c.outcomes.add(func(o *Outcomes) { o.Latencies = append(o.Latencies, c.clock.Now().Sub(started)) })
			return a, true
		}
		if !c.mayTryAgain(a, err, key) {
			return answer{}, false
		}
		<-c.clock.After(triesDelay)
	}
	c.outcomes.add(func(o *Outcomes) {
		o.Lost++
		o.note("request got no answer in all its tries")
	})
	return answer{}, false
}

// mayTryAgain counts a failed try, and checks that "not run" is true.
func (c *callers) mayTryAgain(a answer, err error, key string) bool {
	again := false
	c.outcomes.add(func(o *Outcomes) {
		switch {
		case errors.As(err, new(noGatewayError)):
			o.Refused["NoGateway"]++
			again = true
		case err != nil:
			o.Unknown++
			o.note("request failed: " + err.Error())
		case a.outcome == "NotRun" && a.status == http.StatusServiceUnavailable, a.status == http.StatusNotFound:
			o.Refused[a.reason]++
			again = true
			if key != "" && c.book.Runs(key) > 0 {
				o.FalseNotRun++
				o.note("booking was refused as not run but ran")
			}
		case a.cut:
			o.Cut++
			o.note("answer was cut")
		default:
			o.Unknown++
			o.note(fmt.Sprintf("answered %d, outcome %s: %s", a.status, a.outcome, a.body))
		}
	})
	return again
}

// noGatewayError says that no gateway is ready.
type noGatewayError struct{}

// Error says so.
func (noGatewayError) Error() string { return "no gateway is ready" }

func (c *callers) send(path, key string, body []byte) (answer, error) {
	gateway, found := c.balancer.pick()
	if !found {
		return answer{}, noGatewayError{}
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+gateway+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, figbank.Fail("demo", "Request", err)
	}
	workspace := c.deployment.Workspaces[rand.IntN(len(c.deployment.Workspaces))] //nolint:gosec // spreads load, no secret
	if key != "" {
		workspace = c.deployment.Workspaces[int(key[0])%len(c.deployment.Workspaces)]
		request.Header.Set("Idempotency-Key", key)
	}
	request.Header.Set("Authorization", "Bearer "+deployment.CallerKey(workspace))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, figbank.Fail("demo", "Send", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, outcome: response.Header.Get("Figbank-Outcome"), reason: reasonOf(content),
		header: response.Header, body: content, cut: err != nil,
	}, nil
}

func reasonOf(body []byte) string {
	var problem struct{ Title, Reason string }
	if json.Unmarshal(body, &problem) != nil {
		return "Other"
	}
	if problem.Reason == "" {
		return problem.Title
	}
	return problem.Reason
}

// streamedText joins the text of a stream of server-sent events. Whole is set
// when the stream has its end mark.
func streamedText(body []byte) (text string, whole bool) {
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		line := scanner.Text()
		if line == doneLine {
			return text, true
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found || json.Unmarshal([]byte(data), &event) != nil {
			continue
		}
		for _, choice := range event.Choices {
			text += choice.Delta.Content
		}
	}
	return text, false
}
