package raft

import (
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
			"hand over": func(t *rapid.T) {
				id := pick(t)
				if h := c.hosts[id]; !h.down {
					h.node.HandOver(c.now)
					c.processReady(id)
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

// A replica that does not vote never campaigns, so it would name a leader that is gone for ever, and
// send commands there.
func TestLearnerForgetsALeaderThatIsGone(t *testing.T) {
	start := time.Unix(1000, 0)
	node := NewNode("learner", nil, timing, rand.New(rand.NewPCG(1, 1)), PersistentState{}, start)
	node.Step(start, &schema.RaftMessage{Kind: schema.RaftKind_RAFT_KIND_APPEND, From: "r0", To: "learner", Term: 1})
	if got := node.Leader(); got != "r0" {
		t.Fatalf("Leader() = %q, want r0", got)
	}
	node.Tick(start.Add(timing.ElectionTimeout / 2))
	if got := node.Leader(); got != "r0" {
		t.Errorf("Leader() within the election timeout = %q, want r0", got)
	}
	node.Tick(start.Add(2 * timing.ElectionTimeout))
	if got := node.Leader(); got != "" {
		t.Errorf("Leader() after the election timeout = %q, want none", got)
	}
}
