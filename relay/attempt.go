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
	// bodyPiece is how much of a request body one frame carries.
	bodyPiece = 64 << 10
	// creditShare of the window is written to the caller before more is asked for.
	creditShare = 2
)

// attemptAt is one try of a request at one upstream.
type attemptAt struct {
	relay     *Relay
	request   *Request
	candidate routing.Candidate
	reply     Reply
	deadline  time.Time

	stream *transport.Stream
	// told is set once the agent has said how much capacity is free.
	told bool
	// owed are bytes passed on to the caller and not yet credited to the agent.
	owed int64
}

// run returns nil when the whole answer has gone into the reply.
func (a *attemptAt) run(ctx context.Context) error {
	defer a.settleLoad()
	stream, err := a.relay.pool.Open(ctx, a.candidate.Address, schema.StreamKind_STREAM_KIND_CALL)
	if err != nil {
		return figbank.Fail("relay", "Unreachable", figbank.NotRunError{Reason: figbank.ReasonUnreachable}, "cause", err)
	}
	a.stream = stream
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	if err := a.sendRequest(); err != nil {
		return err
	}
	return a.receiveAnswer()
}

// sendRequest sends head and body. The agent runs nothing before it has the
// whole body, so only a failure of the last frame leaves the outcome open.
func (a *attemptAt) sendRequest() error {
	remaining := a.deadline.Sub(a.relay.common.Clock.Now())
	head := &schema.CallHead{
		Service: string(a.request.Service), Workspace: string(a.request.Workspace),
		Method: a.request.Method, Path: a.request.Path, Headers: a.request.Headers,
		Manifest: a.candidate.Manifest, Cost: int64(a.request.Cost), BodyLength: int64(len(a.request.Body)),
		Credit: int64(a.relay.settings.StreamWindow), ConfigIndex: uint64(a.relay.holder.Index()),
		TimeoutMilliseconds: max(1, remaining.Milliseconds()),
	}
	frames := []*schema.CallFrame{{RequestId: string(a.request.ID), Frame: &schema.CallFrame_Head{Head: head}}}
	for body := a.request.Body; len(body) > 0; body = body[min(bodyPiece, len(body)):] {
		piece := body[:min(bodyPiece, len(body))]
		frames = append(frames, &schema.CallFrame{RequestId: string(a.request.ID), Frame: &schema.CallFrame_Body{Body: piece}})
	}
	for i, frame := range frames {
		err := a.stream.Send(frame)
		if err != nil && i < len(frames)-1 {
			return figbank.Fail("relay", "Unreachable", figbank.NotRunError{Reason: figbank.ReasonUnreachable}, "cause", err)
		}
		if err != nil {
			return a.lost(err)
		}
	}
	return nil
}

func (a *attemptAt) receiveAnswer() error {
	headSeen := false
	for {
		frame := &schema.AnswerFrame{}
		if err := a.stream.Receive(frame); err != nil {
			return a.lost(err)
		}
		if frame.GetRequestId() != string(a.request.ID) {
			detail := "frame of request " + frame.GetRequestId()
			return figbank.Fail("relay", "CrossedAnswer", figbank.ProtocolError{Detail: detail})
		}
		a.hearLoad(frame)
		switch f := frame.GetFrame().(type) {
		case *schema.AnswerFrame_Refused:
			return figbank.NotRunError{
				Reason:     figbank.Reason(f.Refused.GetReason()),
				RetryAfter: time.Duration(f.Refused.GetRetryAfterMilliseconds()) * time.Millisecond,
			}
		case *schema.AnswerFrame_Head:
			headSeen = true
			if f.Head.GetManifest() != a.candidate.Manifest {
				return figbank.Fail("relay", "WrongVersion", figbank.ProtocolError{Detail: "answer from another version"})
			}
			a.reply.SetHead(f.Head)
		case *schema.AnswerFrame_Body:
			if !headSeen {
				return figbank.Fail("relay", "Protocol", figbank.ProtocolError{Detail: "body before head"})
			}
			if err := a.passOn(f.Body); err != nil {
				return err
			}
		case *schema.AnswerFrame_End:
			return a.finish(f.End, headSeen)
		}
	}
}

// passOn writes to the caller and then lets the agent send more.
func (a *attemptAt) passOn(piece []byte) error {
	if err := a.reply.Write(piece); err != nil {
		return err
	}
	a.owed += int64(len(piece))
	if a.owed < int64(a.relay.settings.StreamWindow)/creditShare {
		return nil
	}
	credit := &schema.CallFrame{RequestId: string(a.request.ID), Frame: &schema.CallFrame_Credit{Credit: a.owed}}
	a.owed = 0
	// The answer may be complete already; a lost stream shows when receiving.
	_ = a.stream.Send(credit)
	return nil
}

func (a *attemptAt) finish(end *schema.AnswerEnd, headSeen bool) error {
	if end.GetComplete() && headSeen {
		return nil
	}
	if a.reply.Started() {
		return figbank.CutAnswerError{Detail: end.GetDetail()}
	}
	return figbank.UnknownOutcomeError{Detail: end.GetDetail()}
}

func (a *attemptAt) lost(err error) error {
	if a.reply.Started() {
		return figbank.Fail("relay", "Cut", figbank.CutAnswerError{Detail: "connection to the upstream was lost"}, "cause", err)
	}
	return figbank.Fail("relay", "Lost", figbank.UnknownOutcomeError{Detail: "connection to the upstream was lost"}, "cause", err)
}

func (a *attemptAt) hearLoad(frame *schema.AnswerFrame) {
	a.told = true
	a.candidate.Load.Set(figbank.Cost(frame.GetFree()), a.relay.common.Clock.Now())
}

// settleLoad gives back the capacity that was taken when no frame told better,
// and lets those that wait look again.
func (a *attemptAt) settleLoad() {
	if !a.told {
		a.candidate.Load.Return(a.request.Cost)
	}
	a.relay.waiting.wake(a.request.Service)
}
