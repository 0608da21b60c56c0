package feed

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"figbank/schema"
)

// When a process joins, the replica sends one member entry to each of the other subscribers,
// however many processes there are. Only the new process gets the full list.
func TestJoinCostsOneEntryASubscriber(t *testing.T) {
	const subscribers = 40
	r := newNode(t, "r1", replica)
	nodes := make([]*node, 0, subscribers+1)
	for i := range subscribers {
		nodes = append(nodes, newNode(t, fmt.Sprintf("gateway-in-some-domain-%d", i), gateway, r.address))
	}
	awaitMembers(t, nodes, subscribers)
	time.Sleep(300 * time.Millisecond)
	before := r.sentBytes()
	last := newNode(t, "gateway-in-some-domain-last", gateway, r.address)
	nodes = append(nodes, last)
	awaitMembers(t, nodes, subscribers+1)
	fullList := subscribers * proto.Size(last.subscriber.self.Load()) * 2
	perSubscriber := (int(r.sentBytes()-before) - fullList) / subscribers
	if limit := 3 * proto.Size(last.subscriber.self.Load()); perSubscriber > limit {
		t.Errorf("one join cost each of %d subscribers %d bytes, want at most %d", subscribers, perSubscriber, limit)
	}
}

func awaitMembers(t *testing.T, nodes []*node, count int) {
	t.Helper()
	await(t, "all processes know all others", func() bool {
		for _, n := range nodes {
			if len(n.view.Members()) != count {
				return false
			}
		}
		return true
	})
}

func (n *node) sentBytes() int64 {
	for _, usage := range n.meter.Usage() {
		if usage.Kind == schema.StreamKind_STREAM_KIND_FEED {
			return usage.SentBytes
		}
	}
	return 0
}

// An agent that joins is news for the replicas and the other agents. Building an update for each
// gateway too, only to find that it is empty, took replicas all their time when many moved at once.
func TestJoinsWakeOnlyThoseConcerned(t *testing.T) {
	const gateways, joins = 40, 10
	r := newNode(t, "r1", replica)
	nodes := make([]*node, 0, gateways)
	for i := range gateways {
		nodes = append(nodes, newNode(t, fmt.Sprintf("g%d", i), gateway, r.address))
	}
	awaitMembers(t, nodes, gateways)
	time.Sleep(300 * time.Millisecond)
	before, began := r.view.Work(), time.Now()
	for i := range joins {
		a := newNode(t, fmt.Sprintf("a%d", i), agent, r.address)
		await(t, "the agent is fed", a.subscriber.Connected)
		time.Sleep(2 * minUpdateInterval)
	}
	work := r.view.Work().Since(before)
	keepAlives := (gateways + joins) * (1 + int64(time.Since(began)/keepAliveInterval))
	if most := keepAlives + joins*joins*2; work.Built > most {
		t.Errorf("%d joins of agents made the replica build %d updates, want at most %d", joins, work.Built, most)
	}
}
