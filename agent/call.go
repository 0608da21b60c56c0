package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"figbank"
	"figbank/admission"
	"figbank/configuration"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
)

const (
	// maxBody bounds a request body, in bytes; gateways have their own, lower bound.
	maxBody = 64 << 20
	// maxPiece is the most answer bytes in one frame.
	maxPiece = 16 << 10
	// doneMark ends a stream of server-sent events of the chat interface.
	doneMark = "[DONE]"
)

// call is one request on its way through the agent.
type call struct {
	agent  *Agent
	stream *transport.Stream
	id     string
	head   *schema.CallHead
	credit *credit
	held   *admission.Held
}

// ServeCall runs one call that a gateway routed here.
func (a *Agent) ServeCall(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	frame := &schema.CallFrame{}
	if err := stream.Receive(frame); err != nil || frame.GetHead() == nil {
		return
	}
	c := &call{agent: a, stream: stream, id: frame.GetRequestId(), head: frame.GetHead(), credit: newCredit(frame.GetHead().GetCredit())}
	held, reason := a.admit(c.head)
	if held == nil {
		a.event("Refused", c.id, string(reason))
		_ = c.send(refusal(reason))
		return
	}
	c.held = held
	last, end := c.run(ctx)
	// The last frame tells the free capacity, so the call's own part of it is given
	// back first: gateways would take an idle upstream for a full one otherwise.
	a.gate.exit()
	a.release(held, end)
	if last != nil {
		_ = c.send(last)
	}
}

// release gives capacity back, and announces what other gateways cannot know:
// only the gateway of this call hears of it with the answer.
func (a *Agent) release(held *admission.Held, end admission.End) {
	before, inUse := a.limiter.Usage()
	held.Release(end)
	after, _ := a.limiter.Usage()
	switch {
	case after > before:
		a.grown.raise()
	case inUse >= before:
		a.changed.raise()
	}
}

// admit checks place, version and limit. Nothing has reached the engine yet, so
// a refusal proves that the call did not run.
func (a *Agent) admit(head *schema.CallHead) (*admission.Held, figbank.Reason) {
	c := a.holder.Current()
	service := configuration.Service(c, a.service)
	switch {
	case head.GetService() != string(a.service) || service == nil:
		return nil, figbank.ReasonWrongService
	case configuration.DomainOut(c, a.place.FailureDomain):
		return nil, figbank.ReasonDomainOut
	case !configuration.Serves(service.GetCurrent().GetDeclaration().GetService(), a.place.FailureDomain):
		return nil, figbank.ReasonWrongService
	case !configuration.AcceptsManifest(service, head.GetManifest()):
		return nil, figbank.ReasonWrongVersion
	}
	if reason, entered := a.gate.enter(head.GetManifest()); !entered {
		return nil, reason
	}
	held, doubtful := a.limiter.Acquire(a.common.Clock.Now(), figbank.Cost(head.GetCost()))
	if doubtful {
		a.pollSoon()
	}
	if held == nil {
		a.gate.exit()
		return nil, figbank.ReasonUpstreamFull
	}
	return held, ""
}

