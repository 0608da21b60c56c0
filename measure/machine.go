package measure

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"figbank"
	"figbank/caller"
	"figbank/deployment"
)

// Steps that a machine can take.
const (
	StepBook Step = iota
	StepBookAgain
	StepChat
	StepCrash
	StepRestartEngine
	StepRestartAgent
	StepRestartGateway
	StepCutDomain
	StepHealDomain
	StepTakeOut
	StepBringBack
	StepLogDown
	StepLogUp
	StepWait
	Steps
)

const (
	// stepTime is between two steps; calls go on meanwhile.
	stepTime = 30 * time.Millisecond
	waitTime = 2 * time.Second
	// mostBookings and mostChats bound the calls that one step sends together.
	mostBookings = 8
	mostChats    = 40
	// agentPause is how long a restarting agent is gone.
	agentPause = 100 * time.Millisecond
)

type (
	// Step is one random action.
	Step int

	// Action is a step with a number that picks its subject.
	Action struct {
		Step   Step
		Choose int
	}

	// machine is a world with an oracle: it knows what was asked for, and checks
	// each answer against what truly happened.
	machine struct {
		world *World
		group sync.WaitGroup

		mu         sync.Mutex
		violations []string
		bookings   []string
		revisions  map[figbank.FailureDomain]int64
		out        map[figbank.FailureDomain]time.Time
		runsAtOut  map[figbank.FailureDomain]int
		// reached is when a domain was last cut off or healed.
		reached map[figbank.FailureDomain]time.Time
	}
)

// RunMachine takes the actions in a fresh world, and returns what went against
// the promises: a key that ran twice, an answer that was not whole or not the
// caller's own, a false "not run", new work in a domain three seconds after it
// was taken out, or an upstream that fell over.
func RunMachine(d *deployment.Deployment, actions []Action, seed uint64) []string {
	m := &machine{
		world: NewWorld(d, DefaultPolicy()), revisions: map[figbank.FailureDomain]int64{},
		out: map[figbank.FailureDomain]time.Time{}, runsAtOut: map[figbank.FailureDomain]int{},
		reached: map[figbank.FailureDomain]time.Time{},
	}
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	for i, action := range actions {
		m.take(i, action, random)
		sleep(stepTime)
		m.checkDrained()
	}
	m.heal()
	m.group.Wait()
	m.checkBook()
	m.world.Close()
	return m.violations
}

func (m *machine) take(i int, action Action, random *rand.Rand) {
	switch action.Step {
	case StepBook:
		for n := range 1 + action.Choose%mostBookings {
			m.book(fmt.Sprintf("booking-%d-%d", i, n), random)
		}
	case StepBookAgain:
		if len(m.bookings) > 0 {
			m.book(m.bookings[action.Choose%len(m.bookings)], random)
		}
	case StepChat:
		for n := range 1 + action.Choose%mostChats {
			m.chat(fmt.Sprintf("chat-%d-%d", i, n), random)
		}
	case StepCrash:
		m.crash(random)
	case StepWait:
		sleep(waitTime)
	default:
		m.disturb(action)
	}
}

// disturb breaks something, mends it, or declares something.
func (m *machine) disturb(action Action) {
	w := m.world
	domain := w.Deployment.Domains[action.Choose%len(w.Deployment.Domains)]
	gateway := w.Gateways[action.Choose%len(w.Gateways)]
	upstream := w.Upstreams[action.Choose%len(w.Upstreams)]
	switch action.Step {
	case StepRestartEngine:
		upstream.Engine.Restart()
	case StepRestartAgent:
		upstream.Stop()
		sleep(agentPause)
		upstream.Start()
	case StepRestartGateway:
		gateway.Stop()
		gateway.Start()
	case StepCutDomain, StepHealDomain:
		w.Cut(domain.Name, action.Step == StepCutDomain)
		m.reached[domain.Name] = virtual.Now()
	case StepTakeOut:
		m.declare(domain.Name, "Out")
	case StepBringBack:
		m.declare(domain.Name, "In")
	case StepLogDown, StepLogUp:
		w.Log.SetDown(action.Step == StepLogDown)
	default:
	}
}

