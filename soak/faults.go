package soak

import (
	"context"
	"encoding/binary"
	"sync"
	"syscall"
	"time"

	"figbank/platform/standin"
)

const (
	// maxDelay bounds the delay before each write that DelayLink adds.
	maxDelay = 300 * time.Millisecond
	// maxGarbage bounds the length of a torn record, in bytes.
	maxGarbage = 40
	// slowdown is the factor by which the work of slow upstreams takes longer.
	slowdown = 2.0
	// maxDowntime bounds how long a crashed upstream stays down.
	maxDowntime = time.Second
)

// upstreamFaults lists the faults that CorruptUpstream chooses from.
var upstreamFaults = []standin.Fault{
	standin.TruncateEvent, standin.Refuse, standin.AnswerWithOtherID, standin.TruncateBody, standin.Fail, standin.NoFault,
}

// services lists the services that faults of a service choose from.
var services = []string{standin.AppService, standin.ModelService}

// injector injects the faults of a plan.
type injector struct {
	cluster   *cluster
	operators *operators
	record    *record
	group     sync.WaitGroup
}

// run injects each fault at its time, and returns once all injected faults have ended. If ctx
// ends, it skips the faults that have not begun.
func (i *injector) run(ctx context.Context, plan []Fault) {
	began := wall.Now()
	for _, fault := range plan {
		select {
		case <-ctx.Done():
		case <-wall.After(fault.At - wall.since(began)):
		}
		if ctx.Err() != nil {
			break
		}
		i.group.Go(func() { i.inject(ctx, fault) })
	}
	i.group.Wait()
}

// injectFaults carries out the plan. If the scenario says so, callers press the faulty service meanwhile.
func (r *run) injectFaults(ctx context.Context, plan []Fault) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	if r.Scenario != nil {
		group.Go(func() { r.callers.press(ctx, r.cluster.gateways[0], r.Scenario) })
	}
	group.Go(func() { r.watchUnread(ctx) })
	group.Go(func() { r.watchRules(ctx) })
	r.faultsBegan = wall.Now()
	(&injector{cluster: r.cluster, operators: r.operators, record: r.record}).run(ctx, plan)
	r.faultsEnded = wall.Now()
	cancel()
	group.Wait()
	r.calmBegan = wall.Now()
}

func (i *injector) inject(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case Publish, NameVersion, Evacuate:
		i.order(ctx, fault)
	case RefuseService, SlowService, GarbleStreams, AnswerWithoutEnd, AnswerEarly:
		i.disturbServices(fault)
	case KillGateways:
		i.killGateways(fault)
	case ReplaceReplica, RetireReplica:
		i.replaceReplica(fault)
	case LoseLeader:
		i.loseLeader(ctx, fault)
	case FullDisk:
		i.fillDisk(fault)
	case GarbleAnnouncements:
		i.garbleAnnouncements(ctx, fault)
	case CutDomains:
		i.cutDomains(fault)
	case MeetStranger:
		i.meetStranger(fault)
	case LeaveUpstream, RefuseForTime:
		i.giveNotice(fault)
	case CorruptUpstream, CrashUpstream:
		i.injectUpstreamFault(fault)
	case DelayLink, ResetLink, CutIn, CutOut, Silence, Refuse:
		i.injectLinkFault(fault)
	default:
		i.injectProcessFault(fault)
	}
}

// order gives the operator's order of a plan.
func (i *injector) order(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case Publish:
		i.record.mark("operator", 0, "publish")
		i.operators.publish(ctx)
	case NameVersion:
		i.record.mark("operator", 0, "name a version")
		i.operators.nameVersion(ctx)
	default:
		domain := domainOf(int(fault.RandomBits % domainCount))
		i.record.mark("operator", fault.Duration, "evacuate %s", domain)
		i.operators.evacuate(ctx, domain, fault.Duration)
	}
}

// disturbServices disturbs all upstreams of a service.
func (i *injector) disturbServices(fault Fault) {
	switch fault.Kind {
	case RefuseService:
		i.refuse(fault)
	case SlowService:
		i.slow(fault)
	case GarbleStreams:
		i.garbleStreams(fault)
	case AnswerEarly:
		i.answerEarly(fault)
	default:
		i.answerWithoutEnd(fault)
	}
}

// refuse makes all upstreams of a service refuse requests.
func (i *injector) refuse(fault Fault) {
	service := services[fault.RandomBits%uint64(len(services))]
	i.record.mark("upstream", fault.Duration, "all upstreams of %s refuse", service)
	upstreams := i.cluster.currentUpstreams(service)
	for _, u := range upstreams {
		u.SetFault(standin.Refuse)
	}
	wall.sleep(fault.Duration)
	for _, u := range upstreams {
		u.SetFault(standin.NoFault)
	}
}

