package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"figbank"
	"figbank/platform/standin"
)

const (
	zonesMost     = 3
	pieces        = 12
	layers        = 4
	slots         = 8
	plainWork     = 5 * time.Millisecond
	eventWork     = 10 * time.Millisecond
	appsEachZone  = 2
	lowestPort    = 20000
	portRange     = 20000
	portsEachNode = 5
	// Places of ports among those of a node.
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
	// Size is how many processes of each role run.
	Size struct {
		Replicas, Gateways, Agents int
	}

	// world is a deployment of real processes with stand-ins around it, and proxies
	// on the way to each process and upstream.
	world struct {
		size   Size
		folder string
		binary string
		base   int
		record *record
		origin *standin.Origin

		processes []*process
		// links are the proxies before each process.
		links    [][]*Proxy
		control  []string
		gateways []string
		operator *standin.Operator

		mu sync.Mutex
		// upstreams are those that run; gone are those that have ended.
		upstreams []*upstream
		gone      []*standin.Upstream
		lives     int
	}

	// upstream is a place at which one incarnation after the other runs.
	upstream struct {
		// crashing is held while one incarnation ends and the next begins.
		crashing sync.Mutex
		config   standin.Config
		link     *Proxy
		now      *standin.Upstream
	}
)

func (s Size) processes() int { return s.Replicas + s.Gateways + s.Agents }
func (s Size) upstreams() int { return s.Agents + zonesMost*appsEachZone }

// newWorld lays out a deployment in a folder; nothing runs yet.
func newWorld(size Size, folder, binary string, r *record) (*world, error) {
	origin, err := standin.StartOrigin(pieces)
	if err != nil {
		return nil, err
	}
	w := &world{
		size: size, folder: folder, binary: binary, record: r, origin: origin,
		base: lowestPort + rand.IntN(portRange), //nolint:gosec // spreads runs, no secret
	}
	for i := range size.Replicas {
		w.control = append(w.control, w.reached(i, portControl))
	}
	w.operator = &standin.Operator{Control: w.control}
	for i := range size.Gateways {
		w.gateways = append(w.gateways, w.listens(size.Replicas+i, portCallers))
	}
	return w, nil
}

// listens is where a process listens, reached where others find it.
func (w *world) listens(n, port int) string { return w.address(0, n, port) }
func (w *world) reached(n, port int) string { return w.address(1, n, port) }

// address is one of loopback's; each run has ranges of its own.
func (w *world) address(side, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+w.base%200, 2*(w.base%120)+side, n+1, w.base+port)
}

