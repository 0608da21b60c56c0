package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of the site tabwright-fleet that the checks use.
const (
	heartbeat     = 1200 * time.Millisecond
	drainTime     = 2 * time.Second
	contactTime   = 3 * time.Second
	evacuateTime  = 5 * time.Second
	restartDelay  = 500 * time.Millisecond
	callTimeout   = time.Second
	portControl   = "8004"
	portInternal  = "7700"
	portFront     = "8005"
	portReady     = "8002"
	serviceName   = "cutdesk"
	modelService  = "tabmodel"
	modelName     = "m0"
	callerHost    = "jobs.example"
	callerKey     = "key-of-tenant-one"
	tenantName    = "tenant-one"
	routeTimeout  = 4000
	replicaCount  = 3
	serviceSlots  = 6
	logTimeLayout = "15:04:05.000"
)

var zones = []string{"akl-a", "wlg-a", "chc-a"}

// recorder writes record.txt: one line for each thing that was sent, answered, run or done.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// process is one program of the deploy file. It can be started again.
type process struct {
	name, role, settings, dataFolder, ip string
	binary                               string
	log                                  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) begin() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGBANK_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel ends the process if this program ends first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.exited)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// cluster is a small deployment: three replicas and one gateway in each zone.
type cluster struct {
	folder   string
	net      int
	replicas []*process
	gateways []*process
	agents   []*process
	// gone are replicas that were ended for good.
	gone   []*process
	record *recorder
}

func (c *cluster) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+c.net/200, 1+c.net%200, n)
}

func newCluster(record *recorder) (*cluster, error) {
	folder, err := os.MkdirTemp("", "figbank-review-*")
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, record: record}
	for range 50 {
		c.net = rand.IntN(40000)
		probe, err := net.Listen("tcp", c.ip(1)+":"+portControl)
		if err == nil {
			_ = probe.Close()
			break
		}
	}
	binary, err := filepath.Abs("target/figbank")
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		c.replicas = append(c.replicas, c.newProcess(binary, "replica", fmt.Sprintf("core-%s-1", zone), zone, 1+i))
	}
	for i, zone := range zones {
		c.gateways = append(c.gateways, c.newProcess(binary, "gateway", fmt.Sprintf("front-%s-1", zone), zone, 11+i))
	}
	return c, nil
}

func (c *cluster) newProcess(binary, role, name, zone string, n int) *process {
	p := &process{
		name: name, role: role, binary: binary, ip: c.ip(n),
		settings: filepath.Join(c.folder, name+".ini"), log: filepath.Join(c.folder, name+".log"),
		dataFolder: filepath.Join(c.folder, name),
	}
	_ = os.MkdirAll(p.dataFolder, 0o700)
	c.writeSettings(p, zone, true)
	return p
}

// writeSettings fills in deploy/settings.ini as the platform does.
func (c *cluster) writeSettings(p *process, zone string, bootstrap bool) {
	var seeds []string
	for i := range zones {
		seeds = append(seeds, c.ip(1+i)+":"+portControl)
	}
	flag := "no"
	if bootstrap {
		flag = "yes"
	}
	listen := map[string]string{"front": "", "ready": "", "control": ""}
	data := ""
	if p.role == "replica" {
		listen["control"] = p.ip + ":" + portControl
		data = p.dataFolder
	} else if p.role == "gateway" {
		listen["front"], listen["ready"] = p.ip+":"+portFront, p.ip+":"+portReady
	}
	text := fmt.Sprintf(`[Process]
Id = %s
Region = %s
FailureDomain = %s
ListenProcesses = %s:%s
DataFolder = %s
LogFormat = Json
TimelineEvents = 2048

[Node]
Seeds = %s
Bootstrap = %s
Regions = akl-a=akl,wlg-a=wlg,chc-a=chc
ListenCallers = %s
ListenReadiness = %s
ListenControl = %s
ListenMetrics = %s:7701
Upstream =
Service =

[Bounds]
AnnounceInterval = 1200ms
GraceTime = 8s
VersionTime = 8000ms
RetrySlack = 104
LostDisks = 1

[Log]
ElectionTimeout = 400ms
HeartbeatInterval = 100ms
SnapshotEntries = 256

[Weights]
ChunksInFlight = 6
ChunksServed = 3
OriginDelay = 200ms
LinkRate = 0
LinkShare = 80
OneCopy = yes
StallTime = 1500ms
`, p.name, strings.TrimSuffix(zone, "-a"), zone, p.ip, portInternal, data, strings.Join(seeds, ","), flag,
		listen["front"], listen["ready"], listen["control"], p.ip)
	_ = os.WriteFile(p.settings, []byte(text), 0o600)
}

// addAgent adds the agent beside a model worker in the first zone.
func (c *cluster) addAgent(upstream string) *process {
	p := c.newProcess(c.replicas[0].binary, "agent", "side-"+zones[0]+"-1", zones[0], 21)
	text, _ := os.ReadFile(p.settings)
	settings := strings.NewReplacer("Upstream =", "Upstream = "+upstream, "Service =", "Service = "+modelService, "LinkRate = 0", "LinkRate = 9.4").Replace(string(text))
	_ = os.WriteFile(p.settings, []byte(settings), 0o600)
	c.agents = append(c.agents, p)
	return p
}

func (c *cluster) processes() []*process {
	return slices.Concat(c.replicas, c.gateways, c.agents, c.gone)
}

func (c *cluster) start() error {
	for _, p := range c.processes() {
		if err := p.begin(); err != nil {
			return err
		}
		c.record.line("started %s at %s", p.name, p.ip)
	}
	return nil
}

func (c *cluster) close() {
	for _, p := range c.processes() {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

func (c *cluster) control(i int) string { return c.replicas[i].ip + ":" + portControl }

// awaitReady waits until all gateways are ready and serve the route.
func (c *cluster) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, g := range c.gateways {
		for {
			if time.Now().After(deadline) {
				return false
			}
			status, _, err := call(http.MethodGet, "http://"+g.ip+":"+portReady+"/v1/readiness", nil, callTimeout)
			if err == nil && status == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// call makes one call on a connection of its own, which it closes afterwards.
func call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// order sends an order of the operator: first to the replica with the given index, then to the
// others, a second each, until one acknowledges it. It returns the time of the acknowledgement.
func (c *cluster) order(first int, method, path string, body []byte) (time.Time, error) {
	for try := range 20 {
		at := (first + try) % replicaCount
		c.record.line("operator sends %s %s to %s", method, path, c.replicas[at].name)
		status, _, err := call(method, "http://"+c.control(at)+path, body, callTimeout)
		c.record.line("operator gets %d (%v) from %s", status, err, c.replicas[at].name)
		if err == nil && status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("no acknowledgement of %s %s", method, path)
}

// manifest returns a manifest with one route of each kind, "safe" and "unsafe", to the service.
func manifest(version int) []byte {
	route := func(kind string) map[string]any {
		return map[string]any{
			"name": "r-" + kind, "host": callerHost, "path_prefix": "/" + kind + "/", "kind": kind, "timeout_ms": routeTimeout,
			"target_latency_ms": 300, "priority": 2, "service": serviceName, "max_attempts": 2, "public": false, "sticky": false,
			"resumable": false, "target_gap_ms": 0, "home_regions": []string{},
		}
	}
	content, _ := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("safe"), route("unsafe")},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{callerKey}, "priority": 1, "home_regions": []string{}}},
	})
	return content
}
