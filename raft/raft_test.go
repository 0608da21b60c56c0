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

func TestLeaderReplicates(t *testing.T) {
	c := newCluster(3, 1, t.Fatalf)
	leader := c.awaitLeader(t)
	if err := c.propose(leader, "a"); err != nil {
		t.Fatalf("Propose() = %v", err)
	}
	c.step()
	for _, id := range c.ids {
		if got := c.hosts[id].applied; got != 2 {
			t.Errorf("%s applied %d entries, want 2", id, got)
		}
	}
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCluster(3, 2, t.Fatalf)
	old := c.awaitLeader(t)
	c.isolate(old, true)
	if err := c.propose(old, "lost"); err != nil {
		t.Fatalf("Propose() = %v", err)
	}
	for range 30 {
		c.step()
	}
	if got := c.hosts[old].node.Role(); got == Leader {
		t.Errorf("isolated leader's role = %v, want another one: it must step down", got)
	}
	if err := c.propose(old, "refused"); err == nil {
		t.Error("Propose() on the minority side = nil, want NotAcceptedError")
	}
	next, _ := c.leader()
	if err := c.propose(next, "kept"); err != nil {
		t.Fatalf("Propose() on the majority side = %v", err)
	}
	term := c.hosts[next].node.Term()
	c.isolate(old, false)
	for range 30 {
		c.step()
	}
	if got := c.hosts[next].node.Term(); got != term {
		t.Errorf("term after healing = %d, want %d: a returning replica must not cause an election", got, term)
	}
	if got, want := c.hosts[old].applied, c.hosts[next].applied; got != want {
		t.Errorf("returned replica applied up to index %d, want %d", got, want)
	}
}

func TestLaggingFollowerGetsSnapshot(t *testing.T) {
	c := newCluster(3, 3, t.Fatalf)
	leader := c.awaitLeader(t)
	behind := c.ids[0]
	if behind == leader {
		behind = c.ids[1]
	}
	c.hosts[behind].down = true
	for i := range 20 {
		if err := c.propose(leader, fmt.Sprint(i)); err != nil {
			t.Fatalf("Propose() = %v", err)
		}
		c.step()
	}
	h := c.hosts[leader]
	term, _ := h.node.TermAt(h.applied)
	snapshot := &schema.Snapshot{Index: h.applied, Term: term}
	h.stored.Entries, h.stored.Snapshot = h.node.Compact(snapshot), snapshot
	c.start(behind)
	for range 10 {
		c.step()
	}
	if got, want := c.hosts[behind].applied, h.applied; got != want {
		t.Errorf("follower applied up to index %d, want %d", got, want)
	}
}

// TestLogAgainstOracle crashes and isolates random replicas, compacts logs, and loses,
// repeats and reorders messages. All replicas must apply the same entry at each index,
// and the log must accept entries after healing.
func TestLogAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		c := newCluster(size, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		proposed := 0
		pick := func(t *rapid.T) figbank.ProcessID { return rapid.SampledFrom(c.ids).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) { c.step() },
			"steps": func(*rapid.T) {
				for range 25 {
					c.step()
				}
			},
			"tick one": func(t *rapid.T) {
				id := pick(t)
				c.now = c.now.Add(timing.ElectionTimeout)
				if h := c.hosts[id]; !h.down {
					h.node.Tick(c.now)
					c.processReady(id)
				}
			},
			"propose": func(t *rapid.T) {
				id := pick(t)
				if !c.hosts[id].down {
					proposed++
					_ = c.propose(id, fmt.Sprint(proposed))
				}
			},
			"lose": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "at")
					c.inFlight = slices.Delete(c.inFlight, at, at+1)
				}
			},
			"repeat and reorder": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "at")
					c.inFlight = append(c.inFlight, proto.CloneOf(c.inFlight[at]))
				}
			},
			"cut": func(t *rapid.T) { c.isolate(pick(t), rapid.Bool().Draw(t, "cut")) },
			"crash": func(t *rapid.T) {
				id := pick(t)
				c.hosts[id].down = true
			},
			"restart": func(t *rapid.T) {
				if id := pick(t); c.hosts[id].down {
					c.start(id)
				}
			},
			"compact": func(t *rapid.T) {
				h := c.hosts[pick(t)]
				if term, found := h.node.TermAt(h.applied); found && !h.down && h.applied > 0 {
					snapshot := &schema.Snapshot{Index: h.applied, Term: term, Membership: h.node.MembershipAt(h.applied)}
					h.stored.Entries, h.stored.Snapshot = slices.Clone(h.node.Compact(snapshot)), snapshot
				}
			},
		})
		c.checkProgress(t)
	})
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

// A snapshot arrives late: the follower has already synced the entries that follow the snapshot,
// but does not know yet that they are committed. It must not remove those entries, since the leader
// counts them as synced.
func TestLateSnapshotKeepsSyncedEntries(t *testing.T) {
	c := newCluster(3, 8, t.Fatalf)
	leader := c.awaitLeader(t)
	c.steps(3)
	follower := c.ids[0]
	if follower == leader {
		follower = c.ids[1]
	}
	node := c.hosts[follower].node
	base := uint64(node.CommitIndex())
	snapshot := &schema.Snapshot{Index: base + 1, Term: uint64(node.Term()), Membership: c.initial}
	entries := []*schema.Entry{
		{Index: base + 1, Term: uint64(node.Term()), Data: []byte("a")},
		{Index: base + 2, Term: uint64(node.Term()), Data: []byte("b")},
	}
	node.Step(c.now, &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_APPEND, From: string(leader), To: string(follower), Term: uint64(node.Term()),
		LogIndex: base, LogTerm: uint64(node.Term()), Entries: entries, Commit: base,
	})
	c.processReady(follower)
	node.Step(c.now, &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_SNAPSHOT, From: string(leader), To: string(follower), Term: uint64(node.Term()), Snapshot: snapshot,
	})
	if _, found := node.TermAt(base + 2); !found {
		t.Errorf("entry %d is missing after a late snapshot at index %d, want it unchanged", base+2, base+1)
	}
	if got, want := uint64(node.CommitIndex()), base+1; got != want {
		t.Errorf("CommitIndex() = %d, want %d", got, want)
	}
}
