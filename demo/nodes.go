package demo

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"figbank"
	"figbank/app"
	"figbank/clock"
	"figbank/deployment"
	"figbank/fake"

	"go.uber.org/fx"
)

const (
	modelLoadTime = 300 * time.Millisecond
	tokenInterval = 5 * time.Millisecond
	workTime      = 20 * time.Millisecond
	// originLimitEvery makes the fake origin refuse one of originLimitEvery requests for files,
	// with status 429.
	originLimitEvery = 997
	// The demo picks its first port at random from the portRange ports that begin with
	// firstPort. All its ports are below lastPort.
	firstPort = 12000
	portRange = 10000
	lastPort  = 30000
)

// nodes holds all gateways, agents and fakes of a deployment. They run in this process.
type nodes struct {
	plan   *deployment.Plan
	origin *fake.Origin
	// engines and services hold the fake upstreams of the agents, by upstream id. domains holds
	// the failure domain of each upstream.
	engines  map[figbank.UpstreamID]*fake.Engine
	services map[figbank.UpstreamID]*fake.Service
	domains  map[figbank.UpstreamID]figbank.FailureDomain
	// runCounter records which bookings have run.
	runCounter *fake.RunCounter
	log        io.Writer
	gateways   []*fx.App
	agents     []*fx.App
}

// startNodes starts the fakes, the gateways and the agents. If the returned nodes are not nil, the
// caller must stop them, even if startNodes also returns an error.
func startNodes(ctx context.Context, d *deployment.Deployment, dataFolder string, log io.Writer) (*nodes, error) {
	plan, err := deployment.NewPlan(d, freeAddresses(), dataFolder)
	if err != nil {
		return nil, err
	}
	n := &nodes{
		plan:       plan,
		engines:    map[figbank.UpstreamID]*fake.Engine{},
		services:   map[figbank.UpstreamID]*fake.Service{},
		domains:    map[figbank.UpstreamID]figbank.FailureDomain{},
		runCounter: fake.NewRunCounter(),
		log:        log,
	}
	if err := n.startFakes(); err != nil {
		return n, err
	}
	for _, settings := range plan.Gateways {
		gateway, err := startApp(ctx, app.NewGateway(settings, n.output()))
		if err != nil {
			return n, err
		}
		n.gateways = append(n.gateways, gateway)
	}
	for _, settings := range plan.Agents {
		agent, err := startApp(ctx, app.NewAgent(settings, n.output()))
		if err != nil {
			return n, err
		}
		n.agents = append(n.agents, agent)
	}
	return n, nil
}

// stop stops the agents, then the gateways and then the fakes.
func (n *nodes) stop(ctx context.Context) error {
	err := errors.Join(stopAll(ctx, n.agents), stopAll(ctx, n.gateways))
	for _, engine := range n.engines {
		engine.Close()
	}
	for _, service := range n.services {
		service.Close()
	}
	if n.origin != nil {
		n.origin.Close()
	}
	return err
}

// runsIn returns how many completions the engines of a failure domain have started plus how
// many requests its services have received.
func (n *nodes) runsIn(domain figbank.FailureDomain) int {
	runs := 0
	for id, engine := range n.engines {
		if n.domains[id] == domain {
			started, _ := engine.Runs()
			runs += started
		}
	}
	for id, service := range n.services {
		if n.domains[id] == domain {
			runs += service.Received()
		}
	}
	return runs
}

func (n *nodes) startFakes() error {
	listener, err := listen(n.plan.Origin)
	if err != nil {
		return err
	}
	n.origin = fake.NewOrigin(listener, originLimitEvery)
	for _, agent := range n.plan.Agents {
		listener, err := listen(agent.GetUpstream().GetAddress())
		if err != nil {
			return err
		}
		id := figbank.UpstreamID(agent.GetProcess().GetId())
		n.domains[id] = figbank.FailureDomain(agent.GetProcess().GetFailureDomain())
		if agent.GetUpstream().GetKind() == "Plain" {
			n.services[id] = fake.NewService(listener, clock.System{}, workTime, n.runCounter)
			continue
		}
		n.engines[id] = fake.NewEngine(listener, clock.System{}, fake.EngineSettings{
			LoadTime: modelLoadTime, TokenInterval: tokenInterval, ChecksFencing: agent.GetUpstream().GetChecksFencing(),
		})
	}
	return nil
}

func startApp(ctx context.Context, process *fx.App) (*fx.App, error) {
	return process, figbank.WrapError("demo", "Start", process.Start(ctx))
}

func stopAll(ctx context.Context, processes []*fx.App) error {
	failures := make([]error, len(processes))
	var group sync.WaitGroup
	for i, process := range processes {
		group.Go(func() { failures[i] = process.Stop(ctx) })
	}
	group.Wait()
	return figbank.WrapError("demo", "Stop", errors.Join(failures...))
}

func (n *nodes) output() fx.Option {
	return fx.Replace(app.Output{Writer: n.log})
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", strings.TrimPrefix(address, "http://")) //nolint:noctx // listens for the life of the demo
	return listener, figbank.WrapError("demo", "Listen", err, "address", address)
}

// freeAddresses returns an allocator of loopback addresses on which nothing listens. Their
// ports lie below those that the system assigns to outgoing connections.
func freeAddresses() deployment.AddressAllocator {
	port := firstPort + rand.IntN(portRange) //nolint:gosec // keeps two demos apart, no secret
	return func() (string, error) {
		for ; port < lastPort; port++ {
			address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
			listener, err := net.Listen("tcp", address) //nolint:noctx // closed at once
			if err != nil {
				continue
			}
			port++
			return address, figbank.WrapError("demo", "FreeAddress", listener.Close())
		}
		return "", figbank.InvalidError{Subject: "host", Detail: "no free port on the loopback address"}
	}
}
