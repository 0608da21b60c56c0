package replica

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

const (
	// maxHedgedCommand limits the commands that are sent to several replicas at a time, in bytes. Others would
	// fill narrow links.
	maxHedgedCommand = 16 << 10
	// maxHedging is how many proposals of a client may ask several replicas at a time. Otherwise slow replicas
	// would get several times as many, and become slower.
	maxHedging = 1
	// lastAnswers is how long a race waits for attempts that end with its context.
	lastAnswers = 50 * time.Millisecond
)

type (
	// race proposes one command to several replicas. It asks one after the other, the presumed leader first,
	// and does not wait for one that is slow or gone: commands are idempotent, and a replica that does not
	// lead accepts none.
	race struct {
		client  *Client
		ctx     context.Context //nolint:containedctx // the proposal's lifetime
		command *schema.Command
		// running holds the addresses at which an attempt has not ended, asked those that were asked since
		// the last pause.
		running, asked map[figbank.Address]bool
		ended          chan attempt
		tried          attempts
		// hedging is set while this is one of the client's proposals that may ask several replicas.
		hedging bool
		// unknown is set if a replica may have accepted the command.
		unknown bool
	}

	// attempt is the end of one attempt at one replica.
	attempt struct {
		replica       Endpoint
		took          time.Duration
		answer        *schema.ProposeAnswer
		maybeAccepted bool
		err           error
	}
)

func newRace(ctx context.Context, client *Client, command *schema.Command) *race {
	return &race{
		client: client, ctx: ctx, command: command, tried: attempts{began: client.common.Clock.Now()},
		running: map[figbank.Address]bool{}, asked: map[figbank.Address]bool{}, ended: make(chan attempt),
	}
}

// run returns the command's result, or nil once the context has ended. unknown reports whether the command
// may have been accepted all the same.
func (r *race) run() (result *schema.Result, unknown bool) {
	defer r.stopHedging()
	for {
		pause := r.startNext()
		select {
		case a := <-r.ended:
			if r.note(a); a.answer.GetResult() != nil {
				return a.answer.GetResult(), false
			}
		case <-r.client.common.Clock.After(pause):
		case <-r.ctx.Done():
			return r.awaitLast(), r.unknown
		}
	}
}

// startNext starts an attempt at the next replica, if there is one to ask, and returns how long to wait for
// an answer before the next step.
func (r *race) startNext() time.Duration {
	for _, replica := range r.client.leaderFirst() {
		if r.running[replica.Address] || r.asked[replica.Address] {
			continue
		}
		if len(r.running) > 0 && !r.mayHedge() {
			return hedgeDelay
		}
		r.running[replica.Address], r.asked[replica.Address] = true, true
		go r.attempt(replica)
		return hedgeDelay
	}
	// All have been asked. Those that have answered are asked again after a pause.
	clear(r.asked)
	return retryDelay
}

// mayHedge reports whether another replica may be asked beside those that have not answered.
func (r *race) mayHedge() bool {
	if r.hedging {
		return true
	}
	if proto.Size(r.command) > maxHedgedCommand {
		return false
	}
	if r.client.hedging.Add(1) > maxHedging {
		r.client.hedging.Add(-1)
		return false
	}
	r.hedging = true
	return true
}

func (r *race) stopHedging() {
	if r.hedging {
		r.client.hedging.Add(-1)
	}
}

func (r *race) attempt(replica Endpoint) {
	clock := r.client.common.Clock
	began := clock.Now()
	answer, maybeAccepted, err := r.client.try(r.ctx, replica, r.command)
	a := attempt{replica: replica, took: clock.Now().Sub(began), answer: answer, maybeAccepted: maybeAccepted, err: err}
	select {
	case r.ended <- a:
	case <-r.ctx.Done():
		select {
		case r.ended <- a:
		case <-clock.After(lastAnswers):
		}
	}
}

func (r *race) note(a attempt) {
	delete(r.running, a.replica.Address)
	r.unknown = r.unknown || a.maybeAccepted
	r.tried.note(a.replica, a.took, a.answer, a.err)
	r.client.updateLeader(a.answer)
	if a.answer.GetResult() != nil {
		r.client.leader.Store(a.replica.ID)
	}
}

// awaitLast notes the attempts that end with the context, and returns the result of one that ended with
// success at the same moment, or nil. Of one that goes on, it is unknown whether the command was accepted.
func (r *race) awaitLast() *schema.Result {
	timeout := r.client.common.Clock.After(lastAnswers)
	for len(r.running) > 0 {
		select {
		case a := <-r.ended:
			if r.note(a); a.answer.GetResult() != nil {
				return a.answer.GetResult()
			}
		case <-timeout:
			r.unknown = true
			return nil
		}
	}
	return nil
}
