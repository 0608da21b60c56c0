package settings

import (
	"strings"

	"figbank"
	"figbank/inifile"
	"figbank/schema"
)

const (
	// heartbeatsPerElection is the smallest allowed ratio of ElectionTimeout to HeartbeatInterval.
	heartbeatsPerElection = 3
	percent               = 100
	// defaultRequestMemory is what the requests of a gateway may hold together if MemoryLimit is not set.
	defaultRequestMemory figbank.Bytes = 64 << 20
)

// checkGateway checks the rules of a gateway's settings that a KeyRule cannot express.
func checkGateway(file string, sections map[string]inifile.Section, s *schema.GatewaySettings) []inifile.Problem {
	var problems []inifile.Problem
	report := func(section, key, detail string) {
		problems = append(problems, inifile.Problem{File: file, Line: max(1, sections[section].LineOf(key)), Section: section, Key: key, Detail: detail})
	}
	if len(s.GetGateway().GetReplicas())%2 == 0 {
		report("Gateway", "Replicas", "the number of replicas must be odd")
	}
	if s.GetLog().GetHeartbeatInterval().AsDuration()*heartbeatsPerElection > s.GetLog().GetElectionTimeout().AsDuration() {
		report("Log", "HeartbeatInterval", "must be at most a third of ElectionTimeout")
	}
	if IsReplica(s) && s.GetProcess().GetDataFolder() == "" {
		report("Process", "DataFolder", "a replica needs a folder for its log")
	}
	if !IsReplica(s) && s.GetProcess().GetDataFolder() != "" {
		report("Process", "DataFolder", "set on a gateway whose Id is not among Replicas")
	}
	return problems
}

// checkAgent checks the rules of an agent's settings that a KeyRule cannot express.
func checkAgent(file string, sections map[string]inifile.Section, s *schema.AgentSettings) []inifile.Problem {
	var problems []inifile.Problem
	report := func(section, key, detail string) {
		problems = append(problems, inifile.Problem{File: file, Line: max(1, sections[section].LineOf(key)), Section: section, Key: key, Detail: detail})
	}
	if s.GetUpstream().GetFirstLimit() > s.GetUpstream().GetCapacity() {
		report("Upstream", "FirstLimit", "must not exceed Capacity")
	}
	if s.GetUpstream().GetKind() != "Model" {
		return problems
	}
	if s.GetWeights().GetOrigin() == "" {
		report("Weights", "Origin", "a model's agent needs an origin")
	}
	if s.GetProcess().GetDataFolder() == "" {
		report("Process", "DataFolder", "a model's agent needs a folder for weights")
	}
	return problems
}

// checkPlatform checks that HeartbeatInterval is short enough for ElectionTimeout.
func checkPlatform(file string, sections map[string]inifile.Section, s *schema.PlatformSettings) []inifile.Problem {
	var problems []inifile.Problem
	if s.GetLog().GetHeartbeatInterval().AsDuration()*heartbeatsPerElection > s.GetLog().GetElectionTimeout().AsDuration() {
		problems = append(problems, inifile.Problem{
			File: file, Line: max(1, sections["Log"].LineOf("HeartbeatInterval")), Section: "Log", Key: "HeartbeatInterval",
			Detail: "must be at most a third of ElectionTimeout",
		})
	}
	return problems
}

// WeightBandwidth returns how many bytes of weights per second may pass over the host's
// link in each direction; 0 means no limit.
func WeightBandwidth(w *schema.WeightSettings) figbank.Bytes {
	return figbank.Bytes(w.GetLinkRate() * float64(figbank.Megabit) * float64(w.GetLinkShare()) / percent)
}

// RequestMemory returns how many bytes all requests of a gateway may hold together. The rest of the
// memory is for garbage that is not collected yet, for bytes that have arrived but are not read, and
// for the process itself.
func RequestMemory(n *schema.NodeSettings) figbank.Bytes {
	if n.GetMemoryLimit() == 0 {
		return defaultRequestMemory
	}
	return memoryLimit(n) * 3 / 8
}

// HeapLimit returns the size that the memory of the Go runtime should not exceed, 0 for no limit. The
// collector works more often before it does.
func HeapLimit(n *schema.NodeSettings) figbank.Bytes {
	return memoryLimit(n) * 3 / 4
}

func memoryLimit(n *schema.NodeSettings) figbank.Bytes {
	return figbank.Bytes(n.GetMemoryLimit() * float64(figbank.Megabyte))
}

// RegionsOf returns the region of each failure domain.
func RegionsOf(s *schema.PlatformSettings) map[figbank.FailureDomain]figbank.Region {
	regions := map[figbank.FailureDomain]figbank.Region{}
	for _, text := range s.GetNode().GetRegions() {
		domain, region, _ := strings.Cut(text, "=")
		regions[figbank.FailureDomain(domain)] = figbank.Region(region)
	}
	return regions
}

// ProcessAddress returns the address at which other figbank processes connect to
// this one: ReachedAt if it is set, ListenProcesses otherwise.
func ProcessAddress(p *schema.ProcessSettings) figbank.Address {
	if p.GetReachedAt() != "" {
		return figbank.Address(p.GetReachedAt())
	}
	return figbank.Address(p.GetListenProcesses())
}

// IsReplica reports whether a gateway is a replica of the log, that is, whether its Id is in
// Replicas.
func IsReplica(s *schema.GatewaySettings) bool {
	_, found := Replicas(s)[figbank.ProcessID(s.GetProcess().GetId())]
	return found
}

// Replicas returns the address of each replica.
func Replicas(s *schema.GatewaySettings) map[figbank.ProcessID]figbank.Address {
	replicas := map[figbank.ProcessID]figbank.Address{}
	for _, text := range s.GetGateway().GetReplicas() {
		id, address, _ := strings.Cut(text, "@")
		replicas[figbank.ProcessID(id)] = figbank.Address(address)
	}
	return replicas
}