// book asks for a booking under its key, and checks what the caller is told.
func (m *machine) book(id string, random *rand.Rand) {
	w := m.world
	gateway := w.Ready(random)
	if gateway == nil {
		return
	}
	m.mu.Lock()
	m.bookings = append(m.bookings, id)
	m.mu.Unlock()
	request := Request{Service: w.Deployment.BookingService(), Workspace: w.Deployment.Workspaces[0], Key: id, Body: callBody{ID: id}}
	m.group.Go(func() {
		before := w.Book.Runs(id)
		seen := gateway.Send(request, nil)
		switch {
		case seen.Status == 200 && !seen.Cut && !seen.whole(id):
			m.violate("booking %s answered with %q", id, seen.Body)
		case seen.Outcome == caller.NotRun && before == 0 && seen.Reason != "KeyOfAnotherRequest" && m.lonely(id) && w.Book.Runs(id) > 0:
			m.violate("booking %s was refused as not run but ran", id)
		}
	})
}

// lonely tells whether a booking was asked for once only, so that nobody else
// can have run it meanwhile.
func (m *machine) lonely(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, booking := range m.bookings {
		if booking == id {
			count++
		}
	}
	return count == 1
}

func (m *machine) chat(id string, random *rand.Rand) {
	w := m.world
	gateway := w.Ready(random)
	if gateway == nil {
		return
	}
	service := w.Deployment.ModelService()
	request := Request{Service: service, Workspace: w.Deployment.Workspaces[1], Body: callBody{Model: string(service.Name), ID: id}}
	m.group.Go(func() {
		seen := gateway.Send(request, nil)
		if seen.Status == 200 && !seen.Cut && !seen.whole(id) {
			m.violate("%s answered with %q", id, seen.Body)
		}
	})
}

// crash sends a call that ends whatever back end runs it.
func (m *machine) crash(random *rand.Rand) {
	w := m.world
	gateway := w.Ready(random)
	if gateway == nil {
		return
	}
	service := w.Deployment.ModelService()
	request := Request{Service: service, Workspace: w.Deployment.Workspaces[2], Body: callBody{Model: string(service.Name), Crash: true}}
	m.group.Go(func() { gateway.Send(request, nil) })
}

func (m *machine) declare(domain figbank.FailureDomain, state string) {
	m.revisions[domain]++
	if !m.world.DeclareDomain(domain, m.revisions[domain], state) {
		m.revisions[domain]--
		return
	}
	delete(m.runsAtOut, domain)
	if state == "Out" {
		if _, already := m.out[domain]; !already {
			m.out[domain] = virtual.Now()
		}
		return
	}
	delete(m.out, domain)
}

// checkDrained compares the runs of a domain that is out with those at the end
// of its grace.
func (m *machine) checkDrained() {
	for domain, outSince := range m.out {
		// Nobody can tell a domain that is cut off; its grace begins when it heals.
		if m.world.cutOff[domain] || since(later(outSince, m.reached[domain])) < drainGrace {
			delete(m.runsAtOut, domain)
			continue
		}
		runs := m.world.runsIn(string(domain))
		before, known := m.runsAtOut[domain]
		if !known {
			m.runsAtOut[domain] = runs
			continue
		}
		if runs > before {
			m.violate("%d calls ran in %s although it was out", runs-before, domain)
			m.runsAtOut[domain] = runs
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *machine) heal() {
	for _, domain := range m.world.Deployment.Domains {
		m.world.Cut(domain.Name, false)
	}
	m.world.Log.SetDown(false)
	sleep(settleTime)
}

func (m *machine) checkBook() {
	if doubled := m.world.Book.Doubled(); doubled > 0 {
		m.violate("%d bookings ran more than once", doubled)
	}
	for _, u := range m.world.Upstreams {
		if _, falls := u.Engine.Seen(); falls > 0 {
			m.violate("%s fell over %d times", u.id, falls)
		}
	}
}

func (m *machine) violate(format string, values ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf(format, values...))
}
