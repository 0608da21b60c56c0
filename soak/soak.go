// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside them, and checks while it runs what callers, operators and
// upstreams see.
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
	callersEach = 3
	// startTime and recoveryTime bound how long all gateways take until they serve.
	startTime    = 20 * time.Second
	recoveryTime = 15 * time.Second
	// calmTime is how long nothing happens before the planned restarts.
	calmTime = 4 * time.Second
	// versionTime is how long upstreams may take to serve a version after the faults.
	versionTime = 20 * time.Second
	// processesMost keeps a run within the addresses of one range.
	processesMost = 250
	lookTime      = 100 * time.Millisecond
	subjectSize   = "size"
	// probeID is the id of requests that are sent only to see a route.
	probeID = "probe"
)

type (
	// Options of a run.
	Options struct {
		Seed uint64
		// Length is how long faults are injected.
		Length time.Duration
		Size   Size
		// Binary is the figbank program.
		Binary string
		// Folder takes settings, logs and data; they stay.
		Folder string
		Screen io.Writer
	}

	// Report tells how a run went.
	Report struct {
		Seed     uint64
		Length   time.Duration
		Size     Size
		Faults   int
		Outcomes map[string]int
		Broken   []Broken
		Marks    []Mark
	}

	run struct {
		Options
		record    *record
		world     *world
		callers   *callers
		operators *operators
	}
)

// Check tells what is wrong with the options.
func (o Options) Check() error {
	switch {
	case o.Size.Replicas < 1 || o.Size.Replicas%2 == 0:
		return figbank.InvalidError{Subject: "replicas", Detail: "must be an odd number"}
	case o.Size.Gateways < 1 || o.Size.Agents < 1:
		return figbank.InvalidError{Subject: subjectSize, Detail: "needs a gateway and an agent at least"}
	case o.Size.processes() > processesMost:
		return figbank.InvalidError{Subject: subjectSize, Detail: fmt.Sprintf("at most %d processes", processesMost)}
	case o.Length <= 0:
		return figbank.InvalidError{Subject: "length", Detail: "must be more than 0"}
	}
	return nil
}

// Kept tells whether every promise held.
func (r *Report) Kept() bool { return len(r.Broken) == 0 }

// Run carries out one run. An error says that it could not be carried out.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return nil, figbank.Fail("soak", "Folder", err)
	}
	r := &run{Options: options, record: newRecord()}
	plan := NewPlan(options.Seed, options.Length, options.Size)
	err := r.run(ctx, plan)
	if err != nil {
		return nil, err
	}
	report := &Report{
		Seed: options.Seed, Length: options.Length, Size: options.Size, Faults: len(plan),
		Outcomes: r.record.outcomes, Broken: r.record.broken, Marks: r.record.marks,
	}
	return report, nil
}

func (r *run) run(ctx context.Context, plan []Fault) error {
	var err error
	r.world, err = newWorld(r.Size, r.Folder, r.Binary, r.record)
	if err != nil {
		return err
	}
	defer r.world.end()
	if err := errors.Join(r.world.free(), r.world.start()); err != nil {
		return err
	}
	r.callers = newCallers(r.world.gateways, r.record)
	r.operators = newOperators(r.world)
	r.operators.publish(ctx)
	if !r.await(ctx, startTime, r.serving) {
		return figbank.InvalidError{Subject: "soak", Detail: "the deployment does not begin to serve"}
	}
	calling, stopCalling := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { r.callers.run(calling, callersEach) })
	group.Go(func() { r.operators.watch(calling) })
	r.say("%d processes serve; %d faults in %s", len(r.world.processes), len(plan), r.Length)
	(&faults{world: r.world, operators: r.operators, record: r.record}).play(ctx, plan)
	r.recover(ctx)
	r.restart(ctx)
	stopCalling()
	group.Wait()
	r.checkEnd(ctx)
	r.stopAll()
	r.callers.settle(r.world.runs())
	return figbank.Fail("soak", "Cancelled", ctx.Err())
}

// await looks until check holds, and tells whether it did in time.
func (r *run) await(ctx context.Context, most time.Duration, check func(context.Context) error) bool {
	deadline := wall.Now().Add(most)
	for {
		err := check(ctx)
		if err == nil {
			return true
		}
		if wall.Now().After(deadline) || ctx.Err() != nil {
			r.say("%v", err)
			return false
		}
		wall.sleep(lookTime)
	}
}

