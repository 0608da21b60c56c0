package feed

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"figbank"
	"figbank/changelog"
	"figbank/registry"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// keepAliveInterval is the longest pause between messages, in both directions.
	keepAliveInterval = 500 * time.Millisecond
	// minUpdateInterval is the shortest time between two updates. Changes that come
	// close together are sent in one update.
	minUpdateInterval = 20 * time.Millisecond
	// aheadTime is how long a subscriber may have a newer fleet state than the process that feeds it before that counts as lost from
	// the log. Usually it is the time that one of two updates takes longer.
	aheadTime = time.Second
)

// subscription tracks what has been sent to one subscriber.
type subscription struct {
	view   *View
	stream *transport.Stream
	member *schema.Member
	cursor registry.Cursor
	// aheadSince is since when the subscriber has had a newer fleet state than this process, zero if it has not.
	// ahead is set once that has lasted for aheadTime.
	aheadSince  time.Time
	ahead       bool
	commitIndex uint64
	// told is the index of the fleet state that the subscriber last told to have.
	told atomic.Uint64
	// near is set unless the subscriber is in another region, crossing decides when it is not.
	near     bool
	crossing crossing
	// sentMembers is the revision of the members that has been sent. sentAny is set once the
	// first update has been built.
	sentMembers changelog.Revision
	sentAny     bool
	sentAt      time.Time
	// positionAt is when the position in the log was sent last.
	positionAt time.Time
}

// Serve feeds one subscriber until its stream ends or the subscriber has sent nothing
// for silenceTimeout.
func (v *View) Serve(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer stream.CloseWhenDone(ctx)()
	received := make(chan struct{}, 1)
	go watchSilence(ctx, func() { end(silenceError{}) }, v.common.Clock, received, silenceTimeout)
	opening := admit(stream)
	if opening.GetMember().GetId() == "" {
		return
	}
	if v.isForeign(opening.GetLog()) {
		v.common.Log.Warn("refused a subscriber of another log", zap.String("subscriber", opening.GetMember().GetId()), zap.String("its", opening.GetLog()))
		return
	}
	signal(received)
	s := &subscription{view: v, stream: stream, member: opening.GetMember(), commitIndex: opening.GetCommitIndex(), near: v.isNear(opening.GetMember())}
	v.mergeEngine(opening.GetEngine())
	v.addSubscriber(s.member, stream)
	v.work.joins.Add(1)
	v.common.Log.Info("subscriber connected", zap.String("subscriber", s.member.GetId()))
	defer func() {
		v.removeSubscriber(figbank.ProcessID(s.member.GetId()), stream)
		v.work.leaves.Add(1)
		v.common.Log.Info("subscriber disconnected", zap.String("subscriber", s.member.GetId()), causeField(context.Cause(ctx)))
	}()
	go func() { end(s.receiveRefreshes(received)) }()
	if err := s.sendUpdates(ctx); err != nil {
		end(err)
	}
}

// causeField tells in a log line why a feed ended.
func causeField(cause error) zap.Field {
	if cause == nil {
		return zap.Skip()
	}
	return zap.String("cause", cause.Error())
}

// admit answers a subscriber's opening message with an empty update, and returns the message with
// which the subscriber goes on, or nil. A replica that was frozen or starved finds the connections of
// many subscribers that have long given up. It must not work for them: each costs it a whole
// copy of the state, and tells all other replicas of a subscriber that came and went.
func admit(stream *transport.Stream) *schema.Subscribe {
	opening, confirmation := &schema.Subscribe{}, &schema.Subscribe{}
	if err := stream.Receive(opening); err != nil || opening.GetMember().GetId() == "" {
		return nil
	}
	if err := stream.Send(&schema.FeedUpdate{}); err != nil {
		return nil
	}
	if err := stream.Receive(confirmation); err != nil || confirmation.GetMember().GetId() != opening.GetMember().GetId() {
		return nil
	}
	return confirmation
}

// receiveRefreshes handles the subscriber's messages until the stream ends, and returns why it did.
func (s *subscription) receiveRefreshes(received chan<- struct{}) error {
	for {
		refresh := &schema.Subscribe{}
		if err := s.stream.Receive(refresh); err != nil {
			return err
		}
		s.view.mergeEngine(refresh.GetEngine())
		s.view.updateSubscriber(refresh.GetMember())
		s.told.Store(refresh.GetCommitIndex())
		signal(received)
	}
}

