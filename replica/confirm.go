package replica

import (
	"figbank"
	"figbank/raft"
	"figbank/schema"
)

// unconfirmedResult is the result of a command whose answer waits.
type unconfirmedResult struct {
	index  figbank.CommitIndex
	result *schema.Result
	answer chan *schema.ProposeAnswer
}

// mustBeKnown reports whether a command is answered only once a majority of the voters knows that it is committed.
// That is so for what gateways must go by soon after the answer: they learn of it from any replica that knows it.
// Others are looked up in the log itself.
func mustBeKnown(command *schema.Command) bool {
	switch command.GetAction().(type) {
	case *schema.Command_PublishTraffic, *schema.Command_Evacuate, *schema.Command_NameVersion, *schema.Command_Leave:
		return true
	}
	return false
}

// answerConfirmed answers the commands of which a majority of the voters knows that they are committed. A replica
// that does not lead any more cannot tell: the proposers repeat those commands at the next leader.
func (r *Replica) answerConfirmed() {
	leads, known := r.node.Role() == raft.Leader, r.node.KnownCommit()
	waiting := r.unconfirmed[:0]
	for _, u := range r.unconfirmed {
		switch {
		case !leads:
			u.answer <- &schema.ProposeAnswer{Unknown: true, Leader: string(r.node.Leader())}
		case u.index <= known:
			u.answer <- &schema.ProposeAnswer{Result: u.result}
		default:
			waiting = append(waiting, u)
		}
	}
	clear(r.unconfirmed[len(waiting):])
	r.unconfirmed = waiting
}
