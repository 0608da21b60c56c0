package replica

import (
	"time"

	"figbank"
	"figbank/schema"
)

type (
	// Document is the compressed source text of traffic rules, with their number.
	Document struct {
		Number int64
		Packed []byte
	}

	// pendingRead is a read that this replica has begun as the leader. It is answered once the round is
	// confirmed and index is applied.
	pendingRead struct {
		read   *schema.ReadTraffic
		term   figbank.Term
		index  figbank.CommitIndex
		round  uint64
		answer chan *schema.ProposeAnswer
	}
)

// Document returns the newest traffic document that this replica has applied. A newer one may be in force.
// Its number is 0 if there is none.
func (r *Replica) Document() Document {
	return *r.document.Load()
}

func (r *Replica) publishDocument() {
	number := r.state.Fleet().GetTrafficNumber()
	if last := r.document.Load(); last == nil || last.Number != number {
		r.document.Store(&Document{Number: number, Packed: r.state.Document()})
	}
}

// beginRead begins a read of the state. Reads cost no entry in the log, so they work while disks are slow or
// full.
func (r *Replica) beginRead(now time.Time, read *schema.ReadTraffic, answer chan *schema.ProposeAnswer) {
	index, round, err := r.node.ReadIndex(now)
	if err != nil {
		answer <- &schema.ProposeAnswer{NotLeader: true, Leader: string(r.node.Leader())}
		return
	}
	r.reads = append(r.reads, pendingRead{read: read, term: r.node.Term(), index: index, round: round, answer: answer})
}

// answerReads answers the reads that are confirmed, and those that this replica can no longer confirm.
func (r *Replica) answerReads() {
	waiting := r.reads[:0]
	for _, p := range r.reads {
		switch {
		case r.node.Term() != p.term || r.node.Leader() != r.common.Process:
			p.answer <- &schema.ProposeAnswer{NotLeader: true, Leader: string(r.node.Leader())}
		case r.node.ReadConfirmed(p.round) && r.state.Applied() >= p.index:
			p.answer <- &schema.ProposeAnswer{Result: r.state.ReadTraffic(p.read)}
		default:
			waiting = append(waiting, p)
		}
	}
	clear(r.reads[len(waiting):])
	r.reads = waiting
}
