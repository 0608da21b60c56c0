package raft

import (
	"fmt"
	"slices"
	"testing"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func idsOf(voters []*schema.Voter) []string {
	var ids []string
	for _, voter := range voters {
		ids = append(ids, voter.GetId())
	}
	return ids
}

// add starts an empty replica that waits to be added.
func (c *cluster) add(id figbank.ProcessID) {
	c.ids = append(c.ids, id)
	c.hosts[id] = &host{}
	c.start(id)
}

// lose takes a replica's disk away for good.
func (c *cluster) lose(id figbank.ProcessID) {
	c.hosts[id].down = true
	c.ids = slices.DeleteFunc(c.ids, func(other figbank.ProcessID) bool { return other == id })
}

// change proposes a membership at the leader.
func (c *cluster) change(leader figbank.ProcessID, voters, learners []figbank.ProcessID) error {
	next := MembersOf(voters...)
	next.Learners = MembersOf(learners...).GetVoters()
	err := c.hosts[leader].node.ProposeMembership(next)
	c.work(leader)
	return err
}

func (c *cluster) steps(count int) {
	for range count {
		c.step()
	}
}

// A voter that has lost its disk is replaced while the other two carry the log;
// then a second one is lost, and what was accepted is still there.
func TestSecondLossRightAfterARepair(t *testing.T) {
	c := newCluster(3, 5, t.Fatalf)
	leader := c.awaitLeader(t)
	others := slices.DeleteFunc(slices.Clone(c.ids), func(id figbank.ProcessID) bool { return id == leader })
	if err := c.propose(leader, "kept"); err != nil {
		t.Fatalf("Propose() = %v", err)
	}
	c.steps(3)
	c.lose(others[0])
	c.add("new")
	if err := c.change(leader, []figbank.ProcessID{leader, others[0], others[1]}, []figbank.ProcessID{"new"}); err != nil {
		t.Fatalf("adding a learner = %v", err)
	}
	c.steps(10)
	if err := c.change(leader, []figbank.ProcessID{leader, "new", others[1]}, nil); err != nil {
		t.Fatalf("swapping = %v", err)
	}
	c.steps(10)
	if got := idsOf(c.hosts[leader].node.Membership().GetVoters()); !slices.Contains(got, "new") || !c.hosts[leader].node.MembershipSettled() {
		t.Fatalf("voters = %v, settled %v, want new among them", got, c.hosts[leader].node.MembershipSettled())
	}
	c.lose(leader)
	c.steps(60)
	next, found := c.leader()
	if !found {
		t.Fatal("no leader after the second loss")
	}
	if err := c.propose(next, "more"); err != nil {
		t.Fatalf("Propose() after the second loss = %v", err)
	}
	c.steps(10)
	if got, want := c.hosts["new"].applied, c.hosts[others[1]].applied; got != want || got < 4 {
		t.Errorf("new replica applied %d, want all %d", got, want)
	}
}

// A replica at the address of one that lost its disk has another id: what is
// meant for its old self, it does not take, and it has no vote of its old self.
func TestMessagesForAnotherReplicaAreDropped(t *testing.T) {
	c := newCluster(3, 6, t.Fatalf)
	leader := c.awaitLeader(t)
	c.add("reborn")
	c.hosts["reborn"].node.Step(c.now, &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_VOTE, From: string(leader), To: "r-old", Term: 99,
	})
	if ready := c.hosts["reborn"].node.Ready(); len(ready.Messages) != 0 || ready.HardState != nil {
		t.Errorf("Ready() = %v, want nothing", ready)
	}
	c.steps(100)
	if got := c.hosts["reborn"].node.Role(); got != Follower {
		t.Errorf("role of a replica that nobody added = %v, want Follower", got)
	}
}

