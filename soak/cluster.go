package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"time"

	"figbank"
	"figbank/platform/standin"
)

const (
	domainCount = 3
	// pieces and layers are the counts of pieces and layers in the weights.
	pieces = 12
	layers = 4
	// slots is how many requests an upstream runs at once.
	slots = 8
	// plainWork is the duration of a plain request.
	plainWork = 5 * time.Millisecond
	// eventWork is the pause before each event of a stream.
	eventWork     = 10 * time.Millisecond
	appsPerDomain = 2
	// The base port of a run is chosen from portRange ports, starting with firstPort.
	firstPort       = 20000
	portRange       = 20000
	portsPerProcess = 5
	// Offsets of a process's ports from the base port.
	portControl = 0
	portProcess = 1
	portCallers = 2
	portReady   = 3
	portMetrics = 4
	// Roles of processes.
	roleReplica = "replica"
	roleGateway = "gateway"
	roleAgent   = "agent"
)

type (
	// Size is the number of processes of each role.
	Size struct {
		Replicas, Gateways, Agents int
	}

	// cluster is a deployment of real processes, with stand-ins for the systems around it
	// and with proxies in front of each process and upstream.
	cluster struct {
		size   Size
		folder string
		binary string
		// base is a random number from which the addresses and ports of a run are computed.
		base   int
		record *record
		origin *standin.Origin
		// engine describes the engines if prompts have different lengths, otherwise nil.
		engine *standin.Engine
		// receiver receives the reports of usage.
		receiver *standin.UsageReceiver
		// faultyUpstreams is the number of upstreams of the service that is faulty in a scenario.
		faultyUpstreams int
		// uploads is the length of the uploads that callers send to the faulty service, 0 for usual bodies.
		uploads int
		// replaced lists the replicas whose place successors take in a scenario.
		replaced []int
		// cutsDomains is set if domains are cut from each other, so that proxies must know who dials. To find out
		// takes time for each connection.
		cutsDomains bool
		// stranger is set if the last process is a replica of another deployment.
		stranger bool

		processes []*process
		// outages tells when faults disturbed which process, by its index.
		outages outages
		// proxies holds the proxies in front of each process.
		proxies [][]*Proxy
		// control holds the addresses of the proxies in front of the replicas' control ports.
		control []string
		// gateways holds the addresses on which the gateways listen for callers.
		gateways []string
		operator *standin.Operator

		mu sync.Mutex
		// hosts holds the indexes of the replicas that the operators count on now.
		hosts []int
		// upstreams holds the upstreams of the agents first, then those without an agent.
		upstreams []*upstream
		// faulty holds the upstreams of the faulty service.
		faulty []*standin.Upstream
		// endless says how many answers without end there were.
		endless string
		// ended holds the incarnations that have ended.
		ended []*standin.Upstream
		// incarnations counts the incarnations of all upstreams, including those that have ended.
		incarnations int
	}

	// upstream runs one incarnation of an upstream after another behind one proxy.
	upstream struct {
		// restarting is locked while one incarnation ends and the next one starts.
		restarting sync.Mutex
		config     standin.Config
		proxy      *Proxy
		current    *standin.Upstream
	}
)

func (s Size) processes() int { return s.Replicas + s.Gateways + s.Agents }
func (s Size) upstreams() int { return s.Agents + domainCount*appsPerDomain }

// newCluster prepares a deployment in a folder. It starts only the origin.
func newCluster(options Options, r *record) (*cluster, error) {
	origin, err := standin.StartOrigin(pieces)
	if err != nil {
		return nil, err
	}
	receiver, err := standin.StartUsageReceiver(usageLease)
	if err != nil {
		origin.Close()
		return nil, err
	}
	c := &cluster{
		receiver: receiver,
		size:     options.Size, folder: options.Folder, binary: options.Binary, record: r, origin: origin,
		base: firstPort + rand.IntN(portRange), //nolint:gosec // spreads runs, no secret
	}
	if options.Scenario != nil {
		c.faultyUpstreams, c.uploads, c.replaced = options.Scenario.faultyUpstreams, options.Scenario.uploads, options.Scenario.replaced
		c.stranger, c.cutsDomains = options.Scenario.stranger, options.Scenario.cutsDomains
	}
	if options.sized() {
		c.engine = &standin.Engine{ReadPerSecond: readPerSecond, Usual: usualPrompt, Events: sizedEvents}
	}
	for i := range options.Size.Replicas {
		c.hosts = append(c.hosts, i)
		c.control = append(c.control, c.proxyAddress(i, portControl))
	}
	c.operator = &standin.Operator{Control: c.control}
	for i := range options.Size.Gateways {
		c.gateways = append(c.gateways, c.listenAddress(options.Size.Replicas+i, portCallers))
	}
	return c, nil
}

// listenAddress returns an address on which the nth process listens.
func (c *cluster) listenAddress(n, port int) string { return c.address(0, n, port) }

// proxyAddress returns the address of the proxy in front of the address that listenAddress
// returns.
func (c *cluster) proxyAddress(n, port int) string { return c.address(1, n, port) }

// address returns a loopback address for the nth process. The parameter side is 0 for the
// process itself and 1 for its proxy; port is an offset from the base port. The random base
// keeps the addresses of concurrent runs apart.
func (c *cluster) address(side, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+c.base%200, 2*(c.base%120)+side, n+1, c.base+port)
}

