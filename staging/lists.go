package staging

import (
	"context"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"figbank"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transport"
)

const (
	// listersPerRegion is how many hosts of each region ask the origin for the digests of a version. The others ask them:
	// hundreds of lists would keep the origin's link from sending pieces.
	listersPerRegion = 3
	// listerPause is the pause before another lister is asked, listerTimeout how long one has to answer.
	listerPause   = 30 * time.Millisecond
	listerTimeout = 150 * time.Millisecond
	// originPatience is how long a host waits for the listers before it asks the origin, half of it at least.
	originPatience = time.Second
	// confirmTime is how long a host waits until another lister confirms the digests that it has.
	confirmTime = 300 * time.Millisecond
	// maxDisagreements is how many listers may have other digests before a host asks the origin for them.
	maxDisagreements = 2
	// maxLists is how many versions' digests a host keeps for others.
	maxLists = 8
)

type (
	// Lists holds the digests of versions that this host has, for others. It is safe for concurrent use.
	Lists struct {
		mu    sync.Mutex
		known map[Source]knownList
	}

	knownList struct {
		digests  Digests
		manifest figbank.ManifestDigest
	}

	// AskLister asks another host for the digests of a version.
	AskLister func(ctx context.Context, address figbank.Address, request *schema.DigestsRequest) (*schema.DigestsAnswer, error)

	// listSearch looks for the digests of one version among the hosts that ask the origin for them.
	listSearch struct {
		common figbank.Common
		origin Origin
		lists  *Lists
		asks   AskLister
		self   swarm.Peer
		source Source
		// own are the listers of this region, others those of all regions but this host.
		own, others []swarm.Peer
		// isLister is set if this host asks the origin at once.
		isLister bool
		began    time.Time
	}
)

// NewLists returns an empty Lists.
func NewLists() *Lists {
	return &Lists{known: map[Source]knownList{}}
}

// Serve answers one request of another host.
func (l *Lists) Serve(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	request := &schema.DigestsRequest{}
	if err := stream.Receive(request); err != nil {
		return
	}
	_ = stream.Send(l.answer(request))
}

func (l *Lists) answer(request *schema.DigestsRequest) *schema.DigestsAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.known[Source{Address: figbank.Address(request.GetOrigin()), Model: request.GetModel(), Version: request.GetVersion()}]
	if !found {
		return &schema.DigestsAnswer{}
	}
	answer := &schema.DigestsAnswer{Manifest: string(known.manifest)}
	if request.GetManifestOnly() {
		return answer
	}
	answer.PieceBytes = known.digests.PieceBytes
	for _, text := range known.digests.SHA256 {
		digest, _ := hex.DecodeString(text)
		answer.SHA256 = append(answer.SHA256, digest...)
	}
	return answer
}

func (l *Lists) put(source Source, list knownList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.known) >= maxLists {
		oldest := source
		for known := range l.known {
			if known.Version < oldest.Version {
				oldest = known
			}
		}
		if oldest == source {
			return
		}
		delete(l.known, oldest)
	}
	l.known[source] = list
}

func (l *Lists) forget(source Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.known, source)
}

// digests returns the digests of a version: from the origin if this host is a lister, or if the digests that it had were in
// doubt, and otherwise from a lister.
func (s *Stager) digests(ctx context.Context, source Source) (Digests, error) {
	if s.settings.AskLister == nil || s.doubted == source {
		return s.origin.Digests(ctx, source)
	}
	peers, _ := s.peers.list()
	search := &listSearch{
		common: s.common, origin: s.origin, lists: s.settings.Lists, asks: s.settings.AskLister, self: s.peers.selfPeer(), source: source,
	}
	list, err := search.find(ctx, peers)
	if err != nil {
		return Digests{}, err
	}
	s.settings.Lists.put(source, list)
	return list.digests, nil
}

// sort finds the listers among the hosts.
func (l *listSearch) sort(peers []swarm.Peer) {
	for _, lister := range swarm.Listers(peers, l.source.Version, listersPerRegion) {
		switch {
		case lister.ID == l.self.ID:
			l.isLister = true
			continue
		case lister.Region == l.self.Region:
			l.own = append(l.own, lister)
		}
		l.others = append(l.others, lister)
	}
}