// sendUpdates sends changes as they happen, and an update at least once every
// keepAliveInterval. It returns nil if ctx has ended, and otherwise why nothing can be sent any more.
func (s *subscription) sendUpdates(ctx context.Context) error {
	clock := s.view.common.Clock
	for {
		changed := s.view.nextChange(s.member.GetRole())
		if err := s.send(); err != nil {
			return err
		}
		pause := s.sentAt.Add(keepAliveInterval).Sub(clock.Now())
		if fleet, wait := s.newerFleet(clock.Now()); fleet != nil {
			pause = min(pause, wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(minUpdateInterval):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-clock.After(pause):
		}
	}
}

// send sends what has changed. It skips an empty update if the last one was sent
// less than keepAliveInterval ago.
func (s *subscription) send() error {
	began := s.view.common.Clock.Now()
	update := s.nextUpdate()
	empty := proto.Size(update) == 0
	now := s.view.common.Clock.Now()
	s.view.work.countUpdate(now.Sub(began), empty)
	if !s.sentAt.IsZero() && now.Sub(s.sentAt) < keepAliveInterval && empty {
		return nil
	}
	s.sentAt = now
	if update.GetFleet() != nil || now.Sub(s.positionAt) >= keepAliveInterval {
		update.Position, update.Log = s.view.logPosition(), s.view.Fleet().GetLog()
		s.positionAt = now
	}
	err := s.stream.Send(update)
	if errors.As(err, new(figbank.EncodingError)) {
		s.view.common.Log.Error("update cannot be encoded, leaving records out", zap.String("subscriber", s.member.GetId()), figbank.ErrorField(err))
		return s.stream.Send(encodable(update))
	}
	return err
}

// encodable returns an update without the records that cannot be encoded. One of those must not keep all others
// from the subscriber.
func encodable(update *schema.FeedUpdate) *schema.FeedUpdate {
	rest := proto.CloneOf(update)
	rest.Instances = slices.DeleteFunc(rest.Instances, isUnencodable)
	rest.Engines = slices.DeleteFunc(rest.Engines, isUnencodable)
	rest.Members = slices.DeleteFunc(rest.Members, isUnencodable)
	return rest
}

func isUnencodable[M proto.Message](record M) bool {
	_, err := proto.Marshal(record)
	return err != nil
}

// newerFleet returns the fleet state that the subscriber lacks, or nil, and how long to wait before it is sent.
func (s *subscription) newerFleet(now time.Time) (*schema.Fleet, time.Duration) {
	known := max(s.commitIndex, s.told.Load())
	fleet := s.view.fleet.NewerThan(known)
	if fleet == nil || s.near {
		return fleet, 0
	}
	return fleet, s.crossing.wait(now, fleet.GetCommitIndex(), known)
}

// becameAhead reports whether the subscriber has been ahead of this process for aheadTime, and was not told so before. Its rules may name
// services that this process holds back, for which it may be the only one that hears the upstreams.
func (s *subscription) becameAhead() bool {
	now, before := s.view.common.Clock.Now(), s.ahead
	switch {
	case s.told.Load() <= s.view.fleet.Current().GetCommitIndex():
		s.aheadSince, s.ahead = time.Time{}, false
	case s.aheadSince.IsZero():
		s.aheadSince = now
	default:
		s.ahead = now.Sub(s.aheadSince) >= aheadTime
	}
	return s.ahead && !before
}

// nextUpdate collects what the subscriber has not been sent yet.
func (s *subscription) nextUpdate() *schema.FeedUpdate {
	update := &schema.FeedUpdate{}
	if fleet, wait := s.newerFleet(s.view.common.Clock.Now()); fleet != nil && wait <= 0 {
		update.Fleet = fleet
		s.commitIndex = fleet.GetCommitIndex()
	}
	role := s.member.GetRole()
	v := s.view
	// A subscriber that is told of rules has to know the upstreams of the services that they name.
	v.followServices()
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.becameAhead() {
		s.cursor = 0
	}
	changes := v.registry.Since(s.cursor, s.ahead || role == schema.MemberRole_MEMBER_ROLE_REPLICA)
	s.cursor = v.registry.Revision()
	update.Instances = changes.Instances
	update.Engines = changes.Engines
	needed := v.members.membersFor(role)
	needed.fill(update, s.sentMembers, !s.sentAny)
	s.sentMembers, s.sentAny = needed.revision, true
	return update
}
