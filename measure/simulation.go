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

// Steps that a simulation can perform; StepCount is their number.
const (
	StepBook Step = iota
	StepBookAgain
	StepChat
	StepCrash
	StepRestartEngine
	StepRestartAgent
	StepRestartGateway
	StepIsolateDomain
	StepReconnectDomain
	StepDomainOut
	StepDomainIn
	StepLogDown
	StepLogUp
	StepWait
	StepCount
)

const (
	// stepTime is the pause between two steps. Calls continue to run during the pause.
	stepTime = 30 * time.Millisecond
	waitTime = 2 * time.Second
	// maxBookings and maxChats limit how many calls one step sends at once.
	maxBookings = 8
	maxChats    = 40
	// agentDowntime is how long a restarting agent is down.
	agentDowntime = 100 * time.Millisecond
)

type (
	// Step is a kind of random action.
	Step int

	// Action is a step and a number that selects its subject or the count of its calls.
	Action struct {
		Step     Step
		Selector int
	}

	// simulation performs actions in a Cluster and records the requests. It checks each answer
	// against what the engines really ran.
	simulation struct {
		cluster *Cluster
		group   sync.WaitGroup

		// mu guards violations and bookings. Only the goroutine of RunSimulation uses the fields
		// after them.
		mu                sync.Mutex
		violations        []string
		bookings          []string
		revisions         map[figbank.FailureDomain]int64
		outOfServiceSince map[figbank.FailureDomain]time.Time
		// runsAtGraceEnd holds, for each domain that is out, how many calls its engines had run
		// when its grace time ended. A violation updates this number.
		runsAtGraceEnd map[figbank.FailureDomain]int
		// connectivityChanged is when each domain was last isolated or reconnected.
		connectivityChanged map[figbank.FailureDomain]time.Time
	}
)

// RunSimulation performs the actions in a new Cluster and returns the violated guarantees: a
// booking that ran more than once, a complete answer with status 200 that does not contain the
// id of its request, a false "not run", new work in a domain that has been out and connected
// for drainGrace, or an engine that crashed from overload.
func RunSimulation(d *deployment.Deployment, actions []Action, seed uint64) []string {
	s := &simulation{
		cluster: NewCluster(d, DefaultPolicy()), revisions: map[figbank.FailureDomain]int64{},
		outOfServiceSince: map[figbank.FailureDomain]time.Time{}, runsAtGraceEnd: map[figbank.FailureDomain]int{},
		connectivityChanged: map[figbank.FailureDomain]time.Time{},
	}
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	for i, action := range actions {
		s.perform(i, action, random)
		sleep(stepTime)
		s.checkDrained()
	}
	s.repairAll()
	s.group.Wait()
	s.checkRunCounts()
	s.cluster.Close()
	return s.violations
}

func (s *simulation) perform(i int, action Action, random *rand.Rand) {
	switch action.Step {
	case StepBook:
		for n := range 1 + action.Selector%maxBookings {
			s.book(fmt.Sprintf("booking-%d-%d", i, n), random)
		}
	case StepBookAgain:
		if len(s.bookings) > 0 {
			s.book(s.bookings[action.Selector%len(s.bookings)], random)
		}
	case StepChat:
		for n := range 1 + action.Selector%maxChats {
			s.chat(fmt.Sprintf("chat-%d-%d", i, n), random)
		}
	case StepCrash:
		s.crash(random)
	case StepWait:
		sleep(waitTime)
	default:
		s.changeCluster(action)
	}
}

// changeCluster injects a fault, repairs one, or declares the state of a domain.
func (s *simulation) changeCluster(action Action) {
	cluster := s.cluster
	domain := cluster.Deployment.Domains[action.Selector%len(cluster.Deployment.Domains)]
	gateway := cluster.Gateways[action.Selector%len(cluster.Gateways)]
	upstream := cluster.Upstreams[action.Selector%len(cluster.Upstreams)]
	switch action.Step {
	case StepRestartEngine:
		upstream.Engine.Restart()
	case StepRestartAgent:
		upstream.Stop()
		sleep(agentDowntime)
		upstream.Start()
	case StepRestartGateway:
		gateway.Stop()
		gateway.Start()
	case StepIsolateDomain, StepReconnectDomain:
		cluster.SetIsolated(domain.Name, action.Step == StepIsolateDomain)
		s.connectivityChanged[domain.Name] = virtual.Now()
	case StepDomainOut:
		s.declare(domain.Name, "Out")
	case StepDomainIn:
		s.declare(domain.Name, "In")
	case StepLogDown, StepLogUp:
		cluster.Log.SetDown(action.Step == StepLogDown)
	default:
	}
}

