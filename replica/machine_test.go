package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"figbank"
	"figbank/fake"
	"figbank/raft"
	"figbank/schema"
	"figbank/timeline"
	"figbank/voters"
)

const (
	machineTick = 10 * time.Millisecond
	// machineVoters are the first voters.
	machineVoters = 3
	machineHosts  = 5
	// mostMessages is more than one tick can need.
	mostMessages = 20_000
	// silenceTicks is longer than a voter may be silent.
	silenceTicks = 350
)

var machineTiming = raft.Timing{ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond}

type (
	// machine runs replicas as they are, log on disk and replacement of voters
	// included, over a network and disks that fail, against an oracle of one
	// register: the number of the traffic rules in force.
	machine struct {
		fail   func(format string, args ...any)
		now    time.Time
		random *rand.Rand
		hosts  []*machineHost
		wire   []*schema.RaftMessage
		// cut links lose messages, in one direction; lossPercent is that of the others.
		cut         map[[2]int]bool
		lossPercent int
		asked       []*question
		numbers     int64
		// acknowledged is the highest number that anybody was told is accepted.
		acknowledged int64
		// states is what each place of the log must look like, on all replicas.
		states map[figbank.CommitIndex]string
		// lostDisks is how many disks may be lost at once.
		lostDisks int
		// wounded is the id of the replica that lost its disk last, until no replica
		// names it a voter any more.
		wounded figbank.ProcessID
	}

	machineHost struct {
		place   int
		id      figbank.ProcessID
		lives   int
		first   bool
		disk    *fake.Disk
		replica *Replica
		// broken disks failed a sync; the replica must write its log anew.
		broken  bool
		leaving bool
	}

	// question is a command on its way through a replica; one that ends leaves it
	// open what became of the command.
	question struct {
		replica *Replica
		answer  chan *schema.ProposeAnswer
		// number is the offered one, 0 for a read, which must show least at least, and
		// negative for another command.
		number, least int64
	}

	machineClock struct{ *machine }
)

