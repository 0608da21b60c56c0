// Package soak runs figbank as separate processes on loopback, injects faults from
// outside them, and continuously checks what callers, operators and upstreams see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"figbank"
	"figbank/platform/standin"
)

const (
	callersPerGateway = 3
	// startTimeout bounds how long the gateways may take after the start to serve all routes.
	startTimeout = 20 * time.Second
	// recoveryTimeout bounds how long the gateways may take to serve all routes again after the
	// faults, and after the planned restarts. It also bounds the checks of the final configuration.
	recoveryTimeout = 15 * time.Second
	// pauseBeforeRestarts is the pause without faults before the planned restarts.
	pauseBeforeRestarts = 4 * time.Second
	// versionTimeout bounds how long upstreams may take, after the faults, to serve the newest
	// version.
	versionTimeout = 20 * time.Second
	// maxProcesses keeps the last byte of the loopback addresses of a run in range.
	maxProcesses = 250
	pollInterval = 100 * time.Millisecond
	subjectSize  = "size"
	// probeID is the id of requests that only test whether a route exists.
	probeID = "probe"
)

type (
	// Options configures a run.
	Options struct {
		Seed uint64
		// Length is how long faults are injected.
		Length time.Duration
		Size   Size
		// Binary is the path of the figbank program.
		Binary string
		// Folder receives settings, logs and data. They are kept after the run.
		Folder string
		Output io.Writer
		// Scenario replaces the random faults of the seed, unless it is nil.
		Scenario *Scenario
	}

	// Report is the result of a run.
	Report struct {
		Seed   uint64
		Length time.Duration
		Size   Size
		// Faults is the number of injected faults.
		Faults int
		// Outcomes counts the callers' requests by the status of the answer, "no answer" or
		// "truncated answer".
		Outcomes map[string]int
		// Broken holds the first maxViolations violations of each promise.
		Broken []Violation
		Marks  []Mark
	}

	run struct {
		Options
		record    *record
		cluster   *cluster
		callers   *callers
		operators *operators
		// faultsBegan and faultsEnded are when the faults of the plan were injected, calmBegan is when all
		// callers that pressed had stopped, and restartsBegan when the planned restarts began.
		faultsBegan, faultsEnded, calmBegan, restartsBegan time.Time
		// unread holds the most bytes that had arrived for a gateway and were not read, by its id.
		unread map[string]figbank.Bytes
	}
)

// Check returns an error if the options are invalid.
func (o Options) Check() error {
	switch {
	case o.Size.Replicas < 1 || o.Size.Replicas%2 == 0:
		return figbank.InvalidError{Subject: "replicas", Detail: "must be an odd number"}
	case o.Size.Gateways < 1 || o.Size.Agents < 1:
		return figbank.InvalidError{Subject: subjectSize, Detail: "must include at least one gateway and one agent"}
	case o.Size.processes() > maxProcesses:
		return figbank.InvalidError{Subject: subjectSize, Detail: fmt.Sprintf("must be at most %d processes", maxProcesses)}
	case o.Length <= 0:
		return figbank.InvalidError{Subject: "length", Detail: "must be more than 0"}
	}
	return nil
}

// Passed reports whether no promise was broken.
func (r *Report) Passed() bool { return len(r.Broken) == 0 }

// plan returns the faults of the scenario, or the random ones of the seed.
func (o Options) plan() []Fault {
	if o.Scenario != nil {
		return o.Scenario.faults(o.Length)
	}
	return NewPlan(o.Seed, o.Length, o.Size)
}

// sized reports whether callers send prompts of different lengths.
func (o Options) sized() bool { return o.Scenario != nil && o.Scenario.sized }

// callers returns the number of callers at each gateway.
func (o Options) callers() int {
	if o.Scenario != nil {
		return o.Scenario.callers
	}
	return callersPerGateway
}

