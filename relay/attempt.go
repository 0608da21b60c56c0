package relay

import (
	"context"
	"time"

	"figbank"
	"figbank/routing"
	"figbank/schema"
	"figbank/transport"
)

const (
	// bodyFrameBytes is the maximum number of bytes of a request body in one frame.
	bodyFrameBytes = 64 << 10
	// creditDivisor determines when the agent gets new credit: each time 1/creditDivisor of
	// the stream window has been written to the caller.
	creditDivisor = 2
)

// attempt sends a request to one upstream and forwards the answer to the caller.
type attempt struct {
	relay     *Relay
	request   *Request
	candidate routing.Candidate
	response  ResponseWriter
	deadline  time.Time

	stream *transport.Stream
	// loadReported is set once the agent has reported its free capacity.
	loadReported bool
	// uncredited counts bytes that were written to the caller but are not yet
	// credited to the agent.
	uncredited int64
}

// run returns nil when the complete response has been written to the caller.
func (a *attempt) run(ctx context.Context) error {
	defer a.returnLoad()
	stream, err := a.relay.pool.Open(ctx, a.candidate.Address, schema.StreamKind_STREAM_KIND_CALL)
	if err != nil {
		return figbank.WrapError("relay", "Unreachable", figbank.NotRunError{Reason: figbank.ReasonUnreachable}, "cause", err)
	}
	a.stream = stream
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	if err := a.sendRequest(); err != nil {
		return err
	}
	return a.receiveAnswer()
}

// sendRequest sends the head and the body. The agent starts the request only when it has the
// whole body. Therefore a failure before the last frame proves that the request did not run.
// If sending the last frame fails, the request may have run.
func (a *attempt) sendRequest() error {
	remaining := a.deadline.Sub(a.relay.common.Clock.Now())
	head := &schema.CallHead{
		Service: string(a.request.Service), Workspace: string(a.request.Workspace),
		Method: a.request.Method, Path: []byte(a.request.Path), Headers: a.request.Headers,
		Manifest: a.candidate.Manifest, Cost: int64(a.request.Cost), BodyLength: int64(len(a.request.Body)),
		Credit: int64(a.relay.settings.StreamWindow), ConfigIndex: uint64(a.relay.holder.Index()),
		TimeoutMilliseconds: max(1, remaining.Milliseconds()),
	}
	frames := []*schema.CallFrame{{RequestId: string(a.request.ID), Frame: &schema.CallFrame_Head{Head: head}}}
	for body := a.request.Body; len(body) > 0; body = body[min(bodyFrameBytes, len(body)):] {
		piece := body[:min(bodyFrameBytes, len(body))]
		frames = append(frames, &schema.CallFrame{RequestId: string(a.request.ID), Frame: &schema.CallFrame_Body{Body: piece}})
	}
	for i, frame := range frames {
		err := a.stream.Send(frame)
		if err != nil && i < len(frames)-1 {
			return figbank.WrapError("relay", "Unreachable", figbank.NotRunError{Reason: figbank.ReasonUnreachable}, "cause", err)
		}
		if err != nil {
			return a.connectionLost(err)
		}
	}
	return nil
}

// receiveAnswer forwards the answer to the caller until its end frame. It returns
// NotRunError if the agent refuses the request.
func (a *attempt) receiveAnswer() error {
	headSeen := false
	for {
		frame := &schema.AnswerFrame{}
		if err := a.stream.Receive(frame); err != nil {
			return a.connectionLost(err)
		}
		if frame.GetRequestId() != string(a.request.ID) {
			detail := "received a frame of request " + frame.GetRequestId()
			return figbank.WrapError("relay", "CrossedAnswer", figbank.ProtocolError{Detail: detail})
		}
		a.updateLoad(frame)
		switch f := frame.GetFrame().(type) {
		case *schema.AnswerFrame_Refused:
			return figbank.NotRunError{
				Reason:     figbank.Reason(f.Refused.GetReason()),
				RetryAfter: time.Duration(f.Refused.GetRetryAfterMilliseconds()) * time.Millisecond,
			}
		case *schema.AnswerFrame_Head:
			headSeen = true
			if f.Head.GetManifest() != a.candidate.Manifest {
				return figbank.WrapError("relay", "WrongVersion", figbank.ProtocolError{Detail: "answer comes from another version"})
			}
			a.response.SetHead(f.Head)
		case *schema.AnswerFrame_Body:
			if !headSeen {
				return figbank.WrapError("relay", "Protocol", figbank.ProtocolError{Detail: "body frame arrived before the head"})
			}
			if err := a.forward(f.Body); err != nil {
				return err
			}
		case *schema.AnswerFrame_End:
			return a.finish(f.End, headSeen)
		}
	}
}

// forward writes a piece of the body to the caller. It sends credit to the agent once enough
// has been written.
func (a *attempt) forward(piece []byte) error {
	if err := a.response.Write(piece); err != nil {
		return err
	}
	a.uncredited += int64(len(piece))
	if a.uncredited < int64(a.relay.settings.StreamWindow)/creditDivisor {
		return nil
	}
	credit := &schema.CallFrame{RequestId: string(a.request.ID), Frame: &schema.CallFrame_Credit{Credit: a.uncredited}}
	a.uncredited = 0
	// The error is ignored: the response may be complete already, and the next
	// Receive notices a lost stream.
	_ = a.stream.Send(credit)
	return nil
}

func (a *attempt) finish(end *schema.AnswerEnd, headSeen bool) error {
	if end.GetComplete() && headSeen {
		return nil
	}
	if a.response.Started() {
		return figbank.IncompleteAnswerError{Detail: end.GetDetail()}
	}
	return figbank.UnknownOutcomeError{Detail: end.GetDetail()}
}

func (a *attempt) connectionLost(err error) error {
	if a.response.Started() {
		return figbank.WrapError("relay", "Cut", figbank.IncompleteAnswerError{Detail: "connection to the upstream was lost"}, "cause", err)
	}
	return figbank.WrapError("relay", "Lost", figbank.UnknownOutcomeError{Detail: "connection to the upstream was lost"}, "cause", err)
}

func (a *attempt) updateLoad(frame *schema.AnswerFrame) {
	a.loadReported = true
	a.candidate.Load.Set(figbank.Cost(frame.GetFree()), a.relay.common.Clock.Now())
}

// returnLoad releases the capacity that was reserved for the request, unless a frame
// has reported the actual free capacity. It then schedules waiting requests.
func (a *attempt) returnLoad() {
	if !a.loadReported {
		a.candidate.Load.Release(a.request.Cost)
	}
	a.relay.scheduler.schedule(a.request.Service)
}
