package exchange

import (
	"context"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"

	"google.golang.org/protobuf/proto"
)

// agentSession serves one agent's stream of announcements.
type agentSession struct {
	exchange *Exchange
	stream   *transport.Stream
	reports  chan *schema.AnnounceReport
	// agentIndex is the commit index of the newest configuration that the agent is
	// known to have.
	agentIndex uint64
	// sentPeers is the list of peers that was last sent to the agent.
	sentPeers *schema.PeerList
}

// ServeAnnounce receives the announcements of one agent and answers each of them.
// It also sends the agent the configuration and the list of its peers when they
// change.
func (e *Exchange) ServeAnnounce(ctx context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &agentSession{exchange: e, stream: stream, reports: make(chan *schema.AnnounceReport)}
	go s.receive(ctx, cancel)
	var record *schema.Upstream
	for {
		changed, configured := e.changeSignal(), e.holder.Changed()
		if record != nil {
			if err := s.sendUpdate(record); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case report := <-s.reports:
			record = report.GetUpstream()
			s.applyReport(report)
		case <-changed:
			if !e.waitBatchDelay(ctx) {
				return
			}
		case <-configured:
		}
	}
}

// receive passes the agent's reports to ServeAnnounce. It ends the session when the stream
// ends or a report describes no upstream.
func (s *agentSession) receive(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		report := &schema.AnnounceReport{}
		if err := s.stream.Receive(report); err != nil || report.GetUpstream() == nil {
			return
		}
		select {
		case s.reports <- report:
		case <-ctx.Done():
			return
		}
	}
}

func (s *agentSession) applyReport(report *schema.AnnounceReport) {
	e := s.exchange
	if report.GetConfiguration() != nil {
		e.holder.Offer(report.GetConfiguration())
	}
	s.agentIndex = max(s.agentIndex, report.GetUpstream().GetConfigIndex())
	e.update(func(now time.Time) bool {
		return e.table.Announce(now, report.GetUpstream())
	})
	e.onAnnouncement(report.GetUpstream())
}

// sendUpdate sends the agent what it lacks. If the agent lacks nothing, the message
// still shows that this gateway is alive.
func (s *agentSession) sendUpdate(record *schema.Upstream) error {
	e := s.exchange
	answer := &schema.AnnounceAnswer{
		ConfigIndex:   uint64(e.holder.Index()),
		Configuration: e.holder.NewerThan(s.agentIndex),
	}
	s.agentIndex = max(s.agentIndex, answer.GetConfiguration().GetCommitIndex())
	if peers := e.peersOf(record); !proto.Equal(peers, s.sentPeers) {
		answer.Peers = peers
		s.sentPeers = peers
	}
	return s.stream.Send(answer)
}

// peersOf lists the live agents of the same service that are not leaving, including the
// agent of the record.
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
