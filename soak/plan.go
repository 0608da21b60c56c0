package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of fault.
const (
	// KillProcess ends a process at once and starts it again.
	KillProcess FaultKind = "Kill"
	// TearLog kills a replica in the middle of a write.
	TearLog FaultKind = "Tear"
	// WipeReplica kills a replica and empties its disk.
	WipeReplica FaultKind = "Wipe"
	// StopProcess asks a process to end and starts it again.
	StopProcess FaultKind = "Stop"
	// PauseProcess has a process stand still.
	PauseProcess FaultKind = "Pause"
	// ReloadProcess has a process read its settings again.
	ReloadProcess FaultKind = "Reload"
	// DelayLink, ResetLink, CutIn, CutOut, Silence and Refuse harm the way to a process.
	DelayLink FaultKind = "Delay"
	ResetLink FaultKind = "Reset"
	CutIn     FaultKind = "CutIn"
	CutOut    FaultKind = "CutOut"
	Silence   FaultKind = "Silence"
	Refuse    FaultKind = "Refuse"
	// SpoilUpstream has an upstream misbehave on its next request.
	SpoilUpstream FaultKind = "Spoil"
	// CrashUpstream ends an upstream and starts another incarnation.
	CrashUpstream FaultKind = "Crash"
	// Publish, NameVersion and Evacuate are changes by the operator.
	Publish     FaultKind = "Publish"
	NameVersion FaultKind = "NameVersion"
	Evacuate    FaultKind = "Evacuate"
)

const (
	// meanGap is between two series of faults.
	meanGap = 700 * time.Millisecond
	// mostSeries is how often one fault may be repeated in a row.
	mostSeries   = 3
	shortestHarm = 200 * time.Millisecond
	longestHarm  = 4 * time.Second
)

type (
	// FaultKind is a kind of trouble.
	FaultKind string

	// Fault is one trouble of a plan.
	Fault struct {
		At   time.Duration
		For  time.Duration
		Kind FaultKind
		// Target counts processes or upstreams, depending on the kind.
		Target int
		// Draw decides details, such as bytes and ways of misbehaving.
		Draw uint64
	}

	// target says what a kind is aimed at.
	target int

	weighted struct {
		kind   FaultKind
		weight int
		aim    target
	}
)

const (
	anyProcess target = iota
	replicas
	upstreams
	nothing
)

// kinds lists the faults with how often each comes.
var kinds = []weighted{
	{KillProcess, 6, anyProcess},
	{TearLog, 2, replicas},
	{StopProcess, 5, anyProcess},
	{PauseProcess, 6, anyProcess},
	{ReloadProcess, 2, anyProcess},
	{DelayLink, 4, anyProcess},
	{ResetLink, 6, anyProcess},
	{CutIn, 4, anyProcess},
	{CutOut, 4, anyProcess},
	{Silence, 4, anyProcess},
	{Refuse, 3, anyProcess},
	{SpoilUpstream, 10, upstreams},
	{CrashUpstream, 4, upstreams},
	{Publish, 8, nothing},
	{NameVersion, 2, nothing},
	{Evacuate, 1, nothing},
}

// NewPlan draws the faults of a seed, in order. They come in series and overlap.
// At most one disk is lost in a run: after that only what the deployment bears.
func NewPlan(seed uint64, length time.Duration, size Size) []Fault {
	random := rand.New(rand.NewPCG(seed, uint64(size.processes()))) //nolint:gosec // repeatable
	var plan []Fault
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(2 * meanGap))) {
		chosen := draw(random)
		fault := Fault{At: at, Kind: chosen.kind, Target: aim(random, chosen.aim, size)}
		for range 1 + random.IntN(mostSeries) {
			fault.For = shortestHarm + time.Duration(random.Int64N(int64(longestHarm-shortestHarm)))
			fault.Draw = random.Uint64()
			plan = append(plan, fault)
			fault.At += time.Duration(random.Int64N(int64(fault.For)))
		}
	}
	if random.IntN(2) == 0 {
		plan = append(plan, Fault{
			At: time.Duration(random.Int64N(int64(length / 2))), For: shortestHarm, Kind: WipeReplica, Target: random.IntN(size.Replicas),
		})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

func draw(random *rand.Rand) weighted {
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	left := random.IntN(sum)
	for _, k := range kinds {
		if left -= k.weight; left < 0 {
			return k
		}
	}
	return kinds[0]
}

func aim(random *rand.Rand, at target, size Size) int {
	switch at {
	case replicas:
		return random.IntN(size.Replicas)
	case anyProcess:
		return random.IntN(size.processes())
	case upstreams:
		return random.IntN(size.upstreams())
	case nothing:
	}
	return 0
}