// serving tells whether each gateway answers each kind of request.
func (r *run) serving(context.Context) error {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i, gateway := range r.world.gateways {
		for _, kind := range routes {
			if status := r.callers.call(client, gateway, kind); status != http.StatusOK {
				return figbank.InvalidError{Subject: fmt.Sprintf("gateway %d", i), Detail: fmt.Sprintf("%s gets %d", kind, status)}
			}
		}
	}
	return nil
}

// recover checks that service comes back once the faults are over.
func (r *run) recover(ctx context.Context) {
	began := wall.Now()
	for zone := range zonesMost {
		r.operators.insist(ctx, standin.Return(zoneOf(zone)))
	}
	if !r.await(ctx, recoveryTime, r.serving) {
		r.record.breaks("Recover", "not all gateways serve all routes within %s", recoveryTime)
	}
	r.record.mark("recovery", wall.since(began), "recovery")
}

// restart asks the gateways to end and starts them, one after the other, while
// nothing else happens: no answer may be lost.
func (r *run) restart(ctx context.Context) {
	wall.sleep(calmTime)
	r.callers.planned.Store(true)
	defer r.callers.planned.Store(false)
	for _, p := range r.world.processes {
		if p.role != roleGateway || ctx.Err() != nil {
			continue
		}
		r.record.mark(p.id, 0, "planned restart")
		if err := p.stop(); err != nil {
			r.record.breaks("Stop", "%v", err)
		}
		if err := p.start(); err != nil {
			r.record.breaks("Soak", "%s does not start: %v", p.id, err)
		}
	}
	if !r.await(ctx, recoveryTime, r.serving) {
		r.record.breaks("Recover", "not all gateways serve after planned restarts")
	}
}

// checkEnd checks that all that was acknowledged is in force.
func (r *run) checkEnd(ctx context.Context) {
	o := r.operators
	number := 0
	read := func(ctx context.Context) error {
		var err error
		number, err = o.read(ctx)
		return err
	}
	if !r.await(ctx, recoveryTime, read) {
		r.record.breaks("Config", "the configuration cannot be read")
		return
	}
	if number < o.acknowledged || number > o.sent {
		r.record.breaks("Lost", "configuration %d is in force, %d was acknowledged and %d sent", number, o.acknowledged, o.sent)
	}
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	marker := func(ctx context.Context) error {
		for i, gateway := range r.world.gateways {
			probe := standin.Ask{Gateway: gateway, Route: markerOf(number), ID: probeID}
			if got := probe.Send(ctx, client); got.Status != http.StatusOK {
				return figbank.InvalidError{Subject: fmt.Sprintf("gateway %d", i), Detail: fmt.Sprintf("the newest route gets %d", got.Status)}
			}
		}
		return nil
	}
	if !r.await(ctx, recoveryTime, marker) {
		r.record.breaks("Config", "number %d is not in force at all gateways", number)
	}
	if !r.await(ctx, versionTime, r.versions) {
		r.record.breaks("Version", "not all upstreams serve the newest version")
	}
}

// versions tells whether each upstream serves the newest version.
func (r *run) versions(context.Context) error {
	for i, u := range r.world.upstreams {
		version, wrong := u.now.Version()
		if wrong > 0 {
			r.record.breaks("Whole", "upstream %d was started with %d wrong pieces", i, wrong)
		}
		if u.config.Model != "" && (version < r.operators.versionAcknowledged || version > r.operators.versionSent) {
			return figbank.InvalidError{
				Subject: fmt.Sprintf("upstream %d", i),
				Detail:  fmt.Sprintf("serves version %d, %d was acknowledged and %d sent", version, r.operators.versionAcknowledged, r.operators.versionSent),
			}
		}
	}
	return nil
}

// stopAll asks all processes to end, the replicas last.
func (r *run) stopAll() {
	processes := slices.Clone(r.world.processes)
	slices.Reverse(processes)
	for _, role := range []string{roleGateway, roleAgent, roleReplica} {
		var group sync.WaitGroup
		for _, p := range processes {
			if p.role == role {
				group.Go(func() {
					if err := p.stop(); err != nil {
						r.record.breaks("Stop", "%v", err)
					}
				})
			}
		}
		group.Wait()
	}
}

func (r *run) say(format string, values ...any) {
	fmt.Fprintf(r.Screen, format+"\n", values...)
}
