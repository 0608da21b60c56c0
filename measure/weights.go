package measure

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"figbank"
	"figbank/fake"
	"figbank/schema"
	"figbank/swarm"
	"figbank/transfer"
	"figbank/transport"
	"figbank/weights"
)

const (
	// wholeTimeout ends a measure whose hosts do not get the weights.
	wholeTimeout = time.Minute
	// linkShare is the share of a host's link that weights may use.
	linkShare      = 0.8
	chunksInFlight = 6
	chunksServed   = 3
	weightsStall   = 1500 * time.Millisecond
	holdersDelay   = 200 * time.Millisecond
	// originPiece is the number of bytes that the origin sends to one host before it turns to
	// another.
	originPiece = 4 << 10
)

type (
	// WeightsShape describes the hosts that get a new version, and their links.
	WeightsShape struct {
		Hosts, Regions int
		Chunks         int
		ChunkBytes     figbank.Bytes
		// HostRate, RegionRate and OriginRate are the bytes per second of a host's link, of all
		// links from one region to another, and of the origin's link.
		HostRate, RegionRate, OriginRate figbank.Bytes
	}

	// Spread tells how a version reached the hosts.
	Spread struct {
		// Times holds, in ascending order, how long after its naming the version was whole on
		// each host.
		Times []time.Duration
		// AllOut is when the first copies of all chunks had left the origin.
		AllOut time.Duration
		// OriginCopies is what the origin sent, in copies of the version.
		OriginCopies float64
	}

	// weightsOrigin serves the chunks of one version over a link of its own.
	weightsOrigin struct {
		shape   WeightsShape
		network *fake.Network

		mu    sync.Mutex
		link  *fake.Link
		sent  figbank.Bytes
		first map[figbank.ChunkIndex]time.Time
	}

	// hostOrigin is the origin as one host reaches it.
	hostOrigin struct {
		*weightsOrigin
		host figbank.Address
	}

	weightsHost struct {
		fetcher *transfer.Fetcher
		pool    *transport.Pool
		server  *transport.Server
	}
)

// NewWeightsShape returns the links of the users' large fleet, with the given number of hosts.
func NewWeightsShape(hosts int) WeightsShape {
	return WeightsShape{
		Hosts: hosts, Regions: 5, Chunks: 48, ChunkBytes: 48 << 10,
		HostRate: 94 * figbank.Megabit / 10, RegionRate: 31 * figbank.Megabit, OriginRate: 15 * figbank.Megabit,
	}
}

// Bound returns a time in which no plan can bring the version to all hosts: each host receives a
// whole copy over the share of its link that weights may use, and the last chunk to leave the
// origin still has to pass to another host.
func (s WeightsShape) Bound() time.Duration {
	seconds := func(bytes, rate figbank.Bytes) time.Duration {
		return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
	}
	size := figbank.Bytes(s.Chunks) * s.ChunkBytes
	paced := figbank.Bytes(float64(s.HostRate) * linkShare)
	return max(seconds(size, s.OriginRate)+seconds(s.ChunkBytes, paced), seconds(size, paced))
}

// Weights measures how a new version spreads over several numbers of hosts, beside the time
// that the links allow.
func Weights(hosts ...int) *Report {
	r := &Report{}
	for _, count := range hosts {
		shape := NewWeightsShape(count)
		spread := SpreadWeights(shape)
		bound := shape.Bound().Seconds()
		name := fmt.Sprintf("With%dHosts", count)
		r.Note("Bound"+name, bound, "s")
		r.Target("AllOut"+name, spread.AllOut.Seconds(), "s", 1.6)
		r.Note("First"+name, spread.at(0).Seconds(), "s")
		r.Target("Half"+name, spread.at(0.5).Seconds(), "s", 1.2*bound)
		r.Target("Most"+name, spread.at(0.99).Seconds(), "s", 1.5*bound)
		r.Target("OriginCopies"+name, spread.OriginCopies, "copies", 1.1)
		r.AtMost("Last"+name, spread.at(1).Seconds(), "s", 3*bound)
	}
	return r
}

// at returns when a share of the hosts was whole.
func (s *Spread) at(share float64) time.Duration {
	return s.Times[int(share*float64(len(s.Times)-1))]
}

