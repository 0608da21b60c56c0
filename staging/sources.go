package staging

import (
	"context"
	"sync"

	"figbank"
	"figbank/feed"
	"figbank/schema"
	"figbank/swarm"
	"figbank/traffic"
	"figbank/weights"

	"go.uber.org/zap"
)

type (
	// pieces lets the transfer fetch chunks from the origin of the version under way.
	pieces struct {
		origin Origin
	}

	sourceKey struct{}

	// peers lists the other agents of the same service.
	peers struct {
		view *feed.View
		self *schema.Member

		mu      sync.Mutex
		changed chan struct{}
	}
)

func withSource(ctx context.Context, source Source) context.Context {
	return context.WithValue(ctx, sourceKey{}, source)
}

func newPieces(origin Origin) *pieces {
	return &pieces{origin: origin}
}

// Manifest is not needed: versions are listed by their digests.
func (*pieces) Manifest(context.Context, figbank.ManifestDigest) ([]byte, error) {
	return nil, figbank.InvalidError{Subject: "manifest", Detail: "this origin lists pieces only"}
}

// Chunk fetches one piece; the caller checks it.
func (p *pieces) Chunk(ctx context.Context, _ *weights.Version, index figbank.ChunkIndex) ([]byte, error) {
	source, _ := ctx.Value(sourceKey{}).(Source)
	return p.origin.Piece(ctx, source, int(index))
}

func newPeers(view *feed.View, self *schema.Member) *peers {
	p := &peers{view: view, self: self, changed: make(chan struct{})}
	view.Watch(p.renew)
	return p
}

func (p *peers) renew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// list returns the agents of the same service, and a channel that is closed at
// the next change of anything.
func (p *peers) list() ([]swarm.Peer, <-chan struct{}) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	var list []swarm.Peer
	for _, member := range p.view.Members() {
		if member.GetRole() != schema.MemberRole_MEMBER_ROLE_AGENT || member.GetService() != p.self.GetService() {
			continue
		}
		list = append(list, swarm.Peer{
			ID: figbank.ProcessID(member.GetId()), Address: figbank.Address(member.GetAddress()),
			Region: figbank.Region(member.GetRegion()), FailureDomain: figbank.FailureDomain(member.GetFailureDomain()),
		})
	}
	return list, changed
}

// readRules unpacks the rules of a fleet, nil when there are none to read.
func (s *Stager) readRules(fleet *schema.Fleet) *schema.Traffic {
	if fleet.GetTrafficNumber() == 0 {
		return nil
	}
	rules, err := traffic.UnpackRules(fleet.GetPackedTraffic())
	if err != nil {
		s.common.Log.Error("traffic rules cannot be read", zap.Int64("number", fleet.GetTrafficNumber()), figbank.ErrorField(err))
		return nil
	}
	return rules
}