// start starts all there is, the replicas first.
func (w *world) start() error {
	for i := range w.size.Agents {
		if err := w.addUpstream(i, standin.ModelService); err != nil {
			return err
		}
	}
	for i := range zonesMost * appsEachZone {
		if err := w.addUpstream(i, standin.AppService); err != nil {
			return err
		}
	}
	for n := range w.size.processes() {
		p, err := newProcess(w.spec(n), func(p *process, err error) {
			w.record.breaks("OwnEnd", "%s ended by itself: %v", p.id, err)
		})
		if err != nil {
			return err
		}
		if err := w.addLinks(n); err != nil {
			return err
		}
		w.processes = append(w.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addLinks(n int) error {
	var links []*Proxy
	for _, port := range []int{portProcess, portControl} {
		if port == portControl && n >= w.size.Replicas {
			continue
		}
		link, err := StartProxy(w.reached(n, port), w.listens(n, port))
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	w.links = append(w.links, links)
	return nil
}

func zoneOf(n int) string { return "z" + string(rune('a'+n%zonesMost)) }

// spec describes the nth process: replicas first, then gateways, then agents.
func (w *world) spec(n int) processSpec {
	role, count, node := roleReplica, n, ""
	switch {
	case n >= w.size.Replicas+w.size.Gateways:
		role, count = roleAgent, n-w.size.Replicas-w.size.Gateways
		node = "Upstream = " + w.upstreams[count].link.Address() + "\nService = " + standin.ModelService
	case n >= w.size.Replicas:
		role, count = roleGateway, n-w.size.Replicas
		node = fmt.Sprintf("ListenCallers = %s\nListenReadiness = %s", w.listens(n, portCallers), w.listens(n, portReady))
	default:
		node = "ListenControl = " + w.listens(n, portControl)
	}
	id := fmt.Sprintf("%s-%d", role, count)
	return processSpec{
		id: id, role: role, zone: zoneOf(count), binary: w.binary, folder: w.folder,
		settings: w.settings(id, zoneOf(count), n, node),
	}
}

func (w *world) settings(id, zone string, n int, node string) string {
	return fmt.Sprintf(`[Process]
Id = %s
Region = region-%s
FailureDomain = %s
ListenProcesses = %s
ReachedAt = %s
DataFolder = %s
LogFormat = Json
[Node]
Seeds = %s
Bootstrap = yes
Regions = za=region-za, zb=region-zb, zc=region-zc
ListenMetrics = %s
%s
[Log]
ElectionTimeout = 400ms
HeartbeatInterval = 100ms
[Bounds]
AnnounceInterval = 200ms
GraceTime = 4s
LostDisks = 1
[Weights]
OneCopy = yes
OriginDelay = 100ms
StallTime = 1s
`, id, zone, zone, w.listens(n, portProcess), w.reached(n, portProcess), filepath.Join(w.folder, id),
		strings.Join(w.control, ", "), w.listens(n, portMetrics), node)
}

// addUpstream makes the nth place of a service and starts an upstream there.
func (w *world) addUpstream(n int, service string) error {
	link, err := StartProxy("127.0.0.1:0", "")
	if err != nil {
		return err
	}
	u := &upstream{link: link, config: standin.Config{
		Service: service, Zone: zoneOf(n), Control: w.control, Slots: slots, Work: plainWork,
		Reached: func(address string) (string, error) {
			link.SetTarget(address)
			return link.Address(), nil
		},
	}}
	if service == standin.ModelService {
		u.config.Work, u.config.Model, u.config.Layers, u.config.Chunks = eventWork, standin.Model, layers, pieces
		u.config.Version = 1
	}
	if err := w.live(u); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams = append(w.upstreams, u)
	return nil
}

// live starts the next incarnation at a place.
func (w *world) live(u *upstream) error {
	w.mu.Lock()
	w.lives++
	u.config.ID = fmt.Sprintf("i-%d", w.lives)
	w.mu.Unlock()
	started, err := standin.StartUpstream(u.config)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.now != nil {
		w.gone = append(w.gone, u.now)
	}
	u.now = started
	return nil
}

// crash ends an upstream; the next incarnation starts empty.
func (w *world) crash(n int, down time.Duration) error {
	w.mu.Lock()
	u := w.upstreams[n]
	w.mu.Unlock()
	u.crashing.Lock()
	defer u.crashing.Unlock()
	u.now.Kill()
	wall.sleep(down)
	u.config.Version = 0
	return w.live(u)
}

// all lists every incarnation that has ever run.
func (w *world) all() []*standin.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append([]*standin.Upstream{}, w.gone...)
	for _, u := range w.upstreams {
		all = append(all, u.now)
	}
	return all
}

// runs is how often each request has run.
func (w *world) runs() map[string]int {
	runs := map[string]int{}
	for _, u := range w.all() {
		u.EachRun(func(id string, count int) { runs[id] += count })
	}
	return runs
}

// end ends everything that is left, by what was started here.
func (w *world) end() {
	var group sync.WaitGroup
	for _, p := range w.processes {
		group.Go(p.kill)
	}
	group.Wait()
	for _, links := range w.links {
		for _, link := range links {
			link.Close()
		}
	}
	for _, u := range w.upstreams {
		u.now.Kill()
		u.link.Close()
	}
	w.origin.Close()
}

// free tells whether the addresses of this run can be listened on.
func (w *world) free() error {
	listener, err := net.Listen("tcp", w.listens(0, portControl)) //nolint:noctx // closed at once
	if err != nil {
		return figbank.Fail("soak", "Listen", err)
	}
	return figbank.Fail("soak", "Listen", listener.Close())
}