// Run starts the deployment, injects the faults of a seed and checks the promises. The
// options must pass Check. An error means that the run could not be completed; broken
// promises are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return nil, figbank.WrapError("soak", "Folder", err)
	}
	if kept, err := os.ReadDir(options.Folder); err != nil || len(kept) > 0 {
		return nil, figbank.InvalidError{Subject: "folder", Detail: options.Folder + " must be empty, since replicas would go on with the data of an earlier run"}
	}
	r := &run{Options: options, record: newRecord(), unread: map[string]figbank.Bytes{}}
	plan := options.plan()
	err := r.run(ctx, plan)
	if err != nil {
		return nil, err
	}
	report := &Report{
		Seed: options.Seed, Length: options.Length, Size: options.Size, Faults: len(plan),
		Outcomes: r.record.outcomes, Broken: r.record.violations, Marks: r.record.marks,
	}
	return report, nil
}

func (r *run) run(ctx context.Context, plan []Fault) error {
	var err error
	r.cluster, err = newCluster(r.Options, r.record)
	if err != nil {
		return err
	}
	defer r.cluster.close()
	if err := errors.Join(r.cluster.checkAddressFree(), r.cluster.start()); err != nil {
		return err
	}
	r.callers = newCallers(r.cluster.gateways, r.record)
	r.callers.sized = r.sized()
	r.callers.garbled, r.callers.disturbed = r.cluster.garbled, r.cluster.disturbed
	r.operators = newOperators(r.cluster)
	r.operators.publish(ctx)
	if !r.pollUntil(ctx, startTimeout, r.checkServing) {
		return figbank.InvalidError{Subject: "soak", Detail: "the deployment did not start to serve in time"}
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { r.callers.run(callerCtx, r.Options.callers()) })
	group.Go(func() { r.operators.watch(callerCtx) })
	r.printf("%d processes are serving; injecting %d faults in %s", len(r.cluster.processes), len(plan), r.Length)
	r.injectFaults(ctx, plan)
	r.checkMemory()
	if r.sized() {
		// These callers ask for more than is served, also without faults, so the checks that
		// follow would be refused.
		stopCallers()
	}
	r.checkRecovery(ctx)
	r.restartGateways(ctx)
	stopCallers()
	group.Wait()
	r.checkFinalState(ctx)
	r.stopAll()
	r.callers.checkRuns(r.cluster.runCounts())
	r.checkRetries()
	r.checkNotices()
	r.checkUsage()
	r.checkSizes()
	if r.Scenario != nil && r.Scenario.check != nil {
		r.Scenario.check(r)
	}
	r.printBroken()
	return figbank.WrapError("soak", "Cancelled", ctx.Err())
}

// pollUntil polls check until it succeeds, the timeout passes or ctx ends. It reports whether
// check succeeded.
func (r *run) pollUntil(ctx context.Context, timeout time.Duration, check func(context.Context) error) bool {
	deadline := wall.Now().Add(timeout)
	for {
		err := check(ctx)
		if err == nil {
			return true
		}
		if wall.Now().After(deadline) || ctx.Err() != nil {
			r.printf("%v", err)
			return false
		}
		wall.sleep(pollInterval)
	}
}

// checkServing returns an error unless each gateway answers a request on each route with
// status 200.
func (r *run) checkServing(context.Context) error {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i, gateway := range r.cluster.gateways {
		for _, route := range routes {
			if status := r.callers.call(client, gateway, route, 0); status != http.StatusOK {
				return figbank.InvalidError{Subject: fmt.Sprintf("gateway %d", i), Detail: fmt.Sprintf("%s request got status %d", route, status)}
			}
		}
	}
	return nil
}

// checkRecovery ends all evacuations and checks that all gateways serve again after the
// faults.
func (r *run) checkRecovery(ctx context.Context) {
	started := wall.Now()
	for domain := range domainCount {
		r.operators.sendUntilAcknowledged(ctx, standin.EndEvacuation(domainOf(domain)))
	}
	if !r.pollUntil(ctx, recoveryTimeout, r.checkServing) {
		r.record.addViolation("Recover", "not all gateways served all routes within %s", recoveryTimeout)
	}
	r.record.mark("recovery", wall.since(started), "recovery")
}