// TestMembershipAgainstOracle replaces voters, loses disks one after another,
// crashes, cuts and compacts. Whatever is applied at an index stays so, on all
// replicas, and the log goes on in the end.
func TestMembershipAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		names, proposed := 0, 0
		// wounded is the voter that is to be replaced: its disk is lost, or it is planned.
		wounded := figbank.ProcessID("")
		pick := func(t *rapid.T) figbank.ProcessID { return rapid.SampledFrom(c.ids).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"steps": func(t *rapid.T) { c.steps(rapid.IntRange(1, 25).Draw(t, "count")) },
			"propose": func(*rapid.T) {
				if leader, found := c.leader(); found {
					proposed++
					_ = c.propose(leader, fmt.Sprint(proposed))
				}
			},
			"cut":   func(t *rapid.T) { c.isolate(pick(t), rapid.Bool().Draw(t, "cut")) },
			"crash": func(t *rapid.T) { c.hosts[pick(t)].down = true },
			"restart": func(t *rapid.T) {
				if id := pick(t); c.hosts[id].down {
					c.start(id)
				}
			},
			"lose a disk": func(t *rapid.T) {
				// One voter at a time, as the deployment is declared to bear, and no
				// change under way on any replica that could need it.
				if wounded != "" || !c.allSettled() {
					return
				}
				wounded = pick(t)
				c.lose(wounded)
				names++
				c.add(figbank.ProcessID(fmt.Sprintf("n%d", names)))
			},
			"retire a sound voter": func(t *rapid.T) {
				if wounded == "" && c.allSettled() {
					wounded = pick(t)
					names++
					c.add(figbank.ProcessID(fmt.Sprintf("n%d", names)))
				}
			},
			"repair": func(*rapid.T) {
				c.repair(wounded)
				if wounded != "" && c.replaced(wounded) {
					wounded = ""
				}
			},
			"compact": func(t *rapid.T) {
				h := c.hosts[pick(t)]
				if term, found := h.node.TermAt(h.applied); found && !h.down && h.applied > 0 {
					snapshot := &schema.Snapshot{Index: h.applied, Term: term, Membership: h.node.MembershipAt(h.applied)}
					h.stored.Entries, h.stored.Snapshot = slices.Clone(h.node.Compact(snapshot)), proto.CloneOf(snapshot)
				}
			},
		})
		c.cut = map[[2]figbank.ProcessID]bool{}
		for _, id := range c.ids {
			if c.hosts[id].down {
				c.start(id)
			}
		}
		for range 20 {
			c.steps(30)
			c.repair(wounded)
		}
		leader, found := c.leader()
		if !found {
			t.Fatal("no leader after healing")
		}
		if err := c.propose(leader, "last"); err != nil {
			t.Fatalf("Propose() = %v", err)
		}
		c.steps(20)
		for _, id := range idsOf(c.hosts[leader].node.Membership().GetVoters()) {
			h := c.hosts[figbank.ProcessID(id)]
			if got, want := h.applied, c.hosts[leader].applied; got != want && figbank.ProcessID(id) != wounded {
				t.Fatalf("%s applied %d after healing, want %d", id, got, want)
			}
		}
	})
}

// repair does what voters.Decide does: a learner first, then the swap.
func (c *cluster) repair(wounded figbank.ProcessID) {
	leader, found := c.leader()
	if !found || wounded == "" {
		return
	}
	node := c.hosts[leader].node
	members := node.Membership()
	if !node.MembershipSettled() || !holds(members.GetVoters(), wounded) {
		return
	}
	spare := c.ids[len(c.ids)-1]
	var voters []figbank.ProcessID
	for _, id := range idsOf(members.GetVoters()) {
		voters = append(voters, figbank.ProcessID(id))
	}
	if !holds(members.GetLearners(), spare) {
		_ = c.change(leader, voters, []figbank.ProcessID{spare})
		return
	}
	if node.Match(spare) < uint64(node.Commit()) {
		return
	}
	voters[slices.Index(voters, wounded)] = spare
	_ = c.change(leader, voters, nil)
}

// replaced tells whether no replica's membership names a voter any more.
func (c *cluster) replaced(id figbank.ProcessID) bool {
	for _, other := range c.ids {
		members := c.hosts[other].node.Membership()
		if holds(members.GetVoters(), id) || holds(members.GetOutgoing(), id) {
			return false
		}
	}
	return true
}

// allSettled tells whether every replica knows the same voters and no change.
func (c *cluster) allSettled() bool {
	var voters []string
	for _, id := range c.ids {
		node := c.hosts[id].node
		ids := idsOf(node.Membership().GetVoters())
		if !node.MembershipSettled() || voters != nil && !slices.Equal(ids, voters) {
			return false
		}
		voters = ids
	}
	return true
}
