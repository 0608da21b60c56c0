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

// startNew starts a replica with an empty disk that is not a member yet.
func (c *cluster) startNew(id figbank.ProcessID) {
	c.ids = append(c.ids, id)
	c.hosts[id] = &host{}
	c.start(id)
}

// loseDisk stops a replica whose disk is lost. The replica never starts again.
func (c *cluster) loseDisk(id figbank.ProcessID) {
	c.hosts[id].down = true
	c.ids = slices.DeleteFunc(c.ids, func(other figbank.ProcessID) bool { return other == id })
}

// proposeMembership proposes a membership to the leader.
func (c *cluster) proposeMembership(leader figbank.ProcessID, voters, learners []figbank.ProcessID) error {
	next := NewMembership(voters...)
	next.Learners = NewMembership(learners...).GetVoters()
	err := c.hosts[leader].node.ProposeMembership(next)
	c.processReady(leader)
	return err
}

func (c *cluster) steps(count int) {
	for range count {
		c.step()
	}
}

// A voter that has lost its disk is replaced while the other two still form a
// majority. Then a second disk is lost. Committed entries must survive both losses.
func TestSecondDiskLossAfterReplacement(t *testing.T) {
	c := newCluster(3, 5, t.Fatalf)
	leader := c.awaitLeader(t)
	others := slices.DeleteFunc(slices.Clone(c.ids), func(id figbank.ProcessID) bool { return id == leader })
	if err := c.propose(leader, "kept"); err != nil {
		t.Fatalf("Propose() = %v", err)
	}
	c.steps(3)
	c.loseDisk(others[0])
	c.startNew("new")
	if err := c.proposeMembership(leader, []figbank.ProcessID{leader, others[0], others[1]}, []figbank.ProcessID{"new"}); err != nil {
		t.Fatalf("adding a learner = %v", err)
	}
	c.steps(10)
	if err := c.proposeMembership(leader, []figbank.ProcessID{leader, "new", others[1]}, nil); err != nil {
		t.Fatalf("replacing a voter = %v", err)
	}
	c.steps(10)
	if got := idsOf(c.hosts[leader].node.Membership().GetVoters()); !slices.Contains(got, "new") || !c.hosts[leader].node.MembershipSettled() {
		t.Fatalf("voters = %v, settled %v, want \"new\" among them and settled true", got, c.hosts[leader].node.MembershipSettled())
	}
	c.loseDisk(leader)
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
		t.Errorf("new replica applied up to index %d, want %d", got, want)
	}
}

// A replica that has lost its disk comes back at the same address under another id.
// It must ignore messages for its old id, and must not start an election until it is
// added.
func TestMessagesForAnotherReplicaAreDropped(t *testing.T) {
	c := newCluster(3, 6, t.Fatalf)
	leader := c.awaitLeader(t)
	c.startNew("replacement")
	c.hosts["replacement"].node.Step(c.now, &schema.RaftMessage{
		Kind: schema.RaftKind_RAFT_KIND_VOTE, From: string(leader), To: "r-old", Term: 99,
	})
	if ready := c.hosts["replacement"].node.Ready(); len(ready.Messages) != 0 || ready.HardState != nil {
		t.Errorf("Ready() = %v, want nothing", ready)
	}
	c.steps(100)
	if got := c.hosts["replacement"].node.Role(); got != Follower {
		t.Errorf("role of a replica that was not added = %v, want Follower", got)
	}
}

// TestMembershipAgainstOracle replaces voters at random while it loses disks one
// after another, crashes and isolates replicas, and compacts logs. All replicas must
// apply the same entry at each index, and the log must accept entries after healing.
func TestMembershipAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		added, proposed := 0, 0
		// toReplace is the voter that is being replaced, either because its disk was lost or as
		// planned. It is "" if there is none.
		toReplace := figbank.ProcessID("")
		pick := func(t *rapid.T) figbank.ProcessID { return rapid.SampledFrom(c.ids).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"steps": func(t *rapid.T) { c.steps(rapid.IntRange(1, 25).Draw(t, "count")) },
			"propose": func(*rapid.T) {
				if leader, found := c.leader(); found {
					proposed++
					_ = c.propose(leader, fmt.Sprint(proposed))
				}
			},
			"hand over": func(t *rapid.T) {
				id := pick(t)
				if h := c.hosts[id]; !h.down {
					h.node.HandOver(c.now)
					c.processReady(id)
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
				// Only one disk is lost at a time, since three voters survive the loss of one.
				// No disk is lost during a membership change, which may depend on that disk.
				if toReplace != "" || !c.allSettled() {
					return
				}
				toReplace = pick(t)
				c.loseDisk(toReplace)
				added++
				c.startNew(figbank.ProcessID(fmt.Sprintf("n%d", added)))
			},
			"retire a healthy voter": func(t *rapid.T) {
				if toReplace == "" && c.allSettled() {
					toReplace = pick(t)
					added++
					c.startNew(figbank.ProcessID(fmt.Sprintf("n%d", added)))
				}
			},
			"repair": func(*rapid.T) {
				c.stepReplacement(toReplace)
				if toReplace != "" && c.replaced(toReplace) {
					toReplace = ""
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
		c.cutLinks = map[[2]figbank.ProcessID]bool{}
		for _, id := range c.ids {
			if c.hosts[id].down {
				c.start(id)
			}
		}
		for range 20 {
			c.steps(30)
			c.stepReplacement(toReplace)
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
			if got, want := h.applied, c.hosts[leader].applied; got != want && figbank.ProcessID(id) != toReplace {
				t.Fatalf("%s applied up to index %d after healing, want %d", id, got, want)
			}
		}
	})
}

// stepReplacement proposes the next step in the replacement of a voter, in the order of
// voters.NextMembership. First it adds the newest replica as a learner. Once the learner has caught
// up, it makes the learner a voter in place of toReplace.
func (c *cluster) stepReplacement(toReplace figbank.ProcessID) {
	leader, found := c.leader()
	if !found || toReplace == "" {
		return
	}
	node := c.hosts[leader].node
	members := node.Membership()
	if !node.MembershipSettled() || !containsVoter(members.GetVoters(), toReplace) {
		return
	}
	spare := c.ids[len(c.ids)-1]
	var voters []figbank.ProcessID
	for _, id := range idsOf(members.GetVoters()) {
		voters = append(voters, figbank.ProcessID(id))
	}
	if !containsVoter(members.GetLearners(), spare) {
		_ = c.proposeMembership(leader, voters, []figbank.ProcessID{spare})
		return
	}
	if node.MatchIndex(spare) < uint64(node.CommitIndex()) {
		return
	}
	voters[slices.Index(voters, toReplace)] = spare
	_ = c.proposeMembership(leader, voters, nil)
}

// replaced reports whether no replica's membership lists id as a voter any more.
func (c *cluster) replaced(id figbank.ProcessID) bool {
	for _, other := range c.ids {
		members := c.hosts[other].node.Membership()
		if containsVoter(members.GetVoters(), id) || containsVoter(members.GetOutgoing(), id) {
			return false
		}
	}
	return true
}

// allSettled reports whether all replicas have the same voters and no membership
// change in progress.
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