// run returns the frame that ends the call, nil when nobody waits for one, and
// what the call shows of the upstream.
func (c *call) run(ctx context.Context) (last *schema.AnswerFrame, end admission.End) {
	body, err := c.receiveBody()
	if err != nil {
		return refusal(figbank.ReasonCallerGone), admission.Abandoned
	}
	if !c.held.Renew() {
		return refusal(figbank.ReasonUpstreamFull), admission.Abandoned
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.receiveCredits(cancel)
	mark := c.agent.limiter.Mark()
	answer, err := c.callEngine(ctx, body)
	if err != nil {
		return c.fail(ctx, err)
	}
	defer answer.Body.Close()
	c.agent.notice(answer.Incarnation, mark)
	if answer.Manifest != "" && answer.Manifest != c.head.GetManifest() {
		return cut("engine answered from another version"), admission.Failed
	}
	return c.relay(ctx, answer)
}

func (c *call) receiveBody() ([]byte, error) {
	length := c.head.GetBodyLength()
	if length < 0 || length > maxBody {
		return nil, figbank.ProtocolError{Detail: "body length out of range"}
	}
	body := make([]byte, 0, length)
	for int64(len(body)) < length {
		frame := &schema.CallFrame{}
		if err := c.stream.Receive(frame); err != nil {
			return nil, err
		}
		if frame.GetRequestId() != c.id || int64(len(body)+len(frame.GetBody())) > length {
			return nil, figbank.ProtocolError{Detail: "frame of another request, or too long"}
		}
		body = append(body, frame.GetBody()...)
	}
	return body, nil
}

// receiveCredits reads until the gateway closes its side, which cancels the call.
func (c *call) receiveCredits(cancel context.CancelFunc) {
	defer cancel()
	for {
		frame := &schema.CallFrame{}
		if err := c.stream.Receive(frame); err != nil || frame.GetRequestId() != c.id {
			return
		}
		c.credit.give(frame.GetCredit())
	}
}

// callEngine bounds the time to the first byte of the answer.
func (c *call) callEngine(ctx context.Context, body []byte) (*figbank.ServiceAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	answered := make(chan struct{})
	defer close(answered)
	go c.cancelUnlessAnswered(answered, cancel)
	declared := configuration.Declared(c.agent.holder.Current(), c.agent.service)
	answer, err := c.agent.engine.Call(ctx, &figbank.ServiceRequest{
		ID: figbank.RequestID(c.id), Method: c.head.GetMethod(), Path: c.head.GetPath(),
		Headers: c.head.GetHeaders(), Body: body, Repeatable: declared.GetRepeatable(),
	})
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancelOnClose{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

func (c *call) cancelUnlessAnswered(answered <-chan struct{}, cancel context.CancelFunc) {
	timeout := time.Duration(c.head.GetTimeoutMilliseconds()) * time.Millisecond
	select {
	case <-answered:
	case <-c.agent.common.Clock.After(timeout):
		cancel()
	}
}

func (c *call) fail(ctx context.Context, err error) (last *schema.AnswerFrame, end admission.End) {
	var notRun figbank.NotRunError
	if errors.As(err, &notRun) {
		return refusal(notRun.Reason), admission.Failed
	}
	c.agent.common.Log.Info("call failed", zap.String("request", c.id), figbank.ErrorField(err))
	return cut("upstream failed before it answered"), c.broken(ctx)
}

// relay passes the answer on as far as credit allows. It reads from the engine
// only what may be sent, so that a slow caller holds no memory here.
func (c *call) relay(ctx context.Context, answer *figbank.ServiceAnswer) (last *schema.AnswerFrame, end admission.End) {
	head := &schema.AnswerHead{Status: int32(answer.Status), Headers: answer.Headers, Manifest: c.head.GetManifest()} //nolint:gosec // an HTTP status
	if err := c.send(&schema.AnswerFrame{Frame: &schema.AnswerFrame_Head{Head: head}}); err != nil {
		return nil, admission.Abandoned
	}
	check := newCompletion(answer.Headers)
	buffer := make([]byte, maxPiece)
	for {
		allowed, err := c.credit.await(ctx, maxPiece)
		if err != nil {
			return nil, admission.Abandoned
		}
		n, err := answer.Body.Read(buffer[:allowed])
		if n > 0 {
			check.add(buffer[:n])
			c.credit.take(int64(n))
			if err := c.send(&schema.AnswerFrame{Frame: &schema.AnswerFrame_Body{Body: buffer[:n]}}); err != nil {
				return nil, admission.Abandoned
			}
		}
		switch {
		case errors.Is(err, io.EOF) && check.complete():
			return whole(), endOf(answer.Status)
		case err != nil:
			return cut("upstream's answer was cut"), c.broken(ctx)
		}
	}
}

// broken tells a call that the upstream broke from one whose caller is gone.
func (c *call) broken(ctx context.Context) admission.End {
	if ctx.Err() != nil {
		return admission.Abandoned
	}
	c.agent.suspect()
	return admission.Failed
}

func endOf(status int) admission.End {
	if status >= http.StatusInternalServerError {
		return admission.Failed
	}
	return admission.Completed
}

func whole() *schema.AnswerFrame {
	end := &schema.AnswerEnd{Complete: true, Outcome: schema.Outcome_OUTCOME_RAN}
	return &schema.AnswerFrame{Frame: &schema.AnswerFrame_End{End: end}}
}

func refusal(reason figbank.Reason) *schema.AnswerFrame {
	refused := &schema.Refused{Reason: string(reason)}
	return &schema.AnswerFrame{Frame: &schema.AnswerFrame_Refused{Refused: refused}}
}

func cut(detail string) *schema.AnswerFrame {
	end := &schema.AnswerEnd{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Detail: detail}
	return &schema.AnswerFrame{Frame: &schema.AnswerFrame_End{End: end}}
}

func (c *call) send(frame *schema.AnswerFrame) error {
	frame.RequestId = c.id
	frame.Free = int64(c.agent.limiter.Free())
	return c.stream.Send(frame)
}

// cancelOnClose ends the HTTP exchange with its body, so that a connection with
// an unread rest is never used again.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the exchange.
func (b *cancelOnClose) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// completion tells whether an answer ended as its form demands: a stream of
// server-sent events needs its end mark, since a cut can look like an end.
type completion struct {
	events bool
	tail   []byte
}

func newCompletion(headers []*schema.Header) *completion {
	for _, header := range headers {
		if strings.EqualFold(header.GetName(), "Content-Type") && strings.HasPrefix(header.GetValue(), "text/event-stream") {
			return &completion{events: true}
		}
	}
	return &completion{}
}

func (c *completion) add(piece []byte) {
	if !c.events {
		return
	}
	const kept = 64
	c.tail = append(c.tail, piece...)
	if len(c.tail) > kept {
		c.tail = append(c.tail[:0], c.tail[len(c.tail)-kept:]...)
	}
}

func (c *completion) complete() bool {
	return !c.events || bytes.HasSuffix(bytes.TrimSpace(c.tail), []byte(doneMark))
}
