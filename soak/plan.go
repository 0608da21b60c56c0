package soak

import (
	"math/rand/v2"
	"time"
)

// Kinds of faults.
const (
	// KillProcess kills a process and starts it again.
	KillProcess FaultKind = "Kill"
	// TearLog kills a replica and leaves a torn record at the end of its log.
	TearLog FaultKind = "Tear"
	// WipeReplica kills a replica and deletes its data.
	WipeReplica FaultKind = "Wipe"
	// ReplaceReplica kills a replica for good and starts a successor. Successors count as targets after the
	// replicas of the start.
	ReplaceReplica FaultKind = "Replace"
	// RetireReplica starts a successor of a replica and then asks the replica to stop for good.
	RetireReplica FaultKind = "Retire"
	// MeetStranger makes a replica of another deployment's log, which runs already, learn of the replicas.
	MeetStranger FaultKind = "MeetStranger"
	// StopProcess asks a process to exit and starts it again.
	StopProcess FaultKind = "Stop"
	// PauseProcess suspends a process with SIGSTOP and resumes it.
	PauseProcess FaultKind = "Pause"
	// ReloadProcess makes a process read its settings again.
	ReloadProcess FaultKind = "Reload"
	// DelayLink delays data on the connections to a process, in both directions.
	DelayLink FaultKind = "Delay"
	// ResetLink resets the connections to a process.
	ResetLink FaultKind = "Reset"
	// CutIn holds back data to a process, CutOut data from it, and Silence both.
	CutIn   FaultKind = "CutIn"
	CutOut  FaultKind = "CutOut"
	Silence FaultKind = "Silence"
	// Refuse closes new connections to a process at once.
	Refuse FaultKind = "Refuse"
	// CutDomains cuts two failure domains from each other, one of them that of the log's leader.
	CutDomains FaultKind = "CutDomains"
	// CorruptUpstream makes an upstream misbehave in one of the ways in upstreamFaults.
	CorruptUpstream FaultKind = "Spoil"
	// CrashUpstream kills an upstream and starts its next incarnation.
	CrashUpstream FaultKind = "Crash"
	// RefuseService makes all upstreams of a service refuse requests.
	RefuseService FaultKind = "RefuseService"
	// KillGateways kills all gateways at once and starts them again.
	KillGateways FaultKind = "KillGateways"
	// LeaveUpstream makes an upstream say in its answers that it leaves, and ends it later. Its next
	// incarnation stays.
	LeaveUpstream FaultKind = "Leave"
	// RefuseForTime makes an upstream refuse all requests for a time that it names.
	RefuseForTime FaultKind = "RefuseForTime"
	// SlowService makes all upstreams of a service work slowdown times as long.
	SlowService FaultKind = "SlowService"
	// GarbleStreams makes all upstreams of the model garble a share of their streams.
	GarbleStreams FaultKind = "GarbleStreams"
	// AnswerWithoutEnd makes all upstreams of a service give answers without end to a share of the
	// requests.
	AnswerWithoutEnd FaultKind = "AnswerWithoutEnd"
	// AnswerEarly makes the upstreams of the faulty service answer before they have read the request.
	AnswerEarly FaultKind = "AnswerEarly"
	// FullDisk makes a replica's disk take no more bytes.
	FullDisk FaultKind = "FullDisk"
	// LoseLeader kills the leader of the log right after a change was acknowledged.
	LoseLeader FaultKind = "LoseLeader"
	// GarbleAnnouncements sends announcements that cannot be read.
	GarbleAnnouncements FaultKind = "GarbleAnnouncements"
	// Publish is the operator's order to publish the next configuration.
	Publish FaultKind = "Publish"
	// NameVersion is the operator's order to set the next version of the weights.
	NameVersion FaultKind = "NameVersion"
	// Evacuate takes a failure domain out of service by the operator's order and brings it
	// back.
	Evacuate FaultKind = "Evacuate"
)

const (
	// meanGap is the mean time between the starts of two series of faults, meanLaterGap that for
	// laterKinds, meanAnswerGap that for answerKinds, meanLogGap that for logKinds.
	meanGap       = 700 * time.Millisecond
	meanLaterGap  = 1500 * time.Millisecond
	meanAnswerGap = 4 * time.Second
	meanLogGap    = 3 * time.Second
	// maxSeriesLength bounds the number of faults in one series.
	maxSeriesLength = 3
	// minDuration and maxDuration bound the field Duration of a fault.
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
)