// giveNotice makes an upstream leave, with or without an announcement, or refuse requests for a time.
func (i *injector) giveNotice(fault Fault) {
	i.cluster.mu.Lock()
	current := i.cluster.upstreams[fault.Target].current
	i.cluster.mu.Unlock()
	i.record.mark("upstream", fault.Duration, "%s upstream %d", fault.Kind, fault.Target)
	if fault.Kind == RefuseForTime {
		current.RefuseFor(fault.Duration)
		return
	}
	current.Leave()
	if fault.RandomBits&1 == 0 {
		current.Drain()
	}
	wall.sleep(drainTime + fault.Duration)
	if err := i.cluster.crash(fault.Target, 0); err != nil {
		i.record.addViolation("Soak", "upstream %d cannot be started again: %v", fault.Target, err)
	}
}

// slow makes all upstreams of a service slow.
func (i *injector) slow(fault Fault) {
	service := services[fault.RandomBits%uint64(len(services))]
	i.record.mark("upstream", fault.Duration, "all upstreams of %s are slow", service)
	upstreams := i.cluster.currentUpstreams(service)
	for _, u := range upstreams {
		u.SetSlowdown(slowdown)
	}
	wall.sleep(fault.Duration)
	for _, u := range upstreams {
		u.SetSlowdown(1)
	}
}

// killGateways kills all gateways at the same moment, and starts them again.
func (i *injector) killGateways(fault Fault) {
	var group sync.WaitGroup
	for n, p := range i.cluster.processes {
		if p.role == roleGateway {
			killed := fault
			killed.Kind, killed.Target = KillProcess, n
			group.Go(func() { i.injectProcessFault(killed) })
		}
	}
	group.Wait()
}

func (i *injector) injectUpstreamFault(fault Fault) {
	i.cluster.mu.Lock()
	current := i.cluster.upstreams[fault.Target].current
	i.cluster.mu.Unlock()
	i.record.mark("upstream", 0, "%s upstream %d", fault.Kind, fault.Target)
	if fault.Kind == CorruptUpstream {
		current.SetFault(upstreamFaults[fault.RandomBits%uint64(len(upstreamFaults))])
		wall.sleep(fault.Duration)
		current.SetFault(standin.NoFault)
		return
	}
	if err := i.cluster.crash(fault.Target, time.Duration(fault.RandomBits%uint64(maxDowntime))); err != nil {
		i.record.addViolation("Soak", "upstream %d cannot be started again: %v", fault.Target, err)
	}
}

func (i *injector) injectLinkFault(fault Fault) {
	impairment := Impairment{}
	switch fault.Kind {
	case DelayLink:
		impairment.Delay = time.Duration(fault.RandomBits % uint64(maxDelay))
	case CutIn:
		impairment.HoldInbound = true
	case CutOut:
		impairment.HoldOutbound = true
	case Silence:
		impairment.HoldInbound, impairment.HoldOutbound = true, true
	case Refuse:
		impairment.Refuse = true
	}
	i.record.mark(i.cluster.processes[fault.Target].id, fault.Duration, "%s", fault.Kind)
	defer i.cluster.outages.begin(fault.Target)()
	for _, proxy := range i.cluster.proxies[fault.Target] {
		if fault.Kind == ResetLink {
			proxy.Reset()
			continue
		}
		proxy.SetImpairment(impairment)
	}
	wall.sleep(fault.Duration)
	for _, proxy := range i.cluster.proxies[fault.Target] {
		// Data that was held back is either lost with its connection or delivered late.
		if fault.RandomBits&1 == 0 {
			proxy.Reset()
		}
		proxy.SetImpairment(Impairment{})
	}
}

func (i *injector) injectProcessFault(fault Fault) {
	p := i.cluster.processes[fault.Target]
	i.record.mark(p.id, fault.Duration, "%s", fault.Kind)
	if fault.Kind != ReloadProcess {
		defer i.cluster.outages.begin(fault.Target)()
	}
	switch fault.Kind {
	case PauseProcess:
		p.signal(syscall.SIGSTOP)
		wall.sleep(fault.Duration)
		p.signal(syscall.SIGCONT)
		return
	case ReloadProcess:
		p.reload()
		return
	case StopProcess:
		if err := p.stop(); err != nil {
			i.record.addViolation("Stop", "%v", err)
		}
	case TearLog:
		p.kill()
		if err := p.appendTornRecord(tornRecord(fault.RandomBits)); err != nil {
			i.record.addViolation("Soak", "%v", err)
		}
	case WipeReplica:
		p.kill()
		if err := p.wipe(); err != nil {
			i.record.addViolation("Soak", "%v", err)
		}
	default:
		p.kill()
	}
	wall.sleep(fault.Duration / 4)
	if err := p.start(); err != nil {
		i.record.addViolation("Soak", "%s cannot be started: %v", p.id, err)
	}
}

// tornRecord returns the bytes of a torn record. The same draw always gives the same bytes.
func tornRecord(draw uint64) []byte {
	var garbage []byte
	for range 1 + draw%(maxGarbage/8) {
		garbage = binary.LittleEndian.AppendUint64(garbage, draw)
	}
	return garbage[:1+draw%uint64(len(garbage))]
}
