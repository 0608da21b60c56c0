package replica

import (
	"slices"
	"testing"

	"figbank/raft"
)

// A deployment that bears the loss of two disks at once keeps what it has
// acknowledged, and elects a leader again, while all others lose power too.
func TestTwoDisksLostTogetherForgetNothing(t *testing.T) {
	for seed := range uint64(20) {
		m := newMachine(seed, 2, t.Fatalf)
		m.time(2 * silenceTicks)
		for number := range int64(5) {
			m.numbers = number + 1
			m.publish(m.leaderOr(m.hosts[0]), m.numbers)
		}
		m.time(1)
		if got, want := m.acknowledged, m.numbers; got != want {
			t.Fatalf("seed %d: acknowledged %d, want %d", seed, got, want)
		}
		holders := m.holders()
		for _, h := range m.hosts {
			m.stop(h, true, 0)
		}
		m.loseDisk(holders[0])
		m.loseDisk(holders[1])
		m.startAll()
		m.time(2 * silenceTicks)
		leader := m.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader:%s", seed, m.describe())
		}
		if got, want := leader.replica.state.Fleet().GetTrafficNumber(), m.acknowledged; got != want {
			t.Fatalf("seed %d: number %d is in force, want %d:%s", seed, got, want, m.describe())
		}
	}
}

// holders lists the voters, the leader first, then by how much each has synced.
func (m *machine) holders() []*machineHost {
	leader := m.leader()
	voters := idsOf(leader.replica.node.Membership().GetVoters())
	holders := slices.DeleteFunc(slices.Clone(m.hosts), func(h *machineHost) bool { return !slices.Contains(voters, string(h.id)) })
	slices.SortStableFunc(holders, func(a, b *machineHost) int {
		return rank(b) - rank(a)
	})
	return holders
}

func rank(h *machineHost) int {
	if h.replica.node.Role() == raft.Leader {
		return 1 << 30
	}
	return int(h.replica.state.Applied())
}