// start starts the upstreams, the proxies and all processes, the replicas first.
func (c *cluster) start() error {
	for i := range c.size.Agents {
		if err := c.addUpstream(i, standin.ModelService); err != nil {
			return err
		}
	}
	for i := range domainCount * appsPerDomain {
		if err := c.addUpstream(i, standin.AppService); err != nil {
			return err
		}
	}
	if err := c.addFaultyUpstreams(); err != nil {
		return err
	}
	for n := range c.size.processes() {
		p, err := c.addProcess(c.spec(n))
		if err != nil {
			return err
		}
		if err := c.addProxies(n); err != nil {
			return err
		}
		c.keep(p)
		if err := p.start(); err != nil {
			return err
		}
	}
	if c.stranger {
		return c.addStranger()
	}
	return c.addSuccessors(c.replaced)
}

func (c *cluster) addProcess(spec processSpec) (*process, error) {
	return newProcess(spec, func(p *process, err error) {
		c.record.addViolation("OwnEnd", "%s exited without being asked to: %v", p.id, err)
	})
}

// addProxies starts the proxies in front of the nth process. Only replicas, and the successors behind all
// other processes, have a control port and a proxy for it.
func (c *cluster) addProxies(n int) error {
	var proxies []*Proxy
	for _, port := range []int{portProcess, portControl} {
		if port == portControl && n >= c.size.Replicas && n < c.size.processes() {
			continue
		}
		proxy, err := StartProxy(c.proxyAddress(n, port), c.listenAddress(n, port))
		if err != nil {
			return err
		}
		if c.cutsDomains && port == portProcess {
			proxy.NameDialers(c.dialerOf)
		}
		proxies = append(proxies, proxy)
	}
	c.proxies = append(c.proxies, proxies)
	return nil
}

// keep adds a process.
func (c *cluster) keep(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
}

func domainOf(n int) string { return "z" + string(rune('a'+n%domainCount)) }

// spec describes the nth process. Replicas come first, then gateways, then agents.
func (c *cluster) spec(n int) processSpec {
	role, index, node := roleReplica, n, ""
	switch {
	case n >= c.size.Replicas+c.size.Gateways:
		role, index = roleAgent, n-c.size.Replicas-c.size.Gateways
		node = "Upstream = " + c.upstreams[index].proxy.Address() + "\nService = " + standin.ModelService
	case n >= c.size.Replicas:
		role, index = roleGateway, n-c.size.Replicas
		node = fmt.Sprintf("ListenCallers = %s\nListenReadiness = %s", c.listenAddress(n, portCallers), c.listenAddress(n, portReady))
	default:
		node = "ListenControl = " + c.listenAddress(n, portControl)
	}
	id := fmt.Sprintf("%s-%d", role, index)
	return processSpec{
		id: id, role: role, failureDomain: domainOf(index), binary: c.binary, folder: c.folder,
		settings: c.settings(id, domainOf(index), n, node, true),
	}
}

// settings returns the content of the settings file of the nth process. The parameter node
// holds the lines that depend on the role of the process. bootstrap is set for the processes with which the
// deployment starts.
func (c *cluster) settings(id, failureDomain string, n int, node string, bootstrap bool) string {
	return fmt.Sprintf(`[Process]
Id = %s
Region = region-%s
FailureDomain = %s
ListenProcesses = %s
ReachedAt = %s
DataFolder = %s
LogFormat = Json
[Node]
%s
%s
Regions = za=region-za, zb=region-zb, zc=region-zc
ListenMetrics = %s
MemoryLimit = %d
%s
[Log]
ElectionTimeout = 400ms
HeartbeatInterval = 100ms
[Bounds]
AnnounceInterval = 200ms
GraceTime = 4s
LostDisks = 1
RetryRatio = %v
RetrySlack = %d
RetryWindow = %v
[Weights]
OneCopy = yes
OriginDelay = 100ms
StallTime = 1s
%s`, id, failureDomain, failureDomain, c.listenAddress(n, portProcess), c.proxyAddress(n, portProcess), filepath.Join(c.folder, id),
		c.seedLine(), bootstrapLine(bootstrap), c.listenAddress(n, portMetrics), maxGatewayBytes/megabyte, node, retryRatio, retrySlack, retryWindow,
		usageSection(c.receiver))
}

// bootstrapLine is the setting that tells a replica whether the whole deployment starts for the first time.
func bootstrapLine(first bool) string {
	if first {
		return "Bootstrap = yes"
	}
	return "Bootstrap = no"
}

// close ends everything that start and newCluster have started.
func (c *cluster) close() {
	var group sync.WaitGroup
	for _, p := range c.processes {
		group.Go(p.kill)
	}
	group.Wait()
	for _, proxies := range c.proxies {
		for _, proxy := range proxies {
			proxy.Close()
		}
	}
	for _, u := range c.upstreams {
		u.current.Kill()
		u.proxy.Close()
	}
	for _, u := range c.faulty {
		u.Kill()
	}
	c.receiver.Close()
	c.origin.Close()
}

// checkAddressFree returns an error if the control address of the first replica cannot
// be listened on. If it is free, the other addresses of the run are assumed to be free too.
func (c *cluster) checkAddressFree() error {
	listener, err := net.Listen("tcp", c.listenAddress(0, portControl)) //nolint:noctx // closed at once
	if err != nil {
		return figbank.WrapError("soak", "Listen", err)
	}
	return figbank.WrapError("soak", "Listen", listener.Close())
}