// find returns the digests once another lister has confirmed them, or when none has done so for a while. The origin may
// hand out wrong ones.
func (l *listSearch) find(ctx context.Context, peers []swarm.Peer) (knownList, error) {
	l.began = l.common.Clock.Now()
	l.sort(peers)
	list, source, err := l.obtain(ctx)
	if err != nil {
		return list, err
	}
	// Who has told the digests can't confirm them.
	confirming := slices.DeleteFunc(slices.Clone(l.others), func(p swarm.Peer) bool { return p.ID == source })
	if len(confirming) == 0 {
		return list, nil
	}
	if l.isLister {
		// The others need not wait until these are confirmed, since they confirm them too.
		l.lists.put(l.source, list)
	}
	disagreements := 0
	until := l.common.Clock.Now().Add(confirmTime)
	for turn := l.firstTurn(); l.common.Clock.Now().Before(until); turn++ {
		answer := l.ask(ctx, confirming[turn%len(confirming)], true)
		switch {
		case ctx.Err() != nil:
			return knownList{}, figbank.WrapError("staging", "Canceled", ctx.Err())
		case answer.GetManifest() == string(list.manifest):
			return list, nil
		case answer.GetManifest() != "":
			disagreements++
		}
		if disagreements == maxDisagreements {
			l.common.Log.Warn("digests differ between hosts, asking the origin", zap.Int64("version", l.source.Version))
			l.lists.forget(l.source)
			return l.fromOrigin(ctx)
		}
		l.pause(ctx)
	}
	return list, nil
}

// obtain returns the digests as a lister or the origin has them, and which lister that was, empty for the origin.
func (l *listSearch) obtain(ctx context.Context) (knownList, figbank.ProcessID, error) {
	patience := jitter(originPatience)
	for turn := l.firstTurn(); !l.isLister && len(l.own) > 0 && l.common.Clock.Now().Sub(l.began) < patience; turn++ {
		lister := l.own[turn%len(l.own)]
		if list, found := l.listOf(l.ask(ctx, lister, false)); found {
			return list, lister.ID, nil
		}
		if ctx.Err() != nil {
			return knownList{}, "", figbank.WrapError("staging", "Canceled", ctx.Err())
		}
		l.pause(ctx)
	}
	list, err := l.fromOrigin(ctx)
	return list, "", err
}

func (l *listSearch) fromOrigin(ctx context.Context) (knownList, error) {
	digests, err := l.origin.Digests(ctx, l.source)
	if err != nil {
		return knownList{}, err
	}
	_, manifest, err := manifestOf(l.source, digests)
	return knownList{digests: digests, manifest: manifest}, err
}

// firstTurn spreads the hosts over the listers.
func (l *listSearch) firstTurn() int {
	return int(swarm.HashOf(l.self.ID) % (1 << 16))
}

func (l *listSearch) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.common.Clock.After(listerPause):
	}
}

// ask asks one lister. The answer is empty if it has none.
func (l *listSearch) ask(ctx context.Context, lister swarm.Peer, manifestOnly bool) *schema.DigestsAnswer {
	ctx, cancel := context.WithTimeout(ctx, listerTimeout)
	defer cancel()
	answer, err := l.asks(ctx, lister.Address, &schema.DigestsRequest{
		Origin: string(l.source.Address), Model: l.source.Model, Version: l.source.Version, ManifestOnly: manifestOnly,
	})
	if err != nil {
		return &schema.DigestsAnswer{}
	}
	return answer
}

// listOf returns the digests in an answer, unless it has none or they are not what it says.
func (l *listSearch) listOf(answer *schema.DigestsAnswer) (knownList, bool) {
	const digestBytes = 32
	if answer.GetManifest() == "" || len(answer.GetSHA256())%digestBytes != 0 {
		return knownList{}, false
	}
	digests := Digests{PieceBytes: answer.GetPieceBytes()}
	for rest := answer.GetSHA256(); len(rest) > 0; rest = rest[digestBytes:] {
		digests.SHA256 = append(digests.SHA256, hex.EncodeToString(rest[:digestBytes]))
	}
	_, manifest, err := manifestOf(l.source, digests)
	if err != nil || string(manifest) != answer.GetManifest() {
		return knownList{}, false
	}
	return knownList{digests: digests, manifest: manifest}, true
}
