package replica

import (
	"fmt"
	"slices"

	"figbank"
	"figbank/fake"
	"figbank/raft"
	"figbank/voters"
)

// partition blocks all links between the hosts in the bit set side and the others,
// in both directions.
func (m *simulation) partition(side int) {
	m.blocked = map[[2]int]bool{}
	for from := range hostCount {
		for to := range hostCount {
			if side>>from&1 != side>>to&1 {
				m.blocked[[2]int{from, to}] = true
			}
		}
	}
}

// startOne starts the first stopped replica, searching from the host with index from and
// wrapping around.
func (m *simulation) startOne(from int) {
	for i := range hostCount {
		h := m.hosts[(from+i)%hostCount]
		if h.replica == nil {
			h.disk.HealSyncs()
			m.start(h)
			return
		}
	}
}

func (m *simulation) startAll() {
	for _, h := range m.hosts {
		if h.replica == nil {
			h.disk.HealSyncs()
			m.start(h)
		}
	}
}

// stop ends a replica. If powerLoss is set, the disk also discards the unsynced end of each file,
// but keeps up to torn bytes of it.
func (m *simulation) stop(h *simulatedHost, powerLoss bool, torn int) {
	h.replica = nil
	if powerLoss {
		h.disk.Crash(torn)
	}
}

// loseDisk gives a host an empty disk and a new id at its old address.
func (m *simulation) loseDisk(h *simulatedHost) {
	m.lostReplica = h.id
	h.disksLost++
	h.replica, h.disk, h.initialVoter, h.rewriteLog = nil, fake.NewDisk(), false, false
	h.id = figbank.ProcessID(fmt.Sprintf("%s-%d", h.name(), h.disksLost))
	m.start(h)
}

// replace ends a host for good. Another one with an empty disk starts at a new address.
func (m *simulation) replace(h *simulatedHost) {
	h.generation++
	h.leaving = false
	m.loseDisk(h)
}

// canLoseDisk reports whether the deployment can survive the loss of another disk: all replicas run
// and agree on the voters, the wanted number of replicas votes, and no replica still lists
// lostReplica.
func (m *simulation) canLoseDisk() bool {
	var agreed []string
	for _, h := range m.hosts {
		if h.replica == nil {
			return false
		}
		members := h.replica.node.Membership()
		ids := idsOf(members.GetVoters())
		if len(ids) == 0 {
			continue
		}
		counted := append(idsOf(members.GetLearners()), ids...)
		if !h.replica.node.MembershipSettled() || agreed != nil && !slices.Equal(agreed, ids) || slices.Contains(counted, string(m.lostReplica)) {
			return false
		}
		agreed = ids
	}
	return len(agreed) == voters.RequiredVoters(m.maxLostDisks)
}

func (m *simulation) heal() {
	m.blocked, m.lossPercent = map[[2]int]bool{}, 0
	for _, h := range m.hosts {
		h.leaving = false
		h.disk.HealSyncs()
	}
	m.startAll()
}

// leaderOr returns the leader's host, or other if there is no leader.
func (m *simulation) leaderOr(other *simulatedHost) *simulatedHost {
	if leader := m.leader(); leader != nil {
		return leader
	}
	return other
}

// leader returns the host of the leader with the highest term, or nil if there is no
// leader.
func (m *simulation) leader() *simulatedHost {
	var leader *simulatedHost
	for _, h := range m.hosts {
		if h.replica == nil || h.replica.node.Role() != raft.Leader {
			continue
		}
		if leader == nil || h.replica.node.Term() > leader.replica.node.Term() {
			leader = h
		}
	}
	return leader
}

// describe returns each replica's view of the cluster.
func (m *simulation) describe() string {
	text := ""
	for _, h := range m.hosts {
		if h.replica == nil {
			text += fmt.Sprintf("\n%s is down", h.id)
			continue
		}
		node := h.replica.node
		members := node.Membership()
		text += fmt.Sprintf("\n%s is %v in term %d, applied %d, committed %d, voters %v, before %v, learners %v", h.id, node.Role(), node.Term(),
			h.replica.state.Applied(), node.CommitIndex(), idsOf(members.GetVoters()), idsOf(members.GetOutgoing()), idsOf(members.GetLearners()))
	}
	return text
}