// SpreadWeights brings a version to all hosts of a shape with the real fetchers and servers,
// over shaped links. It must run inside a synctest bubble.
func SpreadWeights(shape WeightsShape) *Spread {
	network := fake.NewNetwork(virtual, time.Millisecond, 2*time.Millisecond)
	network.SetRates(fake.Rates{Host: shape.HostRate, Region: shape.RegionRate})
	origin := &weightsOrigin{shape: shape, network: network, link: fake.NewLink(shape.OriginRate), first: map[figbank.ChunkIndex]time.Time{}}
	folder, err := os.MkdirTemp("", "figbank-measure-*")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	var peers []swarm.Peer
	for i := range shape.Hosts {
		region := fmt.Sprintf("r%d", i%shape.Regions)
		peers = append(peers, swarm.Peer{
			ID: figbank.ProcessID(fmt.Sprintf("%s-%d", region, i)), Address: figbank.Address(fmt.Sprintf("%s/%d:1", region, i)),
			Region: figbank.Region(region), FailureDomain: figbank.FailureDomain(region),
		})
	}
	content, digest, err := weights.Marshal(shape.manifest())
	if err != nil {
		panic(err)
	}
	var hosts []*weightsHost
	for i := range peers {
		hosts = append(hosts, newWeightsHost(network, origin, peers, i, fmt.Sprintf("%s/%d", folder, i), shape))
	}
	began := virtual.Now()
	spread := &Spread{Times: make([]time.Duration, len(hosts))}
	ctx, cancel := context.WithTimeout(context.Background(), wholeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Go(func() {
			// Hosts hear of the version within one round of their feeds.
			sleep(time.Duration(rand.New(rand.NewPCG(seedOf(i), 1)).Int64N(int64(100 * time.Millisecond)))) //nolint:gosec // a fixed sequence
			if _, err := host.fetcher.FetchKnown(ctx, transfer.Want{Manifest: content, Digest: digest, OriginRate: shape.OriginRate, New: true}); err != nil {
				panic(err)
			}
			spread.Times[i] = since(began)
		})
	}
	group.Wait()
	for _, host := range hosts {
		host.pool.Close()
		host.server.Close()
	}
	slices.Sort(spread.Times)
	for _, at := range origin.first {
		spread.AllOut = max(spread.AllOut, at.Sub(began))
	}
	spread.OriginCopies = float64(origin.sent) / float64(figbank.Bytes(shape.Chunks)*shape.ChunkBytes)
	return spread
}

func seedOf(host int) uint64 {
	return uint64(host) //nolint:gosec // not negative
}

func newWeightsHost(network *fake.Network, origin *weightsOrigin, peers []swarm.Peer, index int, folder string, shape WeightsShape) *weightsHost {
	self := peers[index]
	common := newCommon(string(self.ID))
	store, err := weights.OpenStore(folder, weights.WithoutSync())
	if err != nil {
		panic(err)
	}
	rate := figbank.Bytes(float64(shape.HostRate) * linkShare)
	active, link := &transfer.Active{}, transfer.NewLink(virtual, rate)
	host := &weightsHost{pool: transport.NewPool(common, transport.WithDialer(network.Dialer(self.Address)))}
	server := transfer.NewServer(common, store, active, chunksServed, transfer.WithSendRate(rate), transfer.WithLink(link))
	host.server = transport.NewServer(common, network.Listen(self.Address), transport.Handlers{
		schema.StreamKind_STREAM_KIND_HAVE:  server.ServeHave,
		schema.StreamKind_STREAM_KIND_CHUNK: server.ServeChunk,
	})
	host.fetcher = transfer.NewFetcher(common, transfer.Settings{
		Self: self, MaxInFlight: chunksInFlight, StallTime: weightsStall, OriginDelay: holdersDelay, OneCopy: true, Rate: rate, Link: link,
	}, store, active, host.pool, &hostOrigin{weightsOrigin: origin, host: self.Address}, func() ([]swarm.Peer, <-chan struct{}) { return peers, nil })
	return host
}

// manifest describes the version as chunks of one file.
func (s WeightsShape) manifest() *schema.Manifest {
	size := int64(s.Chunks) * int64(s.ChunkBytes)
	manifest := &schema.Manifest{Files: []*schema.ManifestFile{{Path: "model", Size: size}}}
	for i := range s.Chunks {
		digest := sha256.Sum256(s.chunk(figbank.ChunkIndex(i)))
		manifest.Chunks = append(manifest.Chunks, &schema.Chunk{
			Digest: digest[:], Spans: []*schema.Span{{Offset: int64(i) * int64(s.ChunkBytes), Length: int64(s.ChunkBytes)}},
		})
	}
	return manifest
}

func (s WeightsShape) chunk(index figbank.ChunkIndex) []byte {
	return fmt.Appendf(make([]byte, 0, s.ChunkBytes), "%0*d", int(s.ChunkBytes), index)
}

// Manifest is not used, since the hosts know the manifest.
func (o *hostOrigin) Manifest(context.Context, figbank.ManifestDigest) ([]byte, error) {
	return nil, figbank.InvalidError{Subject: "manifest", Detail: "hosts of this measure know it"}
}

// Chunk sends a chunk, a piece at a time, so that hosts share the origin's link.
func (o *hostOrigin) Chunk(ctx context.Context, _ *weights.Version, index figbank.ChunkIndex) ([]byte, error) {
	for left := o.shape.ChunkBytes; left > 0; left -= originPiece {
		o.mu.Lock()
		passed := o.link.Pass(virtual.Now(), originPiece)
		o.sent += originPiece
		o.mu.Unlock()
		arrived := o.network.Receive(o.host, passed, originPiece)
		select {
		case <-ctx.Done():
			return nil, figbank.WrapError("measure", "Origin", ctx.Err())
		case <-virtual.After(arrived.Sub(virtual.Now())):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, found := o.first[index]; !found {
		o.first[index] = virtual.Now()
	}
	return o.shape.chunk(index), nil
}
