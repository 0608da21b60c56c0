package exchange

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"google.golang.org/protobuf/proto"
)

// listener is one agent's stream of announcements.
type listener struct {
	exchange *Exchange
	stream   *transport.Stream
	reports  chan *schema.AnnounceReport
	// told is what the agent is known to have.
	toldIndex uint64
	toldPeers *schema.PeerList
}

// ServeAnnounce hears one agent, and tells it of configurations and peers as
// they change.
func (e *Exchange) ServeAnnounce(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &listener{exchange: e, stream: stream, reports: make(chan *schema.AnnounceReport)}
	go l.receive(ctx, cancel)
	var record *schema.Upstream
	for {
		changed, configured := e.change(), e.holder.Changed()
		if record != nil {
			if err := l.tell(record); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case report := <-l.reports:
			record = report.GetUpstream()
			l.hear(report)
		case <-changed:
			if !e.pause(ctx) {
				return
			}
		case <-configured:
		}
	}
}

func (l *listener) receive(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		report := &schema.AnnounceReport{}
		if err := l.stream.Receive(report); err != nil || report.GetUpstream() == nil {
			return
		}
		select {
		case l.reports <- report:
		case <-ctx.Done():
			return
		}
	}
}

func (l *listener) hear(report *schema.AnnounceReport) {
	e := l.exchange
	if report.GetConfiguration() != nil {
		e.holder.Offer(report.GetConfiguration())
	}
	l.toldIndex = max(l.toldIndex, report.GetUpstream().GetConfigIndex())
	e.update(func(now time.Time) bool {
		return e.table.Announce(now, report.GetUpstream())
	})
	e.onLoad(report.GetUpstream())
}

// tell answers with what the agent lacks; without anything, it still shows that
// this gateway is alive.
func (l *listener) tell(record *schema.Upstream) error {
	e := l.exchange
	answer := &schema.AnnounceAnswer{
		ConfigIndex:   uint64(e.holder.Index()),
		Configuration: e.holder.NewerThan(l.toldIndex),
	}
	l.toldIndex = max(l.toldIndex, answer.GetConfiguration().GetCommitIndex())
	if peers := e.peersOf(record); !proto.Equal(peers, l.toldPeers) {
		answer.Peers = peers
		l.toldPeers = peers
	}
	return l.stream.Send(answer)
}

// peersOf lists the live agents of the same service.
func (e *Exchange) peersOf(record *schema.Upstream) *schema.PeerList {
	list := &schema.PeerList{}
	for _, other := range e.Alive() {
		if other.GetService() != record.GetService() || other.GetState() == schema.UpstreamState_UPSTREAM_STATE_LEAVING {
			continue
		}
		list.Peers = append(list.Peers, &schema.Peer{
			Id: other.GetId(), Address: other.GetAddress(),
			Region: other.GetRegion(), FailureDomain: other.GetFailureDomain(),
		})
	}
	return list
}
