package soak

import (
	"maps"
	"slices"
	"strings"
	"time"

	"figbank"
)

const (
	// firstKill and killInterval are when restartsWhileRefused kills the gateways.
	firstKill    = time.Second
	killInterval = time.Second
	// pressingCallers is the number of callers at each gateway that ask for more than is served.
	pressingCallers = 60
)

// Scenario is a load with faults that has a name.
type Scenario struct {
	faults func(length time.Duration) []Fault
	// callers is the number of callers at each gateway.
	callers int
	// sized is set if callers send only streams, with prompts of different lengths.
	sized bool
	// pressing is the number of callers of the faulty service at the first gateway, faultyUpstreams the
	// number of its upstreams.
	pressing, faultyUpstreams int
	// uploads is the length of the bodies that these callers send, 0 for usual ones.
	uploads int
	// replaced lists the replicas whose place successors take.
	replaced []int
	// cutsDomains is set if failure domains are cut from each other.
	cutsDomains bool
	// stranger is set if a replica with a log of its own is started besides.
	stranger bool
	// check checks at the end what only this scenario promises, unless it is nil.
	check func(*run)
}

var scenarios = map[string]*Scenario{
	"answers-without-end": {
		faults: answersWithoutEnd, callers: otherCallers, pressing: pressingFaulty, faultyUpstreams: faultyUpstreams, check: (*run).checkOthers,
	},
	"answers-to-uploads": {
		faults: answersToUploads, callers: otherCallers, pressing: uploaders, faultyUpstreams: earlyUpstreams, uploads: uploadBytes, check: (*run).checkUploads,
	},
	"domains-cut":            {faults: domainsCut, callers: callersPerGateway, cutsDomains: true},
	"full-disks":             {faults: fullDisks, callers: callersPerGateway},
	"garbled-streams":        {faults: garbledStreams, callers: garbledCallers, check: (*run).checkResumed},
	"hosts-lost":             {faults: hostsLost, callers: callersPerGateway, replaced: lostInTurn},
	"hosts-replaced":         {faults: hostsReplaced, callers: callersPerGateway, replaced: replacedInTurn},
	"leaders-lost":           {faults: leadersLost, callers: callersPerGateway},
	"odd-writers":            {faults: oddWriters, callers: callersPerGateway, check: (*run).checkServedBeside},
	"restarts-in-series":     {faults: restartsInSeries, callers: callersPerGateway},
	"restarts-while-refused": {faults: restartsWhileRefused, callers: callersPerGateway},
	"strangers":              {faults: strangersMet, callers: callersPerGateway, stranger: true},
	"slow-engines":           {faults: slowEngines, callers: pressingCallers, sized: true},
}

// ScenarioNames returns the names that FindScenario knows.
func ScenarioNames() []string {
	return slices.Sorted(maps.Keys(scenarios))
}

// FindScenario returns the scenario with a name, nil for an empty name.
func FindScenario(name string) (*Scenario, error) {
	if name == "" {
		return nil, nil //nolint:nilnil // no name, no scenario
	}
	scenario, found := scenarios[name]
	if !found {
		return nil, figbank.InvalidError{Subject: "scenario", Detail: "must be one of " + strings.Join(ScenarioNames(), ", ")}
	}
	return scenario, nil
}

// restartsWhileRefused kills all gateways again and again while the upstreams refuse all requests.
func restartsWhileRefused(length time.Duration) []Fault {
	plan := []Fault{{Duration: length, Kind: RefuseService}, {Duration: length, Kind: RefuseService, RandomBits: 1}}
	for at := firstKill; at < length; at += killInterval {
		plan = append(plan, Fault{At: at, Duration: minDuration, Kind: KillGateways})
	}
	return plan
}

// slowEngines makes all engines slow.
func slowEngines(length time.Duration) []Fault {
	return []Fault{{Duration: length, Kind: SlowService, RandomBits: 1}}
}