type (
	// FaultKind names a kind of fault.
	FaultKind string

	// Fault is one fault of a plan.
	Fault struct {
		// At is when the fault begins, counted from the start of the plan.
		At time.Duration
		// Duration is how long the fault lasts. A killed or stopped process starts again after a
		// quarter of this time. Reloads, crashes of upstreams, publications and new versions
		// ignore Duration.
		Duration time.Duration
		Kind     FaultKind
		// Target is the index of a process or an upstream, depending on the kind. Orders by the
		// operator ignore Target.
		Target int
		// RandomBits holds random bits that decide details, such as the bytes of a torn record.
		RandomBits uint64
	}

	// targetClass says what a kind of fault affects.
	targetClass int

	weightedKind struct {
		kind   FaultKind
		weight int
		class  targetClass
	}
)

const (
	anyProcess targetClass = iota
	anyReplica
	anyUpstream
	noTarget
)

// kinds lists the kinds of faults with their relative frequency.
var kinds = []weightedKind{
	{KillProcess, 6, anyProcess},
	{TearLog, 2, anyReplica},
	{StopProcess, 5, anyProcess},
	{PauseProcess, 6, anyProcess},
	{ReloadProcess, 2, anyProcess},
	{DelayLink, 4, anyProcess},
	{ResetLink, 6, anyProcess},
	{CutIn, 4, anyProcess},
	{CutOut, 4, anyProcess},
	{Silence, 4, anyProcess},
	{Refuse, 3, anyProcess},
	{CorruptUpstream, 10, anyUpstream},
	{CrashUpstream, 4, anyUpstream},
	{Publish, 8, noTarget},
	{NameVersion, 2, noTarget},
	{Evacuate, 1, noTarget},
}

// laterKinds lists kinds that were added later. They are drawn apart from the others, so that these stay the
// same for a seed.
var laterKinds = []weightedKind{
	{LeaveUpstream, 4, anyUpstream},
	{RefuseForTime, 4, anyUpstream},
	{RefuseService, 1, noTarget},
	{SlowService, 1, noTarget},
	{KillGateways, 1, noTarget},
}

// answerKinds lists the kinds of bytes that are no answer. They are drawn apart, as laterKinds are.
var answerKinds = []weightedKind{
	{GarbleStreams, 2, noTarget},
	{AnswerWithoutEnd, 1, noTarget},
}

// logKinds lists the kinds of faults around the log. They are drawn apart, as laterKinds are.
var logKinds = []weightedKind{
	{FullDisk, 3, anyReplica},
	{LoseLeader, 2, noTarget},
	{GarbleAnnouncements, 1, noTarget},
}

// NewPlan returns the random faults of a seed, ordered by their start. Faults come in series
// of the same kind and target, and may overlap. A plan wipes at most one replica, since the
// deployment tolerates the loss of only one disk at once (LostDisks = 1 in its settings).
func NewPlan(seed uint64, length time.Duration, size Size) []Fault {
	random := rand.New(rand.NewPCG(seed, uint64(size.processes()))) //nolint:gosec // repeatable
	plan := drawSeries(random, kinds, meanGap, length, size)
	if random.IntN(2) == 0 {
		plan = append(plan, Fault{
			At: time.Duration(random.Int64N(int64(length / 2))), Duration: minDuration, Kind: WipeReplica, Target: random.IntN(size.Replicas),
		})
	}
	later := rand.New(rand.NewPCG(^seed, uint64(size.processes()))) //nolint:gosec // repeatable
	plan = append(plan, drawSeries(later, laterKinds, meanLaterGap, length, size)...)
	answers := rand.New(rand.NewPCG(seed, ^uint64(size.processes()))) //nolint:gosec // repeatable
	plan = append(plan, drawSeries(answers, answerKinds, meanAnswerGap, length, size)...)
	around := rand.New(rand.NewPCG(^seed, ^uint64(size.processes()))) //nolint:gosec // repeatable
	plan = append(plan, drawSeries(around, logKinds, meanLogGap, length, size)...)
	return sorted(plan)
}

// drawSeries draws series of faults of the given kinds.
func drawSeries(random *rand.Rand, kinds []weightedKind, gap, length time.Duration, size Size) []Fault {
	var plan []Fault
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(2 * gap))) {
		chosen := drawKind(random, kinds)
		fault := Fault{At: at, Kind: chosen.kind, Target: drawTarget(random, chosen.class, size)}
		for range 1 + random.IntN(maxSeriesLength) {
			fault.Duration = minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
			fault.RandomBits = random.Uint64()
			plan = append(plan, fault)
			fault.At += time.Duration(random.Int64N(int64(fault.Duration)))
		}
	}
	return plan
}

func drawKind(random *rand.Rand, kinds []weightedKind) weightedKind {
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

func drawTarget(random *rand.Rand, class targetClass, size Size) int {
	switch class {
	case anyReplica:
		return random.IntN(size.Replicas)
	case anyProcess:
		return random.IntN(size.processes())
	case anyUpstream:
		return random.IntN(size.upstreams())
	case noTarget:
	}
	return 0
}
