package feed

import (
	"context"
	"time"

	"figbank"
	"figbank/registry"
	"figbank/schema"
	"figbank/transport"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	// keepAlive is how often a quiet feed speaks in both directions.
	keepAlive = 500 * time.Millisecond
	// silence is how long a feed may say nothing before it counts as lost.
	silence = 1800 * time.Millisecond
	// spacing is the least time between two updates, so that what changes together
	// is told together.
	spacing = 20 * time.Millisecond
)

// subscription is what one subscriber has been told.
type subscription struct {
	view   *View
	stream *transport.Stream
	member *schema.Member
	cursor registry.Cursor
	index  uint64
	// told are the members that the subscriber knows of, as of a version of the roster.
	told    map[string]*schema.Member
	version uint64
	sentAt  time.Time
}

// Serve feeds one subscriber until it is lost.
func (v *View) Serve(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	opening := &schema.Subscribe{}
	if err := stream.Receive(opening); err != nil || opening.GetMember().GetId() == "" {
		return
	}
	s := &subscription{view: v, stream: stream, member: opening.GetMember(), index: opening.GetCommitIndex()}
	v.hearEngine(opening.GetEngine())
	v.join(s.member, stream)
	v.common.Log.Info("subscriber joined", zap.String("subscriber", s.member.GetId()))
	defer func() {
		v.part(figbank.ProcessID(s.member.GetId()), stream)
		v.common.Log.Info("subscriber lost", zap.String("subscriber", s.member.GetId()))
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.CloseWhenDone(ctx)()
	heard := make(chan struct{}, 1)
	go s.listen(cancel, heard)
	go watchSilence(ctx, cancel, v.common.Clock, heard)
	s.feed(ctx)
}

// listen takes the subscriber's refreshes until the stream ends.
func (s *subscription) listen(cancel context.CancelFunc, heard chan<- struct{}) {
	defer cancel()
	for {
		refresh := &schema.Subscribe{}
		if err := s.stream.Receive(refresh); err != nil {
			return
		}
		s.view.hearEngine(refresh.GetEngine())
		s.view.renew(refresh.GetMember())
		signal(heard)
	}
}

// feed sends what has changed, and something at least every keepAlive.
func (s *subscription) feed(ctx context.Context) {
	clock := s.view.common.Clock
	for {
		changed := s.view.change(s.member.GetRole())
		if err := s.send(); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-clock.After(spacing):
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-clock.After(s.sentAt.Add(keepAlive).Sub(clock.Now())):
		}
	}
}

// send tells what has changed; nothing is said only shortly after something was.
func (s *subscription) send() error {
	update := s.next()
	now := s.view.common.Clock.Now()
	if !s.sentAt.IsZero() && now.Sub(s.sentAt) < keepAlive && proto.Size(update) == 0 {
		return nil
	}
	s.sentAt = now
	return s.stream.Send(update)
}

// next collects what the subscriber has not been told.
func (s *subscription) next() *schema.FeedUpdate {
	update := &schema.FeedUpdate{}
	if fleet := s.view.fleet.NewerThan(s.index); fleet != nil {
		update.Fleet = fleet
		s.index = fleet.GetCommitIndex()
	}
	role := s.member.GetRole()
	v := s.view
	v.mu.Lock()
	defer v.mu.Unlock()
	changes := v.registry.Since(s.cursor, role == schema.MemberRole_MEMBER_ROLE_REPLICA)
	s.cursor = v.registry.Revision()
	update.Instances = changes.Instances
	update.Engines = changes.Engines
	if version := v.roster.version(role); s.told == nil || s.version != version {
		needed := v.roster.forSubscriber(role)
		update.AllMembers = s.told == nil
		difference(update, s.told, needed)
		s.told, s.version = needed, version
	}
	return update
}

// watchSilence cancels when nothing has been heard for too long.
func watchSilence(ctx context.Context, cancel context.CancelFunc, clock figbank.Clock, heard <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard:
		case <-clock.After(silence):
			cancel()
			return
		}
	}
}

func signal(heard chan<- struct{}) {
	select {
	case heard <- struct{}{}:
	default:
	}
}
