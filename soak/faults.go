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
	longestDelay = 300 * time.Millisecond
	garbageMost  = 40
	// crashLong is how long an upstream stays away at most.
	crashLong = time.Second
)

// spoils are the ways in which upstreams misbehave.
var spoils = []standin.Fault{
	standin.CutEvent, standin.Refuse, standin.CrossAnswer, standin.CutBody, standin.Fail, standin.None,
}

// faults carries out a plan.
type faults struct {
	world     *world
	operators *operators
	record    *record
	group     sync.WaitGroup
}

// play carries out each fault at its time, and returns once all have ended.
func (f *faults) play(ctx context.Context, plan []Fault) {
	began := wall.Now()
	for _, fault := range plan {
		select {
		case <-ctx.Done():
		case <-wall.After(fault.At - wall.since(began)):
		}
		if ctx.Err() != nil {
			break
		}
		f.group.Go(func() { f.strike(ctx, fault) })
	}
	f.group.Wait()
}

func (f *faults) strike(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case Publish:
		f.record.mark("operator", 0, "publish")
		f.operators.publish(ctx)
	case NameVersion:
		f.record.mark("operator", 0, "name a version")
		f.operators.nameVersion(ctx)
	case Evacuate:
		zone := zoneOf(int(fault.Draw % zonesMost))
		f.record.mark("operator", fault.For, "evacuate %s", zone)
		f.operators.evacuate(ctx, zone, fault.For)
	case SpoilUpstream, CrashUpstream:
		f.strikeUpstream(fault)
	case DelayLink, ResetLink, CutIn, CutOut, Silence, Refuse:
		f.strikeLink(fault)
	default:
		f.strikeProcess(fault)
	}
}

func (f *faults) strikeUpstream(fault Fault) {
	f.world.mu.Lock()
	now := f.world.upstreams[fault.Target].now
	f.world.mu.Unlock()
	f.record.mark("upstream", 0, "%s upstream %d", fault.Kind, fault.Target)
	if fault.Kind == SpoilUpstream {
		now.SetFault(spoils[fault.Draw%uint64(len(spoils))])
		wall.sleep(fault.For)
		now.SetFault(standin.None)
		return
	}
	if err := f.world.crash(fault.Target, time.Duration(fault.Draw%uint64(crashLong))); err != nil {
		f.record.breaks("Soak", "upstream %d does not come back: %v", fault.Target, err)
	}
}

func (f *faults) strikeLink(fault Fault) {
	harm := Harm{}
	switch fault.Kind {
	case DelayLink:
		harm.Delay = time.Duration(fault.Draw % uint64(longestDelay))
	case CutIn:
		harm.HoldIn = true
	case CutOut:
		harm.HoldOut = true
	case Silence:
		harm.HoldIn, harm.HoldOut = true, true
	case Refuse:
		harm.Refuse = true
	}
	f.record.mark(f.world.processes[fault.Target].id, fault.For, "%s", fault.Kind)
	for _, link := range f.world.links[fault.Target] {
		if fault.Kind == ResetLink {
			link.Reset()
			continue
		}
		link.SetHarm(harm)
	}
	wall.sleep(fault.For)
	for _, link := range f.world.links[fault.Target] {
		// What was held either arrives late or is lost with its connection.
		if fault.Draw&1 == 0 {
			link.Reset()
		}
		link.SetHarm(Harm{})
	}
}

func (f *faults) strikeProcess(fault Fault) {
	p := f.world.processes[fault.Target]
	f.record.mark(p.id, fault.For, "%s", fault.Kind)
	switch fault.Kind {
	case PauseProcess:
		p.signal(syscall.SIGSTOP)
		wall.sleep(fault.For)
		p.signal(syscall.SIGCONT)
		return
	case ReloadProcess:
		p.reload()
		return
	case StopProcess:
		if err := p.stop(); err != nil {
			f.record.breaks("Stop", "%v", err)
		}
	case TearLog:
		p.kill()
		if err := p.tear(garbageOf(fault.Draw)); err != nil {
			f.record.breaks("Soak", "%v", err)
		}
	case WipeReplica:
		p.kill()
		if err := p.wipe(); err != nil {
			f.record.breaks("Soak", "%v", err)
		}
	default:
		p.kill()
	}
	wall.sleep(fault.For / 4)
	if err := p.start(); err != nil {
		f.record.breaks("Soak", "%s does not start: %v", p.id, err)
	}
}

// garbageOf is the torn record of a draw.
func garbageOf(draw uint64) []byte {
	var garbage []byte
	for range 1 + draw%(garbageMost/8) {
		garbage = binary.LittleEndian.AppendUint64(garbage, draw)
	}
	return garbage[:1+draw%uint64(len(garbage))]
}
