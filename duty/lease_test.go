package duty

import (
	"math/rand/v2"
	"testing"
	"time"

	"figbank/ledger"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

const (
	testSubject = "usage"
	testStep    = 50 * time.Millisecond
	testCall    = 300 * time.Millisecond
)

var testTerms = Terms{Length: 3 * time.Second, TakeoverDelay: 300 * time.Millisecond}

type (
	// act is one act of a holder.
	act struct {
		at    time.Duration
		by    int
		token uint64
	}

	// world holds processes that share one log, in virtual time. Each process has a clock of its own, with another
	// origin than that of the others.
	world struct {
		t         *testing.T
		random    *rand.Rand
		now       time.Duration
		state     *ledger.State
		index     uint64
		processes []*process
		// late holds commands that reach the log later than they were proposed.
		late []lateCommand
		down bool
		acts []act
	}

	process struct {
		lease        *Lease
		origin       time.Duration
		runs         int
		frozenTill   time.Duration
		cutTill      time.Duration
		pending      bool
		observedLate time.Duration
	}

	lateCommand struct {
		at, answerAt time.Duration
		by, run      int
		command      *schema.HoldDuty
		result       *schema.DutyRecord
		applied      bool
	}
)

func newWorld(t *testing.T, seed uint64, processes int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), state: ledger.NewState()}
	for i := range processes {
		w.processes = append(w.processes, &process{origin: time.Duration(i) * time.Hour})
		w.restart(i)
	}
	return w
}

func (w *world) clock(i int) time.Duration { return w.now + w.processes[i].origin }

func (w *world) restart(i int) {
	p := w.processes[i]
	p.runs++
	p.lease = NewLease(testTerms, testSubject, string(rune('a'+i))+string(rune('0'+p.runs)), w.clock(i))
	p.pending = false
}

// step lets all processes that run do what is due.
func (w *world) step() {
	w.now += testStep
	for i := range w.late {
		w.deliver(&w.late[i])
	}
	for i, p := range w.processes {
		if w.now < p.frozenTill {
			continue
		}
		if w.now >= p.cutTill && w.now >= p.observedLate {
			for _, record := range w.records() {
				p.lease.Observe(w.clock(i), record)
			}
		}
		if token, may := p.lease.Token(w.clock(i), testCall); may {
			// The call arrives at some time before its own end.
			w.acts = append(w.acts, act{at: w.now + time.Duration(w.random.Int64N(int64(testCall))), by: i, token: token})
		}
		if p.lease.Next(w.clock(i), i == 0) != Wait && !p.pending {
			p.pending = true
			w.propose(i)
		}
	}
}

func (w *world) records() []*schema.DutyRecord {
	records, _ := w.state.TakeDuties()
	return records
}

// propose sends a command to the log. It, or its answer, may be late or lost.
func (w *world) propose(i int) {
	command := proto.CloneOf(w.processes[i].lease.Propose(w.clock(i)))
	delay := time.Duration(w.random.Int64N(int64(100 * time.Millisecond)))
	if w.random.IntN(8) == 0 {
		delay = time.Duration(w.random.Int64N(int64(5 * time.Second)))
	}
	if w.now < w.processes[i].cutTill {
		delay += w.processes[i].cutTill - w.now
	}
	answer := delay + time.Duration(w.random.Int64N(int64(100*time.Millisecond)))
	w.late = append(w.late, lateCommand{at: w.now + delay, answerAt: w.now + answer, by: i, run: w.processes[i].runs, command: command})
}

func (w *world) deliver(c *lateCommand) {
	p := w.processes[c.by]
	if !c.applied && w.now >= c.at && !w.down {
		w.index++
		data, err := proto.Marshal(&schema.Command{Action: &schema.Command_HoldDuty{HoldDuty: c.command}})
		if err != nil {
			w.t.Fatal(err)
		}
		c.result, c.applied = w.state.Apply(&schema.Entry{Index: w.index, Term: 1, Data: data}).GetDuty(), true
	}
	// A process gives a proposal up after half a lease, and then proposes the same once more.
	gaveUp := w.now > c.answerAt+testTerms.Length/2
	if c.run != p.runs || c.command == nil || w.now < p.frozenTill || !c.applied && !gaveUp || w.now < c.answerAt {
		return
	}
	if c.applied && !gaveUp && w.random.IntN(10) != 0 {
		if asked := p.lease.asked; asked.GetSeenToken() == c.command.GetSeenToken() && asked.GetSeenRenewals() == c.command.GetSeenRenewals() {
			p.lease.Confirm(w.clock(c.by), c.result)
		}
	}
	p.pending, c.command = false, nil
}

