package replica

import (
	"fmt"
	"slices"
	"testing"

	"figbank/raft"
	"figbank/schema"
)

// A deployment configured for the loss of two disks loses the disks of the leader
// and of the most advanced follower, and all hosts lose power. It must not lose
// anything that it has acknowledged, and must elect a leader again.
func TestAcknowledgedRulesSurviveTwoLostDisks(t *testing.T) {
	for seed := range uint64(20) {
		m := newSimulation(seed, 2, t.Fatalf)
		m.advance(2 * silenceTicks)
		for number := range int64(5) {
			m.lastNumber = number + 1
			m.publish(m.leaderOr(m.hosts[0]), m.lastNumber)
		}
		m.advance(1)
		if got, want := m.acknowledged, m.lastNumber; got != want {
			t.Fatalf("seed %d: acknowledged %d, want %d", seed, got, want)
		}
		voterHosts := m.votersByProgress()
		for _, h := range m.hosts {
			m.stop(h, true, 0)
		}
		m.loseDisk(voterHosts[0])
		m.loseDisk(voterHosts[1])
		m.startAll()
		m.advance(2 * silenceTicks)
		leader := m.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader:%s", seed, m.describe())
		}
		if got, want := leader.replica.state.Fleet().GetTrafficNumber(), m.acknowledged; got != want {
			t.Fatalf("seed %d: number %d is in force, want %d:%s", seed, got, want, m.describe())
		}
	}
}

// votersByProgress lists the voters' hosts: the leader first, then the others by
// how far they have applied the log.
func (m *simulation) votersByProgress() []*simulatedHost {
	leader := m.leader()
	voters := idsOf(leader.replica.node.Membership().GetVoters())
	voterHosts := slices.DeleteFunc(slices.Clone(m.hosts), func(h *simulatedHost) bool { return !slices.Contains(voters, string(h.id)) })
	slices.SortStableFunc(voterHosts, func(a, b *simulatedHost) int {
		return progress(b) - progress(a)
	})
	return voterHosts
}

func progress(h *simulatedHost) int {
	if h.replica.node.Role() == raft.Leader {
		return 1 << 30
	}
	return int(h.replica.state.Applied())
}

// Upstreams that have been told that their leave is known are still known to leave after the replicas
// that told them lost their disks and all hosts lost power.
func TestAcknowledgedLeavesSurviveLostDisks(t *testing.T) {
	for seed := range uint64(10) {
		m := newSimulation(seed, 1, t.Fatalf)
		m.advance(2 * silenceTicks)
		for i := range 20 {
			m.propose(m.leaderOr(m.hosts[0]), &schema.Command{Action: &schema.Command_Leave{Leave: &schema.Leave{Upstream: &schema.Instance{
				Id: fmt.Sprint("i", i), Service: "s", Address: "10.0.0.1:80", BornUnixMilli: 1, State: schema.InstanceState_INSTANCE_STATE_GONE,
			}}}}, -1)
		}
		m.advance(1)
		if got := len(m.pending); got != 0 {
			t.Fatalf("seed %d: %d leaves are not acknowledged", seed, got)
		}
		first := m.votersByProgress()[0]
		for _, h := range m.hosts {
			m.stop(h, true, 0)
		}
		m.loseDisk(first)
		m.startAll()
		m.advance(2 * silenceTicks)
		for _, h := range m.hosts {
			if got, want := len(h.leaves), 20; h.replica.node.CommitIndex() > 0 && got != want {
				t.Fatalf("seed %d: %s reports %d leaves, want %d:%s", seed, h.id, got, want, m.describe())
			}
		}
	}
}
