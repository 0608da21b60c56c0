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
	// pieceOrigin adapts an Origin to transfer.Origin. It takes the Source of the version from
	// the context of each call, where withSource stored it.
	pieceOrigin struct {
		origin Origin
	}

	sourceKey struct{}

	// peerList lists the agents that run the same service as this process.
	peerList struct {
		view *feed.View
		self *schema.Member

		mu      sync.Mutex
		changed chan struct{}
	}
)

func withSource(ctx context.Context, source Source) context.Context {
	return context.WithValue(ctx, sourceKey{}, source)
}

func newPieceOrigin(origin Origin) *pieceOrigin {
	return &pieceOrigin{origin: origin}
}

// Manifest always fails. It is never needed, because manifestOf makes the manifest from the list of
// digests.
func (*pieceOrigin) Manifest(context.Context, figbank.ManifestDigest) ([]byte, error) {
	return nil, figbank.InvalidError{Subject: "manifest", Detail: "this origin provides lists of pieces, not manifests"}
}

// Chunk fetches one piece. The caller verifies it.
func (p *pieceOrigin) Chunk(ctx context.Context, _ *weights.Version, index figbank.ChunkIndex) ([]byte, error) {
	source, _ := ctx.Value(sourceKey{}).(Source)
	return p.origin.Piece(ctx, source, int(index))
}

func newPeerList(view *feed.View, self *schema.Member) *peerList {
	p := &peerList{view: view, self: self, changed: make(chan struct{})}
	view.Watch(p.signalChange)
	return p
}

func (p *peerList) signalChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// list returns the agents of the same service, including this one. The channel is closed at the
// next change of the view.
func (p *peerList) list() ([]swarm.Peer, <-chan struct{}) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	var list []swarm.Peer
	for _, member := range p.view.Members() {
		if member.GetRole() != schema.MemberRole_MEMBER_ROLE_AGENT || member.GetService() != p.self.GetService() {
			continue
		}
		list = append(list, peerOf(member))
	}
	return list, changed
}

// selfPeer returns this agent as the others list it.
func (p *peerList) selfPeer() swarm.Peer {
	return peerOf(p.self)
}

func peerOf(member *schema.Member) swarm.Peer {
	return swarm.Peer{
		ID: figbank.ProcessID(member.GetId()), Address: figbank.Address(member.GetAddress()),
		Region: figbank.Region(member.GetRegion()), FailureDomain: figbank.FailureDomain(member.GetFailureDomain()),
	}
}

// readRules unpacks the traffic rules of a fleet. It returns nil if there are none
// or they cannot be unpacked.
func (s *Stager) readRules(fleet *schema.Fleet) *schema.Traffic {
	if fleet.GetTrafficNumber() == 0 {
		return nil
	}
	rules, err := traffic.UnpackRules(fleet.GetPackedTraffic())
	if err != nil {
		s.common.Log.Error("unpacking the traffic rules failed", zap.Int64("number", fleet.GetTrafficNumber()), figbank.ErrorField(err))
		return nil
	}
	return rules
}
