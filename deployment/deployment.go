// Package deployment describes the two deployments for which figbank was built. The
// demo and the example folders run them on loopback addresses.
package deployment

import (
	"fmt"
	"time"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/types/known/durationpb"
)

type (
	// Deployment describes the failure domains, services and workspaces of one
	// organization that runs figbank.
	Deployment struct {
		Name    string
		Domains []Domain
		// Services are listed in the order in which they are declared.
		Services   []Service
		Workspaces []figbank.Workspace
	}

	// Domain is a failure domain. Each domain is in a region of its own.
	Domain struct {
		Name     figbank.FailureDomain
		Region   figbank.Region
		Gateways int
	}

	// Service is one service. It has Upstreams[i] upstreams in Domains[i], each on a host of
	// its own. Capacity is the capacity of each upstream, in cost units.
	Service struct {
		Name       figbank.ServiceName
		Model      bool
		Repeatable bool
		Upstreams  []int
		Capacity   int64
	}
)

const (
	workspaceCount    = 10
	replicaCount      = 3
	modelCapacity     = 16
	plainCapacity     = 32
	firstLimit        = 4
	timelineEvents    = 65536
	chunksInFlight    = 4
	chunksServed      = 4
	versionsKept      = 1
	snapshotEntries   = 4096
	queueLength       = 512
	retryShare        = 20
	maxBody           = 1 << 20
	maxHeld           = 64 << 20
	streamWindow      = 32 << 10
	queueAge          = 5 * time.Second
	deadline          = 60 * time.Second
	shutdownNotice    = 2 * time.Second
	upstreamLease     = 3 * time.Second
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	announceInterval  = time.Second
	pollInterval      = 250 * time.Millisecond
	settleTime        = time.Second
	stallTime         = 10 * time.Second
)

// ByName returns the deployment with that name, or nil.
func ByName(name string) *Deployment {
	switch name {
	case "tabwright":
		return tabwright()
	case "bluehole":
		return bluehole()
	}
	return nil
}

func tabwright() *Deployment {
	return &Deployment{
		Name: "tabwright",
		Domains: []Domain{
			{Name: "akl-a", Region: "auckland", Gateways: 3},
			{Name: "wlg-a", Region: "wellington", Gateways: 2},
			{Name: "chc-a", Region: "christchurch", Gateways: 2},
		},
		Services: []Service{
			{Name: "tabmodel", Model: true, Repeatable: true, Upstreams: []int{3, 3, 3}, Capacity: modelCapacity},
			{Name: "cutdesk", Upstreams: []int{1, 1, 1}, Capacity: plainCapacity},
			{Name: "backroom", Repeatable: true, Upstreams: []int{1, 0, 0}, Capacity: plainCapacity},
		},
		Workspaces: workspaceNames("bindery"),
	}
}

func bluehole() *Deployment {
	return &Deployment{
		Name: "bluehole",
		Domains: []Domain{
			{Name: "ocho-a", Region: "north", Gateways: 3},
			{Name: "negril-a", Region: "west", Gateways: 3},
			{Name: "boston-a", Region: "east", Gateways: 2},
		},
		Services: []Service{
			{Name: "tide-coach", Model: true, Repeatable: true, Upstreams: []int{5, 5, 4}, Capacity: modelCapacity},
			{Name: "bookings", Upstreams: []int{1, 1, 1}, Capacity: plainCapacity},
			{Name: "ledger-bridge", Repeatable: true, Upstreams: []int{1, 0, 0}, Capacity: plainCapacity},
		},
		Workspaces: workspaceNames("desk"),
	}
}

func workspaceNames(prefix string) []figbank.Workspace {
	var names []figbank.Workspace
	for i := range workspaceCount {
		names = append(names, figbank.Workspace(fmt.Sprintf("%s-%d", prefix, i)))
	}
	return names
}

// CallerKey returns the key of a workspace in demos and examples.
func CallerKey(workspace figbank.Workspace) string {
	return "caller-" + string(workspace)
}

// OperatorKey is the key of the operators in demos and examples.
const OperatorKey = "operator"

// ModelService returns the first service that serves a model.
func (d *Deployment) ModelService() Service {
	for _, service := range d.Services {
		if service.Model {
			return service
		}
	}
	return Service{}
}

// BookingService returns the first service whose calls may not be repeated.
func (d *Deployment) BookingService() Service {
	for _, service := range d.Services {
		if !service.Repeatable {
			return service
		}
	}
	return Service{}
}

// ModelHosts returns the number of hosts that need weights.
func (d *Deployment) ModelHosts() int {
	hosts := 0
	for _, upstreams := range d.ModelService().Upstreams {
		hosts += upstreams
	}
	return hosts
}

func processSettings(id string, domain Domain, address string) *schema.ProcessSettings {
	return &schema.ProcessSettings{
		Id: id, Region: string(domain.Region), FailureDomain: string(domain.Name), ListenProcesses: address,
		LogFormat: "Console", LogLevel: "Info", TimelineEvents: timelineEvents,
	}
}

func requestSettings() *schema.RequestSettings {
	return &schema.RequestSettings{
		MaxBody: maxBody, MaxHeld: maxHeld, StreamWindow: streamWindow, QueueLength: queueLength,
		QueueAge: durationpb.New(queueAge), Deadline: durationpb.New(deadline), RetryShare: retryShare,
		ShutdownNotice: durationpb.New(shutdownNotice), UpstreamLease: durationpb.New(upstreamLease),
	}
}

func logSettings() *schema.LogSettings {
	return &schema.LogSettings{
		ElectionTimeout: durationpb.New(electionTimeout), HeartbeatInterval: durationpb.New(heartbeatInterval),
		SnapshotEntries: snapshotEntries,
	}
}
