package replica

import (
	"context"
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

// reopenDelay is between tries to use a disk that failed.
const reopenDelay = 500 * time.Millisecond

// Supervisor keeps a replica running on a disk that may fail for a while, for
// instance because it is full. While the disk is of no use there is no replica;
// the others go on. It is safe for concurrent use.
type Supervisor struct {
	common  figbank.Common
	open    func(failed func(error), again bool) (*Replica, error)
	current atomic.Pointer[Replica]
	failed  chan error
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// NewSupervisor opens a replica and keeps it open until Close. Open is called
// with again set after a failure of the disk.
func NewSupervisor(common figbank.Common, open func(failed func(error), again bool) (*Replica, error)) (*Supervisor, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Supervisor{common: common.For("replica"), open: open, failed: make(chan error, 1), stop: stop}
	first, err := s.open(s.fail, false)
	if err != nil {
		stop()
		return nil, err
	}
	s.current.Store(first)
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

// ServeRaft handles a stream of messages from another replica.
func (s *Supervisor) ServeRaft(ctx context.Context, from figbank.ProcessID, stream *transport.Stream) {
	if r := s.current.Load(); r != nil {
		r.ServeRaft(ctx, from, stream)
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

func (s *Supervisor) fail(err error) {
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
			s.common.Log.Error("disk failed, the replica waits for it", figbank.ErrorField(err))
			s.reopen(ctx)
		}
	}
}

func (s *Supervisor) reopen(ctx context.Context) {
	if r := s.current.Swap(nil); r != nil {
		r.Close()
	}
	for tries := 1; ; tries++ {
		select {
		case <-ctx.Done():
			return
		case <-s.common.Clock.After(reopenDelay):
		}
		r, err := s.open(s.fail, true)
		if err == nil {
			s.current.Store(r)
			s.common.Log.Info("disk works again", zap.Int("tries", tries))
			return
		}
	}
}

// Leads tells whether this replica leads the log.
func (s *Supervisor) Leads() bool {
	r := s.current.Load()
	return r != nil && r.Status().GetRole() == raft.Leader.String()
}

// NeedsSuccessor tells whether this replica votes while one of the known
// replicas, which does not, could take its place.
func (s *Supervisor) NeedsSuccessor(known []voters.Replica) bool {
	r := s.current.Load()
	if r == nil {
		return false
	}
	members := r.members.Load()
	votes := func(id figbank.ProcessID) bool {
		return slices.ContainsFunc(members.GetVoters(), func(v *schema.Voter) bool { return v.GetId() == string(id) })
	}
	spare := slices.ContainsFunc(known, func(k voters.Replica) bool { return !k.Leaving && !votes(k.ID) })
	return spare && votes(r.common.Process)
}
