package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	binary = "target/figbank"

	replicaCount = 3
	gatewayCount = 2
	// Offsets of a process's ports from the base port.
	portInternal = 0
	portMetrics  = 1
	portCallers  = 2
	portReady    = 3
	portControl  = 4

	heartbeat   = 1200 * time.Millisecond
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
	startWait   = 20 * time.Second
	controlWait = time.Second
)

type (
	// cluster is a small deployment of real processes on loopback addresses.
	cluster struct {
		record *record
		folder string
		base   int
		net    string

		mu        sync.Mutex
		processes []*process
	}

	// process is one program of the deploy file.
	process struct {
		id      string
		command *exec.Cmd
		ended   chan struct{}
	}
)

// startCluster starts replicas and gateways, and waits until the replicas accept a first configuration and the
// gateways are ready.
func startCluster(r *record, document func() map[string]any) (*cluster, error) {
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, folder: folder, base: 21000 + rand.IntN(20000)}
	c.net = fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(250))
	c.endWithSignal()
	for i := range replicaCount + gatewayCount {
		if err := c.start(i); err != nil {
			return c, err
		}
	}
	if err := c.publish(document()); err != nil {
		return c, err
	}
	return c, c.awaitReady()
}

func zoneOf(n int) string { return string(rune('a' + n%3)) }

func (c *cluster) address(n, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.net, n+1, c.base+port)
}

func (c *cluster) control(n int) string { return c.address(n, portControl) }

func (c *cluster) front(n int) string { return c.address(replicaCount+n, portCallers) }

// start starts the nth process. Replicas come first, then gateways.
func (c *cluster) start(n int) error {
	role, id, listen := "replica", fmt.Sprintf("core-%d", n+1), "ListenControl = "+c.control(n)
	if n >= replicaCount {
		role, id = "gateway", fmt.Sprintf("front-%d", n-replicaCount+1)
		listen = "ListenCallers = " + c.address(n, portCallers) + "\nListenReadiness = " + c.address(n, portReady)
	}
	data := filepath.Join(c.folder, id)
	if err := os.MkdirAll(data, 0o750); err != nil {
		return err
	}
	var seeds []string
	for i := range replicaCount {
		seeds = append(seeds, c.control(i))
	}
	settings := fmt.Sprintf(`[Process]
Id = %s
Region = region-%s
FailureDomain = zone-%s
ListenProcesses = %s
DataFolder = %s
LogFormat = Json
TimelineEvents = 2048
[Node]
Seeds = %s
Bootstrap = yes
Regions = zone-a=region-a, zone-b=region-b, zone-c=region-c
%s
ListenMetrics = %s
MemoryLimit = 284
[Bounds]
AnnounceInterval = %dms
GraceTime = %ds
VersionTime = 8000ms
RetryRatio = 0.2
RetrySlack = 104
RetryWindow = 10s
LostDisks = 1
[Placement]
HomeFirst = no
[Log]
ElectionTimeout = 400ms
HeartbeatInterval = 100ms
SnapshotEntries = 256
`, id, zoneOf(n), zoneOf(n), c.address(n, portInternal), data, strings.Join(seeds, ","), listen, c.address(n, portMetrics),
		heartbeat.Milliseconds(), int(graceTime.Seconds()))
	file := filepath.Join(c.folder, id+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(c.folder, id+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(binary, "platform", role)
	command.Env = []string{"FIGBANK_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{id: id, command: command, ended: make(chan struct{})}
	go func() { _ = command.Wait(); close(p.ended) }()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	c.record.printf("%s started, pid %d", id, command.Process.Pid)
	return nil
}

// awaitReady waits until all gateways are ready.
func (c *cluster) awaitReady() error {
	for n := replicaCount; n < replicaCount+gatewayCount; n++ {
		for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			status, _, err := call(http.MethodGet, "http://"+c.address(n, portReady)+"/v1/readiness", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Since(began) > startWait {
				return errors.New("a gateway did not become ready")
			}
		}
	}
	return nil
}

// publish sends a configuration until it is acknowledged, as an operator does.
func (c *cluster) publish(document map[string]any) error {
	content, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return c.order(http.MethodPut, "/v1/config", content)
}

// order sends a call of the operator to one replica after the other until one acknowledges it.
func (c *cluster) order(method, path string, content []byte) error {
	for began, n := time.Now(), 0; time.Since(began) < startWait; n++ {
		status, answer, err := call(method, "http://"+c.control(n%replicaCount)+path, content)
		if err == nil && status < http.StatusMultipleChoices {
			c.record.printf("operator: %s %s acknowledged by core-%d", method, path, n%replicaCount+1)
			return nil
		}
		if err == nil && status < http.StatusInternalServerError {
			return fmt.Errorf("%s %s: status %d %s", method, path, status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: no acknowledgement", method, path)
}

// endWithSignal ends all processes when this one is asked to end.
func (c *cluster) endWithSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes.
func (c *cluster) close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range c.processes {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

var controlClient = &http.Client{Timeout: controlWait, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns the status and the body of the answer.
func call(method, url string, content []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// listenLocal listens on a free port of a loopback address.
func listenLocal(address string) (net.Listener, error) { return net.Listen("tcp", address) }
