package soak

import (
	"slices"
	"time"
)

const (
	// seriesGap is the time from one fault of a series to the next.
	seriesGap = 8 * time.Second
	// publishGap is the time between two changes in a series.
	publishGap = 700 * time.Millisecond
	// fullTime is for how long a disk is full.
	fullTime = 2 * time.Second
	// cutTime is how long two failure domains are cut from each other.
	cutTime = 5500 * time.Millisecond
	// leaderLoss is how long the leader of the log is gone. It is more than gateways may take to go by a change.
	leaderLoss = applyTime + unstableTime + 1500*time.Millisecond
	// cycleGap is the time in which leadersLost does the same at each replica.
	cycleGap = 16 * time.Second
	// minServedBeside is how often requests must be served beside odd announcements, against how often they are later.
	minServedBeside = 0.9
)

// changes publishes again and again, while odd announcements come, and some that cannot be read.
func changes(length time.Duration) []Fault {
	plan := []Fault{{Duration: length, Kind: GarbleAnnouncements}}
	for at := time.Duration(0); at < length; at += publishGap {
		plan = append(plan, Fault{At: at, Kind: Publish})
	}
	return plan
}

// fullDisks makes the disk of each replica full in turn.
func fullDisks(length time.Duration) []Fault {
	plan := changes(length)
	for k, at := 0, time.Second; at < length; k, at = k+1, at+2*fullTime {
		plan = append(plan, Fault{At: at, Duration: fullTime, Kind: FullDisk, Target: k % scenarioReplicas})
	}
	return sorted(plan)
}

// leadersLost makes the disk of each replica full in turn. A while after each, the leader is lost right after an
// ack, for longer than gateways may take to go by the change.
func leadersLost(length time.Duration) []Fault {
	plan := changes(length)
	for k, at := 0, time.Second; at < length; k, at = k+1, at+cycleGap {
		plan = append(plan, Fault{At: at, Duration: fullTime, Kind: FullDisk, Target: k % scenarioReplicas})
		plan = append(plan, Fault{At: at + 2*fullTime, Duration: leaderLoss, Kind: LoseLeader})
	}
	return sorted(plan)
}

// domainsCut cuts two failure domains from each other while the third reaches both, again and again. As each cut ends,
// or shortly before, a replica is killed, and a gateway afterwards.
func domainsCut(length time.Duration) []Fault {
	plan := changes(length)
	for k, at := 0, time.Second; at < length; k, at = k+1, at+seriesGap {
		plan = append(plan,
			Fault{At: at, Duration: cutTime, Kind: CutDomains, Target: k, RandomBits: uint64(k)},
			Fault{At: at + cutTime - time.Duration(k%2)*fullTime/2, Duration: fullTime, Kind: KillProcess, Target: (k + k/domainCount) % scenarioReplicas},
			Fault{At: at + cutTime + fullTime/2, Duration: fullTime, Kind: StopProcess, Target: scenarioReplicas + k%scenarioReplicas},
		)
	}
	return sorted(plan)
}

// restartsInSeries disturbs one process after the other, replicas and gateways in turn, while disks are full and
// the leader is lost after acks.
func restartsInSeries(length time.Duration) []Fault {
	plan := changes(length)
	replicaFaults := []FaultKind{KillProcess, StopProcess, PauseProcess, FullDisk, LoseLeader, Silence, TearLog, CutIn, CutOut}
	gatewayFaults := []FaultKind{StopProcess, KillProcess, PauseProcess, ReloadProcess}
	for k, at := 0, time.Second; at < length; k, at = k+1, at+seriesGap {
		plan = append(plan, Fault{At: at, Duration: fullTime, Kind: replicaFaults[k%len(replicaFaults)], Target: k % scenarioReplicas, RandomBits: uint64(k)})
		plan = append(plan, Fault{At: at + seriesGap/2, Duration: fullTime, Kind: gatewayFaults[k%len(gatewayFaults)], Target: scenarioReplicas + k%scenarioReplicas})
	}
	return sorted(plan)
}

// oddWriters stops each replica in turn as planned and starts it again, while two operators publish at the same moment and
// odd announcements come.
func oddWriters(length time.Duration) []Fault {
	plan := changes(length)
	for at := publishGap / 2; at < length; at += 3 * publishGap {
		plan = append(plan, Fault{At: at, Kind: Publish}, Fault{At: at, Kind: Publish})
	}
	for k, at := 0, seriesGap/2; at < length; k, at = k+1, at+seriesGap {
		plan = append(plan, Fault{At: at, Duration: fullTime, Kind: StopProcess, Target: k % scenarioReplicas})
	}
	return sorted(plan)
}

// checkServedBeside records a violation if requests were served much less often beside odd announcements than later.
func (r *run) checkServedBeside() {
	r.checkServedShare("requests beside odd announcements", minServedBeside, func(request *sentRequest) bool { return slices.Contains(routes, request.route) })
}

func sorted(plan []Fault) []Fault {
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}