func (c machineClock) Now() time.Time                              { return c.now }
func (machineClock) After(time.Duration) <-chan time.Time          { return nil }
func (machineClock) Tick(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

func newMachine(seed uint64, lostDisks int, fail func(string, ...any)) *machine {
	m := &machine{
		fail: fail, lostDisks: lostDisks, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		cut: map[[2]int]bool{}, states: map[figbank.CommitIndex]string{},
	}
	for place := range machineHosts {
		h := &machineHost{place: place, disk: fake.NewDisk(), first: place < machineVoters}
		h.id = figbank.ProcessID(fmt.Sprintf("h%d-0", place))
		m.hosts = append(m.hosts, h)
	}
	for _, h := range m.hosts {
		m.start(h)
	}
	return m
}

func (h *machineHost) address() figbank.Address {
	return figbank.Address("a" + strconv.Itoa(h.place))
}

// start opens a replica on what its disk holds.
func (m *machine) start(h *machineHost) {
	settings := Settings{Timing: machineTiming, SnapshotEntries: 12, LostDisks: m.lostDisks, Rewrite: h.broken, Address: h.address()}
	if h.first {
		settings.Voters = map[figbank.ProcessID]figbank.Address{}
		for place := range machineVoters {
			settings.Voters[figbank.ProcessID(fmt.Sprintf("h%d-0", place))] = figbank.Address("a" + strconv.Itoa(place))
		}
	}
	common := figbank.Common{
		Process: h.id, Log: zap.NewNop(), Clock: machineClock{m}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder(h.id, machineClock{m}, 1),
	}
	random := rand.New(rand.NewPCG(m.random.Uint64(), 3))
	r, err := open(common, settings, h.disk, nil, WithRandom(random), WithReplicas(m.known))
	if err != nil {
		if !h.broken {
			m.fail("%s does not open its log: %v", h.id, err)
		}
		return
	}
	r.deliver = func(_ context.Context, message *schema.RaftMessage) {
		message.FromAddress = string(r.settings.Address)
		m.wire = append(m.wire, proto.CloneOf(message))
	}
	h.replica, h.broken = r, false
	m.check(h)
}

// known lists what announces itself: replicas that run, wherever they stand.
func (m *machine) known() []voters.Replica {
	var list []voters.Replica
	for _, h := range m.hosts {
		if h.replica != nil {
			list = append(list, voters.Replica{ID: h.id, Address: h.address(), Leaving: h.leaving})
		}
	}
	return list
}

// work does what a replica's loop does after each input.
func (m *machine) work(h *machineHost) {
	if err := h.replica.work(context.Background()); err != nil {
		h.replica, h.broken = nil, true
		return
	}
	h.replica.dropWaiting()
	m.check(h)
}

// check compares a replica's state with the others' at the same place of the log.
func (m *machine) check(h *machineHost) {
	fleet := h.replica.state.Fleet()
	content := fmt.Sprintf("%d %v at %d", fleet.GetTrafficNumber(), fleet.GetEvacuated(), fleet.GetCommitIndex())
	applied := h.replica.state.Applied()
	if known, found := m.states[applied]; found && known != content {
		m.fail("%s has %q after entry %d, another replica %q", h.id, content, applied, known)
	}
	m.states[applied] = content
}

func (m *machine) time(ticks int) {
	for range ticks {
		m.now = m.now.Add(machineTick)
		for _, h := range m.hosts {
			if h.replica != nil {
				h.replica.node.Tick(m.now)
				h.replica.reviewMembers()
				m.work(h)
			}
		}
		m.deliver()
	}
	m.hear()
}

// deliver hands over what is on the wire, some of it lost, late or twice.
func (m *machine) deliver() {
	late := m.wire
	m.wire = nil
	var twice []*schema.RaftMessage
	for count := 0; len(late) > 0; count++ {
		if count > mostMessages {
			m.fail("messages go back and forth without end, the next is %v%s", late[0], m.describe())
		}
		message := late[0]
		late = late[1:]
		to, from := m.hostOf(message.GetTo()), m.hostOf(message.GetFrom())
		lost := m.random.IntN(100) < m.lossPercent
		if to == nil || from == nil || to.replica == nil || lost || m.cut[[2]int{from.place, to.place}] {
			continue
		}
		if m.random.IntN(100) < m.lossPercent/4 {
			twice = append(twice, proto.CloneOf(message))
		}
		to.replica.take(m.now, input{message: message})
		m.work(to)
		late = append(late, m.wire...)
		m.wire = nil
	}
	m.wire = twice
}

func (m *machine) hostOf(id string) *machineHost {
	i := slices.IndexFunc(m.hosts, func(h *machineHost) bool { return string(h.id) == id })
	if i < 0 {
		return nil
	}
	return m.hosts[i]
}

// ask sends a command to a replica that believes to lead, if there is one.
func (m *machine) ask(h *machineHost, command *schema.Command, number int64) {
	if h.replica == nil || h.replica.node.Role() != raft.Leader {
		return
	}
	q := &question{replica: h.replica, answer: make(chan *schema.ProposeAnswer, 1), number: number, least: m.acknowledged}
	m.asked = append(m.asked, q)
	h.replica.take(m.now, input{proposal: proposal{command: command, answer: q.answer}})
	m.work(h)
	m.hear()
}

// hear takes in answers: accepted numbers must never be unseen by a later read.
func (m *machine) hear() {
	m.asked = slices.DeleteFunc(m.asked, func(q *question) bool {
		select {
		case answer := <-q.answer:
			m.judge(q, answer)
			return true
		default:
			return !m.runs(q.replica)
		}
	})
}

func (m *machine) runs(replica *Replica) bool {
	return slices.ContainsFunc(m.hosts, func(h *machineHost) bool { return h.replica == replica })
}

func (m *machine) judge(q *question, answer *schema.ProposeAnswer) {
	switch {
	case answer.GetResult() == nil, q.number < 0:
		return
	case q.number > 0:
		m.acknowledged = max(m.acknowledged, q.number)
		return
	}
	got, _ := strconv.ParseInt(string(answer.GetResult().GetPackedDocument()), 10, 64)
	if got < q.least {
		m.fail("a read shows number %d, after %d was acknowledged", got, q.least)
	}
}

func (m *machine) publish(h *machineHost, number int64) {
	m.ask(h, &schema.Command{Action: &schema.Command_PublishTraffic{PublishTraffic: &schema.PublishTraffic{
		Number: number, PackedDocument: []byte(strconv.FormatInt(number, 10)),
	}}}, number)
}

func (m *machine) read(h *machineHost) {
	m.ask(h, &schema.Command{Action: &schema.Command_ReadTraffic{ReadTraffic: &schema.ReadTraffic{}}}, 0)
}

func (m *machine) evacuate(h *machineHost, domain string, withdraw bool) {
	m.ask(h, &schema.Command{Action: &schema.Command_Evacuate{Evacuate: &schema.Evacuate{FailureDomain: domain, Withdraw: withdraw}}}, -1)
}

// split cuts the hosts of one side from the others, both ways.
func (m *machine) split(side int) {
	m.cut = map[[2]int]bool{}
	for from := range machineHosts {
		for to := range machineHosts {
			if side>>from&1 != side>>to&1 {
				m.cut[[2]int{from, to}] = true
			}
		}
	}
}

// startFirst starts the first replica that is down, counted from a place on.
func (m *machine) startFirst(from int) {
	for i := range machineHosts {
		h := m.hosts[(from+i)%machineHosts]
		if h.replica == nil {
			h.disk.HealSyncs()
			m.start(h)
			return
		}
	}
}

func (m *machine) startAll() {
	for _, h := range m.hosts {
		if h.replica == nil {
			h.disk.HealSyncs()
			m.start(h)
		}
	}
}

// stop ends a replica; a loss of power also drops what is not synced.
func (m *machine) stop(h *machineHost, power bool, torn int) {
	h.replica = nil
	if power {
		h.disk.Crash(torn)
	}
}

// loseDisk gives a host an empty disk and a new id, at its old address.
func (m *machine) loseDisk(h *machineHost) {
	m.wounded = h.id
	h.lives++
	h.replica, h.disk, h.first, h.broken = nil, fake.NewDisk(), false, false
	h.id = figbank.ProcessID(fmt.Sprintf("h%d-%d", h.place, h.lives))
	m.start(h)
}

// mayLoseDisk tells whether the deployment still bears the loss of a disk: all
// run and agree on who votes and learns, and nobody counts on the one lost before.
func (m *machine) mayLoseDisk() bool {
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
		if !h.replica.node.MembershipSettled() || agreed != nil && !slices.Equal(agreed, ids) || slices.Contains(counted, string(m.wounded)) {
			return false
		}
		agreed = ids
	}
	return len(agreed) == voters.Wanted(m.lostDisks)
}

func (m *machine) heal() {
	m.cut, m.lossPercent = map[[2]int]bool{}, 0
	for _, h := range m.hosts {
		h.leaving = false
		h.disk.HealSyncs()
	}
	m.startAll()
}

func (m *machine) leaderOr(other *machineHost) *machineHost {
	if leader := m.leader(); leader != nil {
		return leader
	}
	return other
}

func (m *machine) leader() *machineHost {
	var leader *machineHost
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

// describe says how each replica sees things.
func (m *machine) describe() string {
	text := ""
	for _, h := range m.hosts {
		if h.replica == nil {
			text += fmt.Sprintf("\n%s is down", h.id)
			continue
		}
		node := h.replica.node
		members := node.Membership()
		text += fmt.Sprintf("\n%s is %v in term %d, applied %d, committed %d, voters %v, before %v, learners %v", h.id, node.Role(), node.Term(),
			h.replica.state.Applied(), node.Commit(), idsOf(members.GetVoters()), idsOf(members.GetOutgoing()), idsOf(members.GetLearners()))
	}
	return text
}
