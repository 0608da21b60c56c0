package feed

import (
	"context"
	"math"
	"math/bits"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
)

const (
	// reconnectDelay is the pause after the first failed attempt to be fed by a replica. It doubles
	// with each further failure, up to maxReconnectDelay.
	reconnectDelay    = 200 * time.Millisecond
	maxReconnectDelay = 1600 * time.Millisecond
	// connectPatience is how long a process that no replica feeds waits for the first update of a
	// new feed before it asks another replica too. It doubles with each one that it asks.
	connectPatience = time.Second
)

// runningFeed is the feed from one replica. It goes on over many connections. The subscriber's
// lock guards state.
type runningFeed struct {
	address figbank.Address
	ctx     context.Context //nolint:containedctx // the feed's lifetime
	cancel  context.CancelFunc
	state   feedState
}

// runFeed keeps the feed from one replica open until it is stopped.
func (s *Subscriber) runFeed(f *runningFeed) {
	go s.limitOpening(f)
	spread := float64(rendezvousHash(figbank.ProcessID(s.self.Load().GetId()), f.address)) / math.MaxUint64
	failures := 0
	for f.ctx.Err() == nil {
		failures++
		delivered, err := s.runFeedOnce(f)
		if delivered {
			failures = 1
		} else {
			s.logFailure(f, failures, err)
		}
		s.setFailing(f)
		select {
		case <-f.ctx.Done():
		case <-s.common.Clock.After(reconnectPause(failures, spread)):
		}
	}
}

// logFailure logs a failed attempt to be fed by a replica: the first ones, and ever fewer of those that follow.
func (s *Subscriber) logFailure(f *runningFeed, failures int, err error) {
	if f.ctx.Err() != nil || bits.OnesCount(uint(failures)) != 1 {
		return
	}
	s.mu.Lock()
	connected := s.connectedFeeds()
	s.mu.Unlock()
	s.common.Log.Warn("replica does not feed this process", zap.String("replica", string(f.address)), zap.Int("attempts", failures),
		zap.Int("otherFeeds", connected), causeField(err))
}

// reconnectPause returns the pause after a number of failed attempts in a row. spread, from 0 to 1,
// differs between processes, so that those that lost the same replica do not all return at once.
func reconnectPause(failures int, spread float64) time.Duration {
	pause := reconnectDelay
	for range failures - 1 {
		pause = min(2*pause, maxReconnectDelay)
	}
	return time.Duration((0.75 + spread/2) * float64(pause))
}

// limitOpening counts a feed as failing if it does not deliver in time, so that another replica is
// asked.
func (s *Subscriber) limitOpening(f *runningFeed) {
	began := s.common.Clock.Now()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-s.common.Clock.After(connectPatience):
		}
		s.mu.Lock()
		now := s.common.Clock.Now()
		opening := f.state == feedOpening
		late := opening && openedLate(openingFeed{
			waited: now.Sub(began), sinceAsked: now.Sub(s.askedAt), asked: s.asked, connected: s.connectedFeeds(),
		})
		if late {
			s.asked, s.askedAt = s.asked+1, now
		}
		s.mu.Unlock()
		if late {
			s.setFailing(f)
		}
		if late || !opening {
			return
		}
	}
}

// setFailing records that a feed is not connected, and chooses another replica in its place.
func (s *Subscriber) setFailing(f *runningFeed) {
	s.mu.Lock()
	known := f.state == feedFailing || f.ctx.Err() != nil
	f.state = feedFailing
	s.mu.Unlock()
	if !known {
		s.update()
	}
}

