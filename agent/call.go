package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"figbank"
	"figbank/admission"
	"figbank/configuration"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
)

const (
	// maxBody limits a request body, in bytes. Gateways have a lower limit of their own.
	maxBody = 64 << 20
	// trustedBody is how much memory, in bytes, is taken for a request body before it arrives.
	trustedBody = 128 << 10
	// maxFrameBody limits the number of answer bytes in one frame.
	maxFrameBody = 16 << 10
)

// call is the state of one call, from its head frame to the last frame of its answer.
type call struct {
	agent  *Agent
	stream *transport.Stream
	id     string
	head   *schema.CallHead
	credit *credit
	permit *admission.Permit
}

// ServeCall serves one call that a gateway routed to this agent.
func (a *Agent) ServeCall(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	frame := &schema.CallFrame{}
	if err := stream.Receive(frame); err != nil || frame.GetHead() == nil {
		return
	}
	c := &call{agent: a, stream: stream, id: frame.GetRequestId(), head: frame.GetHead(), credit: newCredit(frame.GetHead().GetCredit())}
	permit, reason := a.admit(c.head)
	if permit == nil {
		a.event("Refused", c.id, string(reason))
		_ = c.send(refusedFrame(reason))
		return
	}
	c.permit = permit
	last, result := c.run(ctx)
	// The last frame reports the free capacity. The call's own capacity is released before the
	// frame is sent, since gateways would otherwise consider an idle upstream full.
	a.gate.exit()
	a.release(permit, result)
	if last != nil {
		_ = c.send(last)
	}
}

// release returns a call's capacity to the limiter. It triggers an announcement if the limit has
// increased or the upstream was full. Without an announcement, only the gateway of this call would
// learn of the free capacity, from the answer.
func (a *Agent) release(permit *admission.Permit, result admission.Result) {
	before, inUse := a.limiter.Usage()
	permit.Release(result)
	after, _ := a.limiter.Usage()
	switch {
	case after > before:
		a.limitRaised.raise()
	case inUse >= before:
		a.changed.raise()
	}
}

// admit checks a call's service, failure domain, version and cost. It returns either a permit or
// the reason for the refusal. Nothing has been sent to the engine yet, so a refusal proves that the
// call was not run.
func (a *Agent) admit(head *schema.CallHead) (*admission.Permit, figbank.Reason) {
	c := a.holder.Current()
	service := configuration.Service(c, a.service)
	switch {
	case head.GetService() != string(a.service) || service == nil:
		return nil, figbank.ReasonWrongService
	case configuration.IsDomainOut(c, a.location.FailureDomain):
		return nil, figbank.ReasonDomainOut
	case !configuration.RunsIn(service.GetCurrent().GetDeclaration().GetService(), a.location.FailureDomain):
		return nil, figbank.ReasonWrongService
	case !configuration.AcceptsManifest(service, head.GetManifest()):
		return nil, figbank.ReasonWrongVersion
	}
	if reason, entered := a.gate.enter(head.GetManifest()); !entered {
		return nil, reason
	}
	permit, unconfirmed := a.limiter.Acquire(a.common.Clock.Now(), figbank.Cost(head.GetCost()))
	if unconfirmed {
		a.requestPoll()
	}
	if permit == nil {
		a.gate.exit()
		return nil, figbank.ReasonUpstreamFull
	}
	return permit, ""
}

