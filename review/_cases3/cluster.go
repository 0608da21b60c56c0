// Package main holds the stand-ins of the cases of the third review: a small deployment of real processes,
// workers, an operator and consumers, all on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Ports are the same on all machines; each machine has an address of its own.
	portControl = iota
	portProcess
	portMetrics
	portFront
	portReady
	portWorker
	portsOfRun
)

const (
	key           = "jnbanfqasnmgkcuyj8pj"
	host          = "jobs.example"
	heartbeatTime = 400 * time.Millisecond
	orderTimeout  = 20 * time.Second
	stopTime      = 10 * time.Second
)

type (
	// cluster is a deployment of real processes.
	cluster struct {
		record *record
		folder string
		binary string
		// net and port are the second and third part of all addresses, and the first port.
		net, port int
		replicas  []*process
		gateways  []*process
	}

	// process is one process of the system.
	process struct {
		name string
		ip   string
		cmd  *exec.Cmd
		done chan struct{}
	}

	// record writes what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		out   io.Writer
		start time.Time
	}
)

func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// newCluster chooses free addresses.
func newCluster(r *record, binary string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "figbank-case")
	if err != nil {
		return nil, err
	}
	for range 50 {
		c := &cluster{record: r, folder: folder, binary: binary, net: 16 + rand.IntN(200), port: 20000 + rand.IntN(20000)}
		listener, err := net.Listen("tcp", c.address(1, portControl))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return c, nil
	}
	return nil, fmt.Errorf("no free port")
}

func (c *cluster) ip(machine int) string { return fmt.Sprintf("127.%d.0.%d", c.net, machine) }

func (c *cluster) address(machine, port int) string {
	return fmt.Sprintf("%s:%d", c.ip(machine), c.port+port)
}

var zones = []string{"akl-a", "wlg-a", "chc-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

// start starts a process with the command of the deploy file. The settings are those that the template of the
// deploy file gives for a small installation.
func (c *cluster) start(role string, machine int, bootstrap string) (*process, error) {
	zone := zones[machine%len(zones)]
	name := fmt.Sprintf("%s-%d", role, machine)
	lines := []string{
		"[Process]", "Id = " + name, "Region = " + regionOf(zone), "FailureDomain = " + zone,
		"ListenProcesses = " + c.address(machine, portProcess), "DataFolder = " + filepath.Join(c.folder, name),
		"LogFormat = Json", "TimelineEvents = 2048", "", "[Node]",
		fmt.Sprintf("Seeds = %s,%s,%s", c.address(1, portControl), c.address(2, portControl), c.address(3, portControl)),
		"Bootstrap = " + bootstrap, "Regions = akl-a=akl,wlg-a=wlg,chc-a=chc",
	}
	limit := "280"
	if role == "gateway" {
		limit = "284"
		lines = append(lines, "ListenCallers = "+c.address(machine, portFront), "ListenReadiness = "+c.address(machine, portReady))
	} else {
		lines = append(lines, "ListenControl = "+c.address(machine, portControl))
	}
	lines = append(lines, "ListenMetrics = "+c.address(machine, portMetrics), "MemoryLimit = "+limit, "", "[Bounds]",
		"AnnounceInterval = 1200ms", "GraceTime = 8s", "VersionTime = 8000ms", "RetryRatio = 0.2", "RetrySlack = 104", "RetryWindow = 10s",
		"LostDisks = 1", "", "[Placement]", "HomeFirst = no", "", "[Log]", "ElectionTimeout = 400ms", "HeartbeatInterval = 100ms",
		"SnapshotEntries = 256", "")
	file := filepath.Join(c.folder, name+".ini")
	if err := os.MkdirAll(filepath.Join(c.folder, name), 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(c.binary, "platform", role)
	cmd.Env = append(os.Environ(), "FIGBANK_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, ip: c.ip(machine), cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	c.record.note("%s started", name)
	return p, nil
}

// startAll starts three replicas and some gateways.
func (c *cluster) startAll(gateways int) error {
	for machine := 1; machine <= 3; machine++ {
		p, err := c.start("replica", machine, "yes")
		if err != nil {
			return err
		}
		c.replicas = append(c.replicas, p)
	}
	for i := range gateways {
		p, err := c.start("gateway", 11+i, "yes")
		if err != nil {
			return err
		}
		c.gateways = append(c.gateways, p)
	}
	return nil
}

// close ends all processes that were started.
func (c *cluster) close() {
	for _, p := range append(append([]*process{}, c.gateways...), c.replicas...) {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		select {
		case <-p.done:
		case <-time.After(stopTime):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// order sends an operator's order to the control addresses in turn until it is acknowledged.
func (c *cluster) order(method, path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(orderTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for machine := 1; machine <= 3; machine++ {
			request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.address(machine, portControl)+path, bytes.NewReader(content))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				c.record.note("operator: %s %s acknowledged", method, path)
				return nil
			}
			if response.StatusCode/100 == 4 {
				return fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, answer)
			}
		}
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

// awaitReady waits until all gateways say that they are ready.
func (c *cluster) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, p := range c.gateways {
		ready := false
		for deadline := time.Now().Add(orderTimeout); !ready && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", p.ip, c.port+portReady))
			if err == nil {
				_ = response.Body.Close()
				ready = response.StatusCode == http.StatusOK
			}
		}
		if !ready {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}
