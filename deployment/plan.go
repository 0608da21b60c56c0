package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"
	"strings"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/types/known/durationpb"
)

type (
	// AddressAllocator returns a different loopback address at each call.
	AddressAllocator func() (string, error)

	// Plan is a deployment with the settings and addresses of all its processes.
	Plan struct {
		Deployment *Deployment
		Gateways   []*schema.GatewaySettings
		Agents     []*schema.AgentSettings
		// Origin is the base URL of the origin.
		Origin string
	}
)

// NewPlan creates the settings of every process. The processes store their durable state below
// dataFolder.
func NewPlan(d *Deployment, addresses AddressAllocator, dataFolder string) (*Plan, error) {
	p := &planner{plan: &Plan{Deployment: d}, addresses: addresses, dataFolder: dataFolder}
	p.plan.Origin = "http://" + p.address()
	p.addGateways()
	p.linkGateways()
	p.addAgents()
	return p.plan, p.err
}

type planner struct {
	plan       *Plan
	addresses  AddressAllocator
	dataFolder string
	err        error
}

func (p *planner) address() string {
	address, err := p.addresses()
	if err != nil && p.err == nil {
		p.err = err
	}
	return address
}

func (p *planner) addGateways() {
	replicasAdded := 0
	for _, domain := range p.plan.Deployment.Domains {
		for i := range domain.Gateways {
			id := fmt.Sprintf("gateway-%s-%d", domain.Name, i)
			process := processSettings(id, domain, p.address())
			// In each of the first replicaCount domains, the first gateway runs a replica
			// of the log.
			if i == 0 && replicasAdded < replicaCount {
				replicasAdded++
				process.DataFolder = path.Join(p.dataFolder, id)
			}
			p.plan.Gateways = append(p.plan.Gateways, &schema.GatewaySettings{
				Process: process, Requests: requestSettings(), Log: logSettings(),
				Gateway: &schema.ListenSettings{
					ListenCallers: p.address(), ListenOperators: p.address(),
					CallerKeys: callerKeys(p.plan.Deployment), OperatorKeys: []string{digest(OperatorKey)},
				},
			})
		}
	}
}

// linkGateways adds to every gateway's settings the other gateways and the replicas
// of the log.
func (p *planner) linkGateways() {
	for _, gateway := range p.plan.Gateways {
		for _, other := range p.plan.Gateways {
			if other != gateway {
				gateway.Gateway.Gateways = append(gateway.Gateway.Gateways, other.GetProcess().GetListenProcesses())
			}
			if other.GetProcess().GetDataFolder() != "" {
				endpoint := other.GetProcess().GetId() + "@" + other.GetProcess().GetListenProcesses()
				gateway.Gateway.Replicas = append(gateway.Gateway.Replicas, endpoint)
			}
		}
	}
}

func (p *planner) addAgents() {
	for _, service := range p.plan.Deployment.Services {
		for domainIndex, domain := range p.plan.Deployment.Domains {
			for i := range service.Upstreams[domainIndex] {
				p.addAgent(service, domain, i)
			}
		}
	}
}

func (p *planner) addAgent(service Service, domain Domain, i int) {
	id := fmt.Sprintf("%s-%s-%d", service.Name, domain.Name, i)
	agent := &schema.AgentSettings{
		Process: processSettings(id, domain, p.address()),
		Upstream: &schema.UpstreamSettings{
			Service: string(service.Name), Kind: "Plain", Address: "http://" + p.address(),
			Capacity: service.Capacity, FirstLimit: firstLimit, Gateways: p.gatewaysIn(domain.Name),
			AnnounceInterval: durationpb.New(announceInterval), PollInterval: durationpb.New(pollInterval),
		},
		Weights: &schema.WeightSettings{
			ChunksInFlight: chunksInFlight, ChunksServed: chunksServed, VersionsKept: versionsKept,
			SettleTime: durationpb.New(settleTime), StallTime: durationpb.New(stallTime),
		},
	}
	if service.Model {
		agent.Upstream.Kind = "Model"
		// Every second engine checks fencing numbers, so that both cases occur.
		agent.Upstream.ChecksFencing = i%2 == 0
		agent.Process.DataFolder = path.Join(p.dataFolder, id)
		agent.Weights.Origin = p.plan.Origin
	}
	p.plan.Agents = append(p.plan.Agents, agent)
}

func (p *planner) gatewaysIn(domain figbank.FailureDomain) []string {
	var addresses []string
	for _, gateway := range p.plan.Gateways {
		if gateway.GetProcess().GetFailureDomain() == string(domain) {
			addresses = append(addresses, gateway.GetProcess().GetListenProcesses())
		}
	}
	return addresses
}

func callerKeys(d *Deployment) []string {
	var keys []string
	for _, workspace := range d.Workspaces {
		keys = append(keys, string(workspace)+"="+digest(CallerKey(workspace)))
	}
	return keys
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Declarations returns the content of the declaration file of each service, keyed
// by the service's name.
func (d *Deployment) Declarations(revision int64, version string, manifest figbank.ManifestDigest) map[figbank.ServiceName]string {
	files := map[figbank.ServiceName]string{}
	for _, service := range d.Services {
		files[service.Name] = d.serviceDeclaration(service, revision, version, manifest)
	}
	return files
}

func (d *Deployment) serviceDeclaration(service Service, revision int64, version string, manifest figbank.ManifestDigest) string {
	var domains []string
	for i, domain := range d.Domains {
		if service.Upstreams[i] > 0 {
			domains = append(domains, string(domain.Name))
		}
	}
	repeatable := "no"
	if service.Repeatable {
		repeatable = "yes"
	}
	text := fmt.Sprintf("[Service]\nName = %s\nRevision = %d\n", service.Name, revision)
	if service.Model {
		text += fmt.Sprintf("Kind = Model\nModel = %s-base\nVersion = %s\nManifest = %s\n", service.Name, version, manifest)
	} else {
		text += "Kind = Plain\n"
	}
	return text + fmt.Sprintf("FailureDomains = %s\nWorkspaces = *\nRepeatable = %s\n", strings.Join(domains, ", "), repeatable)
}

// DeclareDomain returns the content of a declaration file for a failure domain. State is "Out" to
// take the domain out of service, and "In" to bring it back.
func DeclareDomain(domain figbank.FailureDomain, revision int64, state string) string {
	return fmt.Sprintf("[FailureDomain]\nName = %s\nRevision = %d\nState = %s\n", domain, revision, state)
}
