package replica

import (
	"context"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// ServeRaft handles a stream of messages from another replica.
func (r *Replica) ServeRaft(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	for {
		message := &schema.RaftMessage{}
		if err := stream.Receive(message); err != nil {
			return
		}
		if !r.receive(ctx, message) {
			return
		}
	}
}

// receive queues a message from another replica. It reports whether this replica still runs.
func (r *Replica) receive(ctx context.Context, message *schema.RaftMessage) bool {
	select {
	case r.inbox <- input{message: message}:
		return true
	case <-ctx.Done():
	case <-r.stopped:
	}
	return false
}

// ServePropose handles one command from any process.
func (r *Replica) ServePropose(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	command := &schema.Command{}
	if err := stream.Receive(command); err != nil {
		return
	}
	_ = stream.Send(r.propose(ctx, command))
}

func (r *Replica) propose(ctx context.Context, command *schema.Command) *schema.ProposeAnswer {
	p := proposal{command: command, answer: make(chan *schema.ProposeAnswer, 1)}
	select {
	case r.inbox <- input{proposal: p}:
	case <-ctx.Done():
		return &schema.ProposeAnswer{NotLeader: true}
	case <-r.stopped:
		return &schema.ProposeAnswer{NotLeader: true}
	}
	select {
	case answer := <-p.answer:
		return answer
	case <-ctx.Done():
	case <-r.stopped:
	}
	return &schema.ProposeAnswer{Unknown: true}
}