// book sends a booking with its id as the idempotency key, and checks the answer.
func (s *simulation) book(id string, random *rand.Rand) {
	cluster := s.cluster
	gateway := cluster.RandomReadyGateway(random)
	if gateway == nil {
		return
	}
	s.mu.Lock()
	s.bookings = append(s.bookings, id)
	s.mu.Unlock()
	request := Request{Service: cluster.Deployment.BookingService(), Workspace: cluster.Deployment.Workspaces[0], Key: id, Body: callBody{ID: id}}
	s.group.Go(func() {
		before := cluster.BookingRuns.Runs(id)
		result := gateway.Send(request, nil)
		switch {
		case result.Status == 200 && !result.Incomplete && !result.isComplete(id):
			s.addViolation("booking %s answered with %q", id, result.Body)
		case result.Outcome == caller.NotRun && before == 0 && result.Reason != "KeyOfAnotherRequest" && s.requestedOnce(id) && cluster.BookingRuns.Runs(id) > 0:
			s.addViolation("booking %s was refused as not run but ran", id)
		}
	})
}

// requestedOnce reports whether a booking was sent only once, so that no other request can
// have run it in the meantime.
func (s *simulation) requestedOnce(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, booking := range s.bookings {
		if booking == id {
			count++
		}
	}
	return count == 1
}

// chat sends a call to the model service and checks the answer.
func (s *simulation) chat(id string, random *rand.Rand) {
	cluster := s.cluster
	gateway := cluster.RandomReadyGateway(random)
	if gateway == nil {
		return
	}
	service := cluster.Deployment.ModelService()
	request := Request{Service: service, Workspace: cluster.Deployment.Workspaces[1], Body: callBody{Model: string(service.Name), ID: id}}
	s.group.Go(func() {
		result := gateway.Send(request, nil)
		if result.Status == 200 && !result.Incomplete && !result.isComplete(id) {
			s.addViolation("%s answered with %q", id, result.Body)
		}
	})
}

// crash sends a call that makes the engine that runs it crash.
func (s *simulation) crash(random *rand.Rand) {
	cluster := s.cluster
	gateway := cluster.RandomReadyGateway(random)
	if gateway == nil {
		return
	}
	service := cluster.Deployment.ModelService()
	request := Request{Service: service, Workspace: cluster.Deployment.Workspaces[2], Body: callBody{Model: string(service.Name), Crash: true}}
	s.group.Go(func() { gateway.Send(request, nil) })
}

// declare takes a domain out of service or brings it back, if the log accepts that.
func (s *simulation) declare(domain figbank.FailureDomain, state string) {
	s.revisions[domain]++
	if !s.cluster.DeclareDomain(domain, s.revisions[domain], state) {
		s.revisions[domain]--
		return
	}
	delete(s.runsAtGraceEnd, domain)
	if state == "Out" {
		if _, already := s.outOfServiceSince[domain]; !already {
			s.outOfServiceSince[domain] = virtual.Now()
		}
		return
	}
	delete(s.outOfServiceSince, domain)
}

// checkDrained checks that a domain that is out runs no new calls after its grace time.
func (s *simulation) checkDrained() {
	for domain, outSince := range s.outOfServiceSince {
		// An isolated domain cannot learn that it is out, so its grace time starts when it
		// is reconnected.
		if s.cluster.isolated[domain] || since(later(outSince, s.connectivityChanged[domain])) < drainGrace {
			delete(s.runsAtGraceEnd, domain)
			continue
		}
		runs := s.cluster.runsIn(string(domain))
		before, known := s.runsAtGraceEnd[domain]
		if !known {
			s.runsAtGraceEnd[domain] = runs
			continue
		}
		if runs > before {
			s.addViolation("%d calls ran in %s although it was out", runs-before, domain)
			s.runsAtGraceEnd[domain] = runs
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// repairAll reconnects all domains and makes the log available again.
func (s *simulation) repairAll() {
	for _, domain := range s.cluster.Deployment.Domains {
		s.cluster.SetIsolated(domain.Name, false)
	}
	s.cluster.Log.SetDown(false)
	sleep(settleTime)
}

// checkRunCounts checks that no booking ran twice and that no engine crashed from overload.
func (s *simulation) checkRunCounts() {
	if repeated := s.cluster.BookingRuns.Duplicates(); repeated > 0 {
		s.addViolation("%d bookings ran more than once", repeated)
	}
	for _, u := range s.cluster.Upstreams {
		if _, overloads := u.Engine.Counts(); overloads > 0 {
			s.addViolation("%s crashed from overload %d times", u.id, overloads)
		}
	}
}

func (s *simulation) addViolation(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, values...))
}