// disturb freezes, cuts off or restarts a process, or takes the log down, now and then.
func (w *world) disturb() {
	p := w.processes[w.random.IntN(len(w.processes))]
	until := w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	switch w.random.IntN(200) {
	case 0, 1:
		p.frozenTill = until
	case 2, 3:
		p.cutTill = until
	case 4:
		p.observedLate = until
	case 5:
		for i := range w.processes {
			if w.processes[i] == p {
				w.restart(i)
			}
		}
	case 6:
		w.down = !w.down
	case 7:
		p.lease.Abstain(w.now + p.origin + 10*time.Second)
	}
}

// Two processes must never act for one duty at the same time, nor one, another and the first again within the length of
// a lease, whatever is frozen, cut off, restarted, late or lost. The oracle sees all acts.
func TestLeaseAgainstOracle(t *testing.T) {
	acted, changes := 0, 0
	for seed := range uint64(300) {
		w := newWorld(t, seed, 3)
		for w.now < 2*time.Minute {
			w.disturb()
			w.step()
		}
		acted += len(w.acts)
		changes += w.check(seed)
	}
	if acted < 100000 || changes < 500 {
		t.Errorf("%d acts and %d changes of the holder are too few to prove anything", acted, changes)
	}
}

// check returns the number of changes of the holder.
func (w *world) check(seed uint64) int {
	changes := 0
	last := map[int]time.Duration{}
	var before act
	for i, current := range w.acts {
		if i > 0 && current.by != before.by {
			changes++
			if current.token <= before.token {
				w.t.Errorf("seed %d: process %d acts at %v with token %d after process %d with %d", seed, current.by, current.at, current.token, before.by, before.token)
			}
			if again, found := last[current.by]; found && current.at-again < testTerms.Length {
				w.t.Errorf("seed %d: process %d acts again %v after its last act, with another one between", seed, current.by, current.at-again)
			}
			if current.at < before.at {
				w.t.Errorf("seed %d: the last act of process %d arrives after the first of process %d", seed, before.by, current.by)
			}
		}
		last[current.by] = current.at
		before = current
	}
	return changes
}

// A holder that fails is replaced within the length of a lease and a little more, so that a report that is due three
// leases later is never missed for it.
func TestDutyIsTakenOver(t *testing.T) {
	w := newWorld(t, 1, 3)
	for w.now < 10*time.Second {
		w.step()
	}
	if len(w.acts) == 0 || w.acts[len(w.acts)-1].by != 0 {
		t.Fatalf("after 10 s the preferred process does not hold the duty")
	}
	w.processes[0].frozenTill = time.Hour
	frozenAt, before := w.now, len(w.acts)
	for w.now < frozenAt+20*time.Second {
		w.step()
	}
	if len(w.acts) == before {
		t.Fatal("nobody has taken the duty of a holder that is frozen")
	}
	want := testTerms.Length + testTerms.TakeoverDelay + othersDelay + 2*time.Second
	if got := w.acts[before].at - frozenAt; got > want {
		t.Errorf("the duty was taken over after %v, want at most %v", got, want)
	}
}

// The answer to a renewal is lost and only that to a second try comes. The log accepted the first one, from which
// successors count.
func TestLeaseCountsFromTheFirstTry(t *testing.T) {
	l := NewLease(testTerms, testSubject, "a", 0)
	taken := &schema.DutyRecord{Subject: testSubject, Holder: "a", Token: 7}
	first := proto.CloneOf(l.Propose(4 * time.Second))
	second := l.Propose(6 * time.Second)
	if !proto.Equal(first, second) {
		t.Fatalf("the second try is %v, want %v", second, first)
	}
	l.Confirm(6*time.Second, taken)
	if _, may := l.Token(7*time.Second+testStep, 0); may {
		t.Error("the holder acts more than the length of a lease after the first try")
	}
}