// runFeedOnce receives updates from a replica over one connection, until that ends. It reports
// whether there were any, and why it ended.
func (s *Subscriber) runFeedOnce(f *runningFeed) (delivered bool, err error) {
	ctx, end := context.WithCancelCause(f.ctx)
	defer end(nil)
	openCtx, cancelOpen := context.WithTimeout(ctx, silenceTimeout)
	stream, err := s.pool.Open(openCtx, f.address, schema.StreamKind_STREAM_KIND_FEED)
	cancelOpen()
	if err != nil {
		return false, err
	}
	defer stream.Close()
	defer stream.CloseWhenDone(ctx)()
	received := make(chan struct{}, 1)
	go watchSilence(ctx, func() { s.dropSession(end, f.address) }, s.common.Clock, received, openTimeout)
	if err := stream.Send(s.newRefresh()); err != nil {
		return false, err
	}
	admitted := false
	for {
		update := &schema.FeedUpdate{}
		if err := stream.Receive(update); err != nil {
			end(err)
			break
		}
		if s.view.isForeign(update.GetLog()) {
			s.common.Log.Warn("left a replica of another log", zap.String("replica", string(f.address)), zap.String("its", update.GetLog()))
			break
		}
		if !admitted {
			// The replica goes on once it hears that this process still waits for it.
			admitted = true
			go func() { end(s.refresh(ctx, stream)) }()
		}
		if !delivered && !update.GetAllMembers() {
			continue
		}
		if !s.markConnected(f) {
			break
		}
		delivered = true
		signal(received)
		s.view.apply(f.address, update)
		s.lags.note(f.address, update.GetPosition(), s.view.Fleet().GetCommitIndex())
	}
	s.lags.forget(f.address)
	if delivered {
		s.disconnected(f, context.Cause(ctx))
	}
	return delivered, context.Cause(ctx)
}

// dropSession closes the session of a feed that receives nothing any more. The session's TCP
// connection may be dead without an error. Other streams of the session fail too. The log has a session
// of its own.
func (s *Subscriber) dropSession(end context.CancelCauseFunc, address figbank.Address) {
	s.common.Log.Warn("feed timed out", zap.String("replica", string(address)))
	s.pool.Drop(address, schema.StreamKind_STREAM_KIND_FEED)
	end(silenceError{})
}

// refresh sends the state of this process and its engine to a replica every keepAliveInterval, and
// at once after a change. These messages keep the subscription alive. It returns why nothing can be sent any more.
func (s *Subscriber) refresh(ctx context.Context, stream *transport.Stream) error {
	for {
		s.mu.Lock()
		refreshNow := s.refreshNow
		s.mu.Unlock()
		if err := stream.Send(s.newRefresh()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-refreshNow:
		case <-s.common.Clock.After(keepAliveInterval):
		}
	}
}

// newRefresh describes this process and what it knows.
func (s *Subscriber) newRefresh() *schema.Subscribe {
	fleet := s.view.Fleet()
	return &schema.Subscribe{Member: s.self.Load(), CommitIndex: fleet.GetCommitIndex(), Engine: s.engine.Load(), Log: fleet.GetLog()}
}

// markConnected records that a feed has received an update. It returns false and records nothing if
// the feed was stopped, since a newer feed from the same replica may already run.
func (s *Subscriber) markConnected(f *runningFeed) bool {
	s.mu.Lock()
	if f.ctx.Err() != nil {
		s.mu.Unlock()
		return false
	}
	before := f.state
	f.state = feedConnected
	s.asked = 0
	s.mu.Unlock()
	if before != feedConnected {
		s.common.Log.Info("replica connected", zap.String("replica", string(f.address)))
		s.update()
	}
	return true
}

// disconnected handles the end of a connection that has delivered updates. A process that is not a
// replica gets the same members from every replica. While such a process is connected to another
// replica, it removes the list of members from the disconnected one.
func (s *Subscriber) disconnected(f *runningFeed, cause error) {
	if f.ctx.Err() != nil {
		s.common.Log.Info("feed closed", zap.String("replica", string(f.address)))
	} else {
		s.common.Log.Warn("replica disconnected", zap.String("replica", string(f.address)), causeField(cause))
	}
	s.mu.Lock()
	f.state = feedFailing
	newer := s.running[f.address]
	replaced := newer != nil && newer != f && newer.state == feedConnected
	others := s.connectedFeeds() > 0
	s.mu.Unlock()
	if replaced {
		return
	}
	s.view.disconnect(f.address, others && s.self.Load().GetRole() != schema.MemberRole_MEMBER_ROLE_REPLICA)
	s.update()
}
