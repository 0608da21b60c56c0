package replica

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/raft"
	"figbank/schema"
	"figbank/transport"
	"figbank/voters"

	"go.uber.org/zap"
)

// reopenDelay is the pause between attempts to open a replica on a disk that failed.
const reopenDelay = 500 * time.Millisecond

// Supervisor keeps a replica running on a disk that may fail for some time, such as a full one.
// While the disk fails, no replica runs in this process, and the log relies on the other replicas.
// It is safe for concurrent use.
type Supervisor struct {
	common  figbank.Common
	open    func(failed func(error), afterFailure bool) (*Replica, error)
	current atomic.Pointer[Replica]
	failed  chan error
	// failedAt is when the disk failed last, in Unix nanoseconds.
	failedAt atomic.Int64
	stop     context.CancelFunc
	group    sync.WaitGroup
}

// NewSupervisor opens a replica and reopens it after each failure of the disk, until Close. The
// function open must pass failed to the replica with WithFailure. afterFailure is set if the disk
// has failed before. Calls of open are repeated every reopenDelay until one succeeds. If the first one
// finds that the disk holds what cannot be read, NewSupervisor returns the error.
func NewSupervisor(common figbank.Common, open func(failed func(error), afterFailure bool) (*Replica, error)) (*Supervisor, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Supervisor{common: common.Named("replica"), open: open, failed: make(chan error, 1), stop: stop}
	first, err := s.open(s.reportFailure, false)
	switch {
	case err == nil:
		s.current.Store(first)
	case errors.As(err, new(figbank.CorruptError)):
		stop()
		return nil, err
	default:
		s.reportFailure(err)
	}
	s.group.Go(func() { s.run(ctx) })
	return s, nil
}

// Close stops the replica.
func (s *Supervisor) Close() {
	s.stop()
	s.group.Wait()
	if r := s.current.Swap(nil); r != nil {
		r.Close()
	}
}

// ServeRaft handles a stream of messages from another replica, to its end. Messages that come while no replica
// runs are lost.
func (s *Supervisor) ServeRaft(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	for {
		message := &schema.RaftMessage{}
		if err := stream.Receive(message); err != nil {
			return
		}
		if r := s.current.Load(); r != nil {
			r.receive(ctx, message)
		}
	}
}

// ServePropose handles one command from any process.
func (s *Supervisor) ServePropose(ctx context.Context, from figbank.ProcessID, stream *transport.Stream) {
	if r := s.current.Load(); r != nil {
		r.ServePropose(ctx, from, stream)
		return
	}
	_ = stream.Send(&schema.ProposeAnswer{NotLeader: true})
}

func (s *Supervisor) reportFailure(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

func (s *Supervisor) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-s.failed:
			s.common.Log.Error("disk failed, reopening the replica", figbank.ErrorField(err))
			s.reopen(ctx)
		}
	}
}

func (s *Supervisor) reopen(ctx context.Context) {
	s.failedAt.Store(s.common.Clock.Now().UnixNano())
	if r := s.current.Swap(nil); r != nil {
		r.Close()
	}
	for tries := 1; ; tries++ {
		select {
		case <-ctx.Done():
			return
		case <-s.common.Clock.After(reopenDelay):
		}
		r, err := s.open(s.reportFailure, true)
		if err == nil {
			s.current.Store(r)
			s.common.Log.Info("replica reopened after disk failure", zap.Int("tries", tries))
			return
		}
	}
}

// Leader returns the replica that leads as far as this one knows, or "".
func (s *Supervisor) Leader() figbank.ProcessID {
	r := s.current.Load()
	if r == nil {
		return ""
	}
	return figbank.ProcessID(r.Status().GetLeader())
}

// Document returns the newest traffic document that this replica has applied. Its number is 0 if there is
// none.
func (s *Supervisor) Document() Document {
	r := s.current.Load()
	if r == nil {
		return Document{}
	}
	return r.Document()
}

// IsLeader reports whether this replica leads the log.
func (s *Supervisor) IsLeader() bool {
	r := s.current.Load()
	return r != nil && r.Status().GetRole() == raft.Leader.String()
}

// Position returns what this replica knows of the log. While no replica runs, that is for how long.
func (s *Supervisor) Position() *schema.LogPosition {
	r := s.current.Load()
	if r == nil {
		return &schema.LogPosition{LeaderlessMilliseconds: s.common.Clock.Now().Sub(time.Unix(0, s.failedAt.Load())).Milliseconds()}
	}
	status := r.Status()
	return &schema.LogPosition{
		Commit: status.GetCommit(), Term: status.GetTerm(), Leader: status.GetLeader(),
		LeaderlessMilliseconds: status.GetLeaderlessMilliseconds(),
	}
}

// TakeDelays returns the longest delays of the replica since the last call.
func (s *Supervisor) TakeDelays() Delays {
	r := s.current.Load()
	if r == nil {
		return Delays{}
	}
	return r.TakeDelays()
}

// NeedsSuccessor reports whether this replica is a voter and another of the given replicas could
// replace it. A replica that already votes or is about to leave could not.
func (s *Supervisor) NeedsSuccessor(replicas []voters.Replica) bool {
	r := s.current.Load()
	if r == nil {
		return false
	}
	members := r.members.Load()
	isVoter := func(id figbank.ProcessID) bool {
		return slices.ContainsFunc(members.GetVoters(), func(v *schema.Voter) bool { return v.GetId() == string(id) })
	}
	spare := slices.ContainsFunc(replicas, func(k voters.Replica) bool { return !k.LastKnown && !k.Leaving && !isVoter(k.ID) })
	return spare && isVoter(r.common.Process)
}