// run sends the call to the engine and relays the answer. It returns the last frame of the answer
// and the result for the limiter. The frame is nil if the answer can no longer be sent.
func (c *call) run(ctx context.Context) (last *schema.AnswerFrame, result admission.Result) {
	body, err := c.receiveBody()
	if err != nil {
		return refusedFrame(figbank.ReasonCallerGone), admission.Abandoned
	}
	if !c.permit.Revalidate() {
		return refusedFrame(figbank.ReasonUpstreamFull), admission.Abandoned
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.receiveCredits(cancel)
	epoch := c.agent.limiter.Epoch()
	answer, err := c.callEngine(ctx, body)
	if err != nil {
		return c.fail(ctx, err)
	}
	defer answer.Body.Close()
	c.agent.noticeIncarnation(answer.Incarnation, epoch)
	if answer.Manifest != "" && answer.Manifest != c.head.GetManifest() {
		return incompleteFrame("engine answered from another version"), admission.Failed
	}
	return c.relay(ctx, answer)
}

// receiveBody reads the request body. The head frame declares its length.
func (c *call) receiveBody() ([]byte, error) {
	length := c.head.GetBodyLength()
	if length < 0 || length > maxBody {
		return nil, figbank.ProtocolError{Detail: "body length out of range"}
	}
	body := make([]byte, 0, min(length, trustedBody))
	for int64(len(body)) < length {
		frame := &schema.CallFrame{}
		if err := c.stream.Receive(frame); err != nil {
			return nil, err
		}
		if frame.GetRequestId() != c.id || int64(len(body)+len(frame.GetBody())) > length {
			return nil, figbank.ProtocolError{Detail: "frame belongs to another request or exceeds the body length"}
		}
		body = append(body, frame.GetBody()...)
	}
	return body, nil
}

// receiveCredits receives more credit from the gateway until the stream ends. It cancels the call
// when the gateway closes its side of the stream.
func (c *call) receiveCredits(cancel context.CancelFunc) {
	defer cancel()
	for {
		frame := &schema.CallFrame{}
		if err := c.stream.Receive(frame); err != nil || frame.GetRequestId() != c.id {
			return
		}
		c.credit.add(frame.GetCredit())
	}
}

// callEngine sends the call to the engine and returns when the head of the answer has arrived. The
// call's timeout does not include the rest of the answer.
func (c *call) callEngine(ctx context.Context, body []byte) (*figbank.ServiceAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	answered := make(chan struct{})
	defer close(answered)
	go c.cancelUnlessAnswered(answered, cancel)
	declared := configuration.Declaration(c.agent.holder.Current(), c.agent.service)
	answer, err := c.agent.engine.Call(ctx, &figbank.ServiceRequest{
		ID: figbank.RequestID(c.id), Method: c.head.GetMethod(), Path: string(c.head.GetPath()),
		Headers: c.head.GetHeaders(), Body: body, Repeatable: declared.GetRepeatable(),
	})
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancelOnClose{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// cancelUnlessAnswered cancels the engine call if there is no answer within the call's timeout.
func (c *call) cancelUnlessAnswered(answered <-chan struct{}, cancel context.CancelFunc) {
	timeout := time.Duration(c.head.GetTimeoutMilliseconds()) * time.Millisecond
	select {
	case <-answered:
	case <-c.agent.common.Clock.After(timeout):
		cancel()
	}
}

// fail returns the last frame and the result for the limiter if the engine did not answer the call.
func (c *call) fail(ctx context.Context, err error) (last *schema.AnswerFrame, result admission.Result) {
	var notRun figbank.NotRunError
	if errors.As(err, &notRun) {
		return refusedFrame(notRun.Reason), admission.Failed
	}
	c.agent.common.Log.Info("engine call failed", zap.String("request", c.id), figbank.ErrorField(err))
	return incompleteFrame("upstream failed before it answered"), c.resultAfterFailure(ctx)
}

// relay sends the answer to the gateway. It waits for credit before it reads the next bytes from
// the engine, so that answers to slow callers do not fill up memory.
func (c *call) relay(ctx context.Context, answer *figbank.ServiceAnswer) (last *schema.AnswerFrame, result admission.Result) {
	head := &schema.AnswerHead{Status: int32(answer.Status), Headers: answer.Headers, Manifest: c.head.GetManifest()} //nolint:gosec // an HTTP status
	if err := c.send(&schema.AnswerFrame{Frame: &schema.AnswerFrame_Head{Head: head}}); err != nil {
		return nil, admission.Abandoned
	}
	check := newAnswerCheck(answer.Headers)
	buffer := make([]byte, maxFrameBody)
	for {
		allowed, err := c.credit.await(ctx, maxFrameBody)
		if err != nil {
			return nil, admission.Abandoned
		}
		n, err := answer.Body.Read(buffer[:allowed])
		checked, failure := check.add(buffer[:n])
		if sendErr := c.sendBody(ctx, checked); sendErr != nil {
			return nil, admission.Abandoned
		}
		switch {
		case failure != nil:
			return c.cut(ctx, failure)
		case errors.Is(err, io.EOF):
			return c.end(ctx, check, answer.Status)
		case err != nil:
			return c.cut(ctx, err)
		}
	}
}

// end returns the last frame and the result of an answer whose body has ended.
func (c *call) end(ctx context.Context, check answerCheck, status int) (last *schema.AnswerFrame, result admission.Result) {
	rest, failure := check.end()
	if failure != nil {
		return c.cut(ctx, failure)
	}
	if err := c.sendBody(ctx, rest); err != nil {
		return nil, admission.Abandoned
	}
	return completeFrame(), resultForStatus(status)
}

// cut returns the last frame and the result of an answer that is not complete.
func (c *call) cut(ctx context.Context, cause error) (last *schema.AnswerFrame, result admission.Result) {
	c.agent.common.Log.Info("engine's answer was cut", zap.String("request", c.id), figbank.ErrorField(cause))
	return incompleteFrame("upstream's answer was cut"), c.resultAfterFailure(ctx)
}

// sendBody sends bytes of the answer's body, as far as there is credit. It waits for more.
func (c *call) sendBody(ctx context.Context, body []byte) error {
	for len(body) > 0 {
		allowed, err := c.credit.await(ctx, maxFrameBody)
		if err != nil {
			return err
		}
		piece := body[:min(int64(len(body)), allowed)]
		c.credit.spend(int64(len(piece)))
		if err := c.send(&schema.AnswerFrame{Frame: &schema.AnswerFrame_Body{Body: piece}}); err != nil {
			return err
		}
		body = body[len(piece):]
	}
	return nil
}

// resultAfterFailure returns the result of a call without a complete answer. If the caller is gone,
// the result is Abandoned. Otherwise the upstream has failed and may have restarted, so
// resultAfterFailure calls suspectRestart and returns Failed.
func (c *call) resultAfterFailure(ctx context.Context) admission.Result {
	if ctx.Err() != nil {
		return admission.Abandoned
	}
	c.agent.suspectRestart()
	return admission.Failed
}

// resultForStatus returns the result of a complete answer for the limiter.
func resultForStatus(status int) admission.Result {
	if status >= http.StatusInternalServerError {
		return admission.Failed
	}
	return admission.Completed
}

// completeFrame returns the last frame of a complete answer.
func completeFrame() *schema.AnswerFrame {
	end := &schema.AnswerEnd{Complete: true, Outcome: schema.Outcome_OUTCOME_RAN}
	return &schema.AnswerFrame{Frame: &schema.AnswerFrame_End{End: end}}
}

// refusedFrame returns the frame that refuses a call, which was not run.
func refusedFrame(reason figbank.Reason) *schema.AnswerFrame {
	refused := &schema.Refused{Reason: string(reason)}
	return &schema.AnswerFrame{Frame: &schema.AnswerFrame_Refused{Refused: refused}}
}

// incompleteFrame returns the last frame of a call that got no complete answer. Whether the call
// ran is unknown.
func incompleteFrame(detail string) *schema.AnswerFrame {
	end := &schema.AnswerEnd{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Detail: detail}
	return &schema.AnswerFrame{Frame: &schema.AnswerFrame_End{End: end}}
}

func (c *call) send(frame *schema.AnswerFrame) error {
	frame.RequestId = c.id
	frame.Free = int64(c.agent.limiter.Free())
	return c.stream.Send(frame)
}

// cancelOnClose cancels the HTTP request when its response body is closed, so that a
// connection with unread data is not reused.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close cancels the request and closes the body.
func (b *cancelOnClose) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}
