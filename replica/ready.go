package replica

import (
	"context"

	"figbank"
	"figbank/ledger"
	"figbank/raft"
	"figbank/schema"

	"go.uber.org/zap"
)

// processReady persists, sends and applies what the raft node returns, until the node has no more
// work.
func (r *Replica) processReady(ctx context.Context) error {
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			return nil
		}
		if err := r.persist(&ready); err != nil {
			return err
		}
		for _, message := range ready.Messages {
			message.Log = r.logName()
			r.deliver(ctx, message)
		}
		for _, entry := range ready.Committed {
			r.apply(entry)
		}
		if err := r.maybeSnapshot(); err != nil {
			return err
		}
	}
}

func (r *Replica) persist(ready *raft.Ready) error {
	if ready.Snapshot != nil {
		return r.installSnapshot(ready)
	}
	if err := r.log.Append(ready.HardState, ready.Entries); err != nil {
		return err
	}
	if len(ready.Entries) > 0 {
		r.node.MarkPersisted(ready.Entries[len(ready.Entries)-1].GetIndex())
	}
	return nil
}

func (r *Replica) installSnapshot(ready *raft.Ready) error {
	state, err := ledger.Restore(ready.Snapshot)
	if err != nil {
		return err
	}
	if err := r.log.Rewrite(r.node.HardState(), ready.Snapshot, ready.Entries); err != nil {
		return err
	}
	r.state = state
	r.sinceSnapshot = 0
	r.common.Log.Info("installed snapshot from leader", zap.Uint64("index", ready.Snapshot.GetIndex()))
	r.onConfiguration(state.Configuration())
	r.storeLogName()
	r.onFleet(state.Fleet())
	r.reportLeaves()
	r.reportDuties()
	return nil
}

// reportLeaves reports the leaves of upstreams that the state has stored since the last call.
func (r *Replica) reportLeaves() {
	if leaves := r.state.TakeLeaves(); len(leaves) > 0 {
		r.onLeaves(leaves)
	}
}

// reportDuties reports who holds the duties if that has changed since the last call.
func (r *Replica) reportDuties() {
	if duties, changed := r.state.TakeDuties(); changed {
		r.onDuties(duties)
	}
}

func (r *Replica) apply(entry *schema.Entry) {
	configurationBefore, fleetBefore := r.state.Configuration(), r.state.Fleet()
	result := r.state.Apply(entry)
	r.sinceSnapshot++
	if after := r.state.Configuration(); after != configurationBefore {
		r.common.Recorder.Record(&schema.Event{Part: "replica", Name: "Committed", CommitIndex: entry.GetIndex()})
		r.onConfiguration(after)
	}
	if after := r.state.Fleet(); after != fleetBefore {
		if after.GetTrafficNumber() != fleetBefore.GetTrafficNumber() {
			r.common.Log.Info("rules changed", zap.Int64("rules", after.GetTrafficNumber()), zap.Uint64("commit", entry.GetIndex()), zap.Uint64("term", entry.GetTerm()))
		}
		r.common.Recorder.Record(&schema.Event{Part: "replica", Name: "Committed", CommitIndex: entry.GetIndex()})
		r.storeLogName()
		r.onFleet(after)
	}
	r.reportLeaves()
	r.reportDuties()
	p, found := r.pending[entry.GetIndex()]
	if !found {
		return
	}
	delete(r.pending, entry.GetIndex())
	if p.term != entry.GetTerm() {
		// An entry of another term is committed at this index, so the command was lost.
		p.answer <- &schema.ProposeAnswer{NotLeader: true, Leader: string(r.node.Leader())}
		return
	}
	if mustBeKnown(p.command) {
		r.unconfirmed = append(r.unconfirmed, unconfirmedResult{index: figbank.CommitIndex(entry.GetIndex()), result: result, answer: p.answer})
		return
	}
	p.answer <- &schema.ProposeAnswer{Result: result}
}

func (r *Replica) maybeSnapshot() error {
	if r.sinceSnapshot < r.settings.SnapshotEntries {
		return nil
	}
	term, _ := r.node.TermAt(uint64(r.state.Applied()))
	snapshot, err := r.state.Snapshot(term)
	if err != nil {
		return err
	}
	snapshot.Membership = r.node.MembershipAt(snapshot.GetIndex())
	remaining := r.node.Compact(snapshot)
	r.sinceSnapshot = 0
	return r.log.Rewrite(r.node.HardState(), snapshot, remaining)
}

func (r *Replica) publishStatus() {
	r.publishDocument()
	r.members.Store(r.node.Membership())
	last := r.status.Load()
	next := &schema.ReplicaStatus{
		Role: r.node.Role().String(), Leader: string(r.node.Leader()), Term: uint64(r.node.Term()),
		Commit: uint64(r.node.CommitIndex()), Applied: uint64(r.state.Applied()),
		LeaderlessMilliseconds: r.leaderWatch.Held(r.common.Clock.Now()).Milliseconds(),
	}
	if last.GetRole() != next.GetRole() || last.GetTerm() != next.GetTerm() || last.GetLeader() != next.GetLeader() {
		r.common.Log.Info("role changed", zap.String("role", next.GetRole()), zap.Uint64("term", next.GetTerm()), zap.String("leader", next.GetLeader()),
			zap.Stringer("cause", r.node.Cause()), zap.Bool("voter", r.node.IsVoter()), zap.Uint64("commit", next.GetCommit()))
		r.common.Recorder.Record(&schema.Event{Part: "replica", Name: "Role", Detail: next.GetRole() + " in term " + r.node.Term().String()})
	}
	r.status.Store(next)
}
