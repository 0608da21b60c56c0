package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"figbank"
	"figbank/platform/standin"
)

const (
	// scenarioReplicas is the number of replicas with which the scenario starts.
	scenarioReplicas = 3
	// seedLag is how long after a change of the log's hosts the settings name the new seeds.
	seedLag = 3 * time.Second
	// replacedAfter is how long a successor runs before the replica stops whose place it takes.
	replacedAfter = 2 * time.Second
	// firstLoss is when the first host of the log is lost. Its successor starts after successorDelay, and the
	// next host may be lost after nextLossDelay more, as operators are promised.
	firstLoss      = time.Second
	successorDelay = time.Second
	nextLossDelay  = 4 * time.Second
	// linkFailure is how long a link fails after a loss, and linkFailures when.
	linkFailure = 700 * time.Millisecond
	// operatorPatience is how long an operator waits for the answer to one read.
	operatorPatience = time.Second
)

var (
	linkFailures = []time.Duration{200 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond}
	// lostInTurn and replacedInTurn list the replicas whose place the successors take, one after the other.
	// The third loss is that of the first successor.
	lostInTurn     = []int{0, 1, scenarioReplicas}
	replacedInTurn = []int{0, 1, 2}
)

// hostsLost loses hosts of the log for good, one after the other, each as soon as operators are promised that
// it may be. A link to the replica that stays, the last of the first three, fails between the losses, so that
// leaders change.
func hostsLost(length time.Duration) []Fault {
	var plan []Fault
	for k, at := 0, firstLoss; k < len(lostInTurn) && at < length; k++ {
		plan = append(plan, Fault{At: at, Duration: successorDelay, Kind: ReplaceReplica, Target: lostInTurn[k], RandomBits: uint64(k)})
		for _, after := range linkFailures {
			plan = append(plan, Fault{At: at + after, Duration: linkFailure, Kind: Silence, Target: scenarioReplicas - 1, RandomBits: 1})
		}
		at += successorDelay + nextLossDelay
	}
	return plan
}

// hostsReplaced starts a successor of each replica in turn and then asks that replica to stop, while changes are
// published. Gateways are disturbed in between.
func hostsReplaced(length time.Duration) []Fault {
	plan := changes(length)
	between := []FaultKind{PauseProcess, StopProcess, KillProcess}
	for k, at := 0, firstLoss; k < len(replacedInTurn) && at < length; k, at = k+1, at+seriesGap {
		plan = append(plan,
			Fault{At: at, Duration: replacedAfter, Kind: RetireReplica, Target: replacedInTurn[k], RandomBits: uint64(k)},
			Fault{At: at + replacedAfter + nextLossDelay/2, Duration: fullTime, Kind: between[k%len(between)], Target: scenarioReplicas + k},
		)
	}
	return sorted(plan)
}

// replicaAt returns the index, among the processes, of the nth replica: those of the start come first, then the
// successors.
func (c *cluster) replicaAt(n int) int {
	if n < c.size.Replicas {
		return n
	}
	return c.size.processes() + n - c.size.Replicas
}

// addSuccessors prepares the successors of replicas. They do not run yet.
func (c *cluster) addSuccessors(replaced []int) error {
	for k := range replaced {
		n := c.size.processes() + k
		id, domain := fmt.Sprintf("successor-%d", k), domainOf(controlOf(replaced, k))
		node := "ListenControl = " + c.listenAddress(n, portControl)
		p, err := c.addProcess(processSpec{
			id: id, role: roleReplica, failureDomain: domain, binary: c.binary, folder: c.folder,
			settings: c.settings(id, domain, n, node, false),
		})
		if err != nil {
			return err
		}
		c.keep(p)
		if err := c.addProxies(n); err != nil {
			return err
		}
	}
	return nil
}

// controlOf returns the index of the control address at which the nth successor serves: that of the replica whose
// place it takes.
func controlOf(replaced []int, n int) int {
	for replaced[n] >= scenarioReplicas {
		n = replaced[n] - scenarioReplicas
	}
	return replaced[n]
}

// replaceReplica puts a successor with an empty disk, at another address of the log, in the place of a replica. The
// replica is lost for good before, or asked to stop afterwards. Operators and upstreams reach the successor at the
// control address of that replica.
func (i *injector) replaceReplica(fault Fault) {
	n := int(fault.RandomBits) //nolint:gosec // a small index
	c := i.cluster
	old, next := c.replicaAt(fault.Target), c.replicaAt(c.size.Replicas+n)
	control := c.proxies[controlOf(c.replaced, n)][1]
	i.record.mark(c.processes[old].id, fault.Duration, "%s, %s takes its place", fault.Kind, c.processes[next].id)
	if fault.Kind == RetireReplica {
		i.startSuccessor(next)
		wall.sleep(fault.Duration)
		i.handPlaceOver(old, next, control)
		if err := c.processes[old].stop(); err != nil {
			i.record.addViolation("Stop", "%v", err)
		}
		i.disturbReplicas()
		return
	}
	c.outages.begin(old)
	c.processes[old].kill()
	wall.sleep(fault.Duration)
	i.handPlaceOver(old, next, control)
	control.Reset()
	i.startSuccessor(next)
}

// handPlaceOver makes operators count on a replica in the place of another, which is gone or about to stop.
func (i *injector) handPlaceOver(old, next int, control *Proxy) {
	i.cluster.exchangeHost(old, next)
	i.cluster.outages.begin(old)
	i.disturbReplicas()
	control.SetTarget(i.cluster.listenAddress(next, portControl))
}

func (i *injector) startSuccessor(next int) {
	defer i.cluster.outages.begin(next)()
	if err := i.cluster.processes[next].start(); err != nil {
		i.record.addViolation("Soak", "%s cannot be started: %v", i.cluster.processes[next].id, err)
	}
}

// checkReadBack records a violation for each control address that does not answer a read of the configuration
// in the time for which an operator waits.
func (r *run) checkReadBack(ctx context.Context) {
	client := &http.Client{Timeout: operatorPatience}
	defer client.CloseIdleConnections()
	for _, control := range r.cluster.control {
		read := func(ctx context.Context) error {
			status, _, err := standin.ReadConfiguration().Send(ctx, client, control)
			if err != nil || status != http.StatusOK {
				return figbank.InvalidError{Subject: "read at " + control, Detail: fmt.Sprintf("status %d, error %v", status, err)}
			}
			return nil
		}
		if !r.pollUntil(ctx, recoveryTimeout, read) {
			r.record.addViolation("Config", "the configuration could not be read at %s", control)
		}
	}
}