// restartGateways restarts the gateways one after the other, without faults. If the answer
// to a request that ran is lost during these restarts, checkRuns records a violation.
func (r *run) restartGateways(ctx context.Context) {
	wall.sleep(pauseBeforeRestarts)
	r.restartsBegan = wall.Now()
	r.callers.planned.Store(true)
	defer r.callers.planned.Store(false)
	for _, p := range r.cluster.processes {
		if p.role != roleGateway || ctx.Err() != nil {
			continue
		}
		r.record.mark(p.id, 0, "planned restart")
		if err := p.stop(); err != nil {
			r.record.addViolation("Stop", "%v", err)
		}
		if err := p.start(); err != nil {
			r.record.addViolation("Soak", "%s cannot be started: %v", p.id, err)
		}
	}
	if !r.pollUntil(ctx, recoveryTimeout, r.checkServing) {
		r.record.addViolation("Recover", "not all gateways served all routes after the planned restarts")
	}
}

// checkFinalState checks that the configuration in force is at least as new as the newest
// acknowledged one, that it was sent, and that all gateways use it. It also checks the versions
// of the weights that the upstreams serve; see checkVersions.
func (r *run) checkFinalState(ctx context.Context) {
	o := r.operators
	number := 0
	read := func(ctx context.Context) error {
		var err error
		number, err = o.read(ctx)
		return err
	}
	if !r.pollUntil(ctx, recoveryTimeout, read) {
		r.record.addViolation("Config", "the configuration could not be read")
		return
	}
	if number < o.acknowledged || number > o.sent {
		r.record.addViolation("Lost", "configuration %d is in force, but %d was acknowledged and %d was sent", number, o.acknowledged, o.sent)
	}
	r.checkReadBack(ctx)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	marker := func(ctx context.Context) error {
		for i, gateway := range r.cluster.gateways {
			probe := standin.Request{Gateway: gateway, Route: markerOf(number), ID: probeID}
			if got := probe.Send(ctx, client); got.Status != http.StatusOK {
				return figbank.InvalidError{Subject: fmt.Sprintf("gateway %d", i), Detail: fmt.Sprintf("a request to the newest route got status %d", got.Status)}
			}
		}
		return nil
	}
	if !r.pollUntil(ctx, recoveryTimeout, marker) {
		r.record.addViolation("Config", "number %d is not in force at all gateways", number)
	}
	if !r.pollUntil(ctx, versionTimeout, r.checkVersions) {
		r.record.addViolation("Version", "not all upstreams serve the newest version")
	}
}

// checkVersions returns an error unless each upstream with a model serves a version
// between the newest acknowledged and the newest sent. It records a violation for each
// upstream that was started with wrong pieces of weights.
func (r *run) checkVersions(context.Context) error {
	for i, u := range r.cluster.upstreams {
		version, wrong := u.current.Version()
		if wrong > 0 {
			r.record.addViolation("Whole", "upstream %d was started with %d wrong pieces", i, wrong)
		}
		if u.config.Model != "" && (version < r.operators.versionAcknowledged || version > r.operators.versionSent) {
			return figbank.InvalidError{
				Subject: fmt.Sprintf("upstream %d", i),
				Detail:  fmt.Sprintf("serves version %d, but %d was acknowledged and %d was sent", version, r.operators.versionAcknowledged, r.operators.versionSent),
			}
		}
	}
	return nil
}

// stopAll asks all processes to exit, the replicas last. It records a violation for each process
// that does not exit in time or exits with a failure.
func (r *run) stopAll() {
	processes := slices.Clone(r.cluster.processes)
	slices.Reverse(processes)
	for _, role := range []string{roleGateway, roleAgent, roleReplica} {
		var group sync.WaitGroup
		for _, p := range processes {
			if p.role == role {
				group.Go(func() {
					if err := p.stop(); err != nil {
						r.record.addViolation("Stop", "%v", err)
					}
				})
			}
		}
		group.Wait()
	}
}

func (r *run) printf(format string, values ...any) {
	fmt.Fprintf(r.Output, format+"\n", values...)
}
