package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"figbank"
	"figbank/schema"
)

const tick = 10 * time.Millisecond

var timing = Timing{ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond}

type (
	// cluster runs nodes over a simulated network whose links can be cut.
	cluster struct {
		now time.Time
		ids []figbank.ProcessID
		// initial is the initial membership. Replicas that are not in it wait to be added.
		initial  *schema.Membership
		hosts    map[figbank.ProcessID]*host
		inFlight []*schema.RaftMessage
		cutLinks map[[2]figbank.ProcessID]bool
		// firstApplied holds what was first applied at each index; every replica must apply
		// the same.
		firstApplied map[uint64][]byte
		fail         func(format string, args ...any)
		// seed is the random seed of the last node that was started. Each start uses the next
		// number.
		seed uint64
	}

	// host is a node and the content of its disk.
	host struct {
		node    *Node
		stored  PersistentState
		applied uint64
		down    bool
	}
)

func newCluster(size int, seed uint64, fail func(string, ...any)) *cluster {
	c := &cluster{
		now: time.Unix(1000, 0), hosts: map[figbank.ProcessID]*host{}, cutLinks: map[[2]figbank.ProcessID]bool{},
		firstApplied: map[uint64][]byte{}, fail: fail, seed: seed,
	}
	for i := range size {
		c.ids = append(c.ids, figbank.ProcessID(fmt.Sprintf("r%d", i)))
	}
	c.initial = NewMembership(c.ids...)
	for _, id := range c.ids {
		c.hosts[id] = &host{}
		c.start(id)
	}
	return c
}

func (c *cluster) start(id figbank.ProcessID) {
	h := c.hosts[id]
	h.down = false
	h.applied = h.stored.Snapshot.GetIndex()
	c.seed++
	stored := PersistentState{HardState: h.stored.HardState, Snapshot: h.stored.Snapshot, Entries: slices.Clone(h.stored.Entries)}
	var initial *schema.Membership
	if containsVoter(c.initial.GetVoters(), id) {
		initial = c.initial
	}
	h.node = NewNode(id, initial, timing, rand.New(rand.NewPCG(c.seed, 1)), stored, c.now)
}

// processReady does the pending work of one node, as its driver would.
func (c *cluster) processReady(id figbank.ProcessID) {
	h := c.hosts[id]
	for !h.down {
		ready := h.node.Ready()
		if ready.Empty() {
			return
		}
		c.persist(h, &ready)
		c.inFlight = append(c.inFlight, ready.Messages...)
		for _, entry := range ready.Committed {
			c.apply(h, entry)
		}
	}
}

func (c *cluster) persist(h *host, ready *Ready) {
	if ready.HardState != nil {
		h.stored.HardState = ready.HardState
	}
	if ready.Snapshot != nil {
		h.stored.Snapshot, h.stored.Entries = ready.Snapshot, nil
		h.applied = ready.Snapshot.GetIndex()
	}
	for _, entry := range ready.Entries {
		at := entry.GetIndex() - h.stored.Snapshot.GetIndex() - 1
		h.stored.Entries = append(h.stored.Entries[:at:at], entry)
		h.node.MarkPersisted(entry.GetIndex())
	}
}

func (c *cluster) apply(h *host, entry *schema.Entry) {
	if entry.GetIndex() != h.applied+1 {
		c.fail("applied index %d after %d", entry.GetIndex(), h.applied)
	}
	h.applied = entry.GetIndex()
	known, found := c.firstApplied[entry.GetIndex()]
	content := fmt.Appendf(nil, "%d:%s:%s", entry.GetTerm(), entry.GetData(), idsOf(entry.GetMembership().GetVoters()))
	if found && !bytes.Equal(known, content) {
		c.fail("index %d applied as %s on one replica and as %s on another or after a restart", entry.GetIndex(), known, content)
	}
	c.firstApplied[entry.GetIndex()] = content
}

func (c *cluster) step() {
	c.now = c.now.Add(tick)
	for _, id := range c.ids {
		if h := c.hosts[id]; !h.down {
			h.node.Tick(c.now)
			c.processReady(id)
		}
	}
	c.deliverAll()
}

// deliverAll delivers all messages that are in flight. It delivers copies, as a
// network does, since a receiver may retain parts of a message.
func (c *cluster) deliverAll() {
	for len(c.inFlight) > 0 {
		message := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		to, from := figbank.ProcessID(message.GetTo()), figbank.ProcessID(message.GetFrom())
		if h := c.hosts[to]; !h.down && !c.cutLinks[[2]figbank.ProcessID{from, to}] {
			h.node.Step(c.now, proto.CloneOf(message))
			c.processReady(to)
		}
	}
}

func (c *cluster) leader() (figbank.ProcessID, bool) {
	var found figbank.ProcessID
	var term figbank.Term
	for _, id := range c.ids {
		if h := c.hosts[id]; !h.down && h.node.Role() == Leader && h.node.Term() >= term {
			found, term = id, h.node.Term()
		}
	}
	return found, found != ""
}

func (c *cluster) awaitLeader(t testing.TB) figbank.ProcessID {
	t.Helper()
	for range 200 {
		c.step()
		if id, found := c.leader(); found {
			return id
		}
	}
	t.Fatal("no leader after 200 steps")
	return ""
}

func (c *cluster) isolate(id figbank.ProcessID, cut bool) {
	for _, other := range c.ids {
		c.cutLinks[[2]figbank.ProcessID{id, other}] = cut
		c.cutLinks[[2]figbank.ProcessID{other, id}] = cut
	}
}

func (c *cluster) propose(id figbank.ProcessID, data string) error {
	_, _, err := c.hosts[id].node.Propose(c.now, []byte(data))
	c.processReady(id)
	return err
}

// checkProgress heals all links, restarts all replicas and expects each to apply a
// new entry.
func (c *cluster) checkProgress(t *rapid.T) {
	c.cutLinks = map[[2]figbank.ProcessID]bool{}
	for _, id := range c.ids {
		if c.hosts[id].down {
			c.start(id)
		}
	}
	for range 100 {
		c.step()
	}
	leader, found := c.leader()
	if !found {
		t.Fatal("no leader after healing")
	}
	if err := c.propose(leader, "last"); err != nil {
		t.Fatalf("Propose() = %v", err)
	}
	for range 10 {
		c.step()
	}
	for _, id := range c.ids {
		if got, want := c.hosts[id].applied, c.hosts[leader].applied; got != want {
			t.Fatalf("%s applied up to index %d after healing, want %d", id, got, want)
		}
	}
}
