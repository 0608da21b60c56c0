package replica

import (
	"math/rand/v2"
	"slices"
	"testing"

	"figbank/voters"
)

const (
	// restartTicks is the time that a lost host needs to be back.
	restartTicks = 100
	// catchUpTicks is the time from a host's return to the next loss, as the bounds of a platform
	// promise it: 4 s.
	catchUpTicks = 400
	// cutTicks is how long a leader is cut off, so that another one is elected.
	cutTicks = 150
)

// loss is a kind of loss of one host. The host runs again when the function returns.
type loss struct {
	name string
	act  func(m *simulation, h *simulatedHost)
}

var losses = []loss{
	{name: "replaced", act: func(m *simulation, h *simulatedHost) {
		m.stop(h, true, 0)
		m.advance(restartTicks)
		m.replace(h)
	}},
	{name: "wiped", act: func(m *simulation, h *simulatedHost) {
		m.stop(h, true, 0)
		m.advance(restartTicks)
		m.loseDisk(h)
	}},
	{name: "killed", act: func(m *simulation, h *simulatedHost) {
		m.stop(h, true, 0)
		m.advance(restartTicks)
		m.start(h)
	}},
	{name: "cut off", act: func(m *simulation, h *simulatedHost) {
		m.partition(1 << h.index)
		m.advance(cutTicks)
		m.partition(0)
	}},
}

// newSmallSimulation runs a deployment of a number of hosts that all vote in the end.
func newSmallSimulation(t *testing.T, seed uint64, hosts int, options ...func(*simulation)) *simulation {
	t.Helper()
	m := newSimulation(seed, (hosts-1)/2, t.Fatalf, options...)
	for _, h := range m.hosts[hosts:] {
		m.stop(h, false, 0)
	}
	m.hosts = m.hosts[:hosts]
	m.advance(2 * catchUpTicks)
	return m
}

// checkVoters fails the test unless all voters run, as many as are wanted.
func (m *simulation) checkVoters(after []string) {
	leader := m.leader()
	if leader == nil {
		m.fail("no leader after %v:%s", after, m.describe())
		return
	}
	ids := idsOf(leader.replica.node.Membership().GetVoters())
	for _, id := range ids {
		if h := m.hostOf(id); h == nil || h.replica == nil {
			m.fail("%s votes and does not run after %v:%s", id, after, m.describe())
		}
	}
	if got, want := len(ids), voters.RequiredVoters(m.maxLostDisks); got != want {
		m.fail("%d voters after %v, want %d:%s", got, after, want, m.describe())
	}
}

// One replica is replaced, another is wiped and later replaced, all under one leader. What the first
// one had reported must not make the leader propose the wiped replica's first id for ever, in place of
// the third voter. The loss of one more replica would leave the log without a majority for good.
func TestLeaderDoesNotProposeReplicaThatIsGone(t *testing.T) {
	for seed := range uint64(10) {
		m := newSmallSimulation(t, seed, 3)
		for range 40 {
			m.read(m.leader())
			m.advance(1)
		}
		leader := m.leader()
		others := slices.DeleteFunc(slices.Clone(m.hosts), func(h *simulatedHost) bool { return h == leader })
		steps := []struct {
			kind int
			host *simulatedHost
		}{{kind: 0, host: others[0]}, {kind: 1, host: others[1]}, {kind: 0, host: others[1]}, {kind: 0, host: others[0]}}
		var done []string
		for _, s := range steps {
			losses[s.kind].act(m, s.host)
			m.advance(catchUpTicks)
			done = append(done, s.host.name()+" "+losses[s.kind].name)
			m.checkVoters(done)
		}
	}
}

// Losses that the deployment bears come one after another, in random order and under random leaders.
// Once the time to catch up after the last one is over, all voters must run, so that the next loss
// leaves a majority.
func TestLossesInAnyOrderLeaveAllVotersRunning(t *testing.T) {
	const lossCount = 8
	for _, hosts := range []int{3, 5} {
		for seed := range uint64(30) {
			m := newSmallSimulation(t, seed, hosts)
			random := rand.New(rand.NewPCG(seed, uint64(hosts)))
			var done []string
			for range lossCount {
				for range 1 + random.IntN(m.maxLostDisks) {
					kind, h := losses[random.IntN(len(losses))], m.hosts[random.IntN(hosts)]
					if random.IntN(3) == 0 {
						h = m.leaderOr(h)
					}
					kind.act(m, h)
					done = append(done, h.name()+" "+kind.name)
				}
				m.advance(catchUpTicks)
				m.checkVoters(done)
			}
		}
	}
}
