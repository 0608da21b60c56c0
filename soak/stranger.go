package soak

import "time"

const (
	// strangerTerms is how many elections the stranger wins before it meets the replicas, strangerTerm the time for
	// one. Its term is then higher than theirs.
	strangerTerms = 6
	strangerTerm  = 1200 * time.Millisecond
	// strangerMet is when it learns of the replicas, by seeds that are wrong.
	strangerMet = strangerTerms * strangerTerm
	// earlyGap is the time between two changes before they meet. The stranger's log is then far shorter than theirs.
	earlyGap = 120 * time.Millisecond
	// strangerRestarts is the time between two restarts of other processes.
	strangerRestarts = 2 * time.Second
)

// strangersMet makes a replica that leads a log of its own learn of the replicas, while changes are published and
// gateways restart.
func strangersMet(length time.Duration) []Fault {
	plan := append(changes(length), Fault{Kind: MeetStranger})
	for at := time.Duration(0); at < strangerMet; at += earlyGap {
		plan = append(plan, Fault{At: at, Kind: Publish})
	}
	restarts := []FaultKind{StopProcess, KillProcess}
	for k, at := 0, strangerMet+strangerRestarts; at < length; k, at = k+1, at+strangerRestarts {
		plan = append(plan, Fault{At: at, Duration: fullTime / 2, Kind: restarts[k%len(restarts)], Target: scenarioReplicas + k%scenarioReplicas})
	}
	return sorted(plan)
}

// addStranger starts a replica with a log of its own, of which it is the only voter.
func (c *cluster) addStranger() error {
	n, domain := c.size.processes(), domainOf(0)
	spec := processSpec{
		id: "stranger", role: roleReplica, failureDomain: domain, binary: c.binary, folder: c.folder,
		settings: c.settings("stranger", domain, n, "ListenControl = "+c.listenAddress(n, portControl), true),
	}
	p, err := c.addProcess(spec)
	if err != nil {
		return err
	}
	c.keep(p)
	if err := c.addProxies(n); err != nil {
		return err
	}
	if err := p.replaceSetting(c.seedLine(), "Seeds = "+c.proxyAddress(n, portControl)); err != nil {
		return err
	}
	// Another deployment reports its usage elsewhere.
	if err := p.replaceSetting("Assigned = "+usageDuty, "Assigned = none"); err != nil {
		return err
	}
	return p.start()
}

// meetStranger makes the stranger win elections, and then names the replicas as its seeds.
func (i *injector) meetStranger(fault Fault) {
	n := i.cluster.size.processes()
	stranger := i.cluster.processes[n]
	i.record.mark(stranger.id, strangerMet, "%s", fault.Kind)
	for range strangerTerms {
		wall.sleep(strangerTerm)
		stranger.kill()
		if err := stranger.start(); err != nil {
			i.record.addViolation("Soak", "%v", err)
		}
	}
	if err := stranger.replaceSetting("Seeds = "+i.cluster.proxyAddress(n, portControl), i.cluster.seedLine()); err != nil {
		i.record.addViolation("Soak", "%v", err)
	}
}
