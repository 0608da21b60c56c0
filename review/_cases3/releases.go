package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFiles is the number of descriptors of an entry machine.
	maxFiles = 2870
	// fleetWorkers, fleetSlots and fleetWork describe the workers whose release is played.
	fleetWorkers = 14
	fleetSlots   = 16
	fleetWork    = 300 * time.Millisecond
	// fleetConsumers is how many consumers each send one request after another on a channel that they keep.
	fleetConsumers = 180
	// replacedAtOnce workers are replaced each replaceGap.
	replacedAtOnce = 2
	replaceGap     = time.Second
	quietTime      = 5 * time.Second
	releaseTime    = 80 * time.Second
	judgedTime     = 8 * time.Second
	statusTime     = 5 * time.Second
	newChannelTime = time.Second
	usualPause     = 50 * time.Millisecond
)

// fleetTally counts requests by the phase in which they were sent.
type fleetTally struct {
	phase        atomic.Int32
	sent, served [4]atomic.Int64
	mu           sync.Mutex
	outcomes     [4]map[string]int
}

// consume sends requests one after another. It keeps its channel while that works.
func (c *cluster) consume(gateway *process, name string, t *fleetTally, done <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-done:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(usualPause):
		}
		phase := t.phase.Load()
		t.sent[phase].Add(1)
		outcome := ""
		if conn == nil {
			var err error
			conn, err = net.DialTimeout("tcp", net.JoinHostPort(gateway.ip, strconv.Itoa(c.port+portFront)), newChannelTime)
			if err != nil {
				outcome, conn = "no channel", nil
			} else {
				reader = bufio.NewReader(conn)
			}
		}
		if conn != nil {
			var whole bool
			outcome, whole = exchange(conn, reader, fmt.Sprintf("%s-%d", name, n))
			if !whole {
				_ = conn.Close()
				conn = nil
			}
		}
		if outcome == "200" {
			t.served[phase].Add(1)
		}
		t.mu.Lock()
		if t.outcomes[phase] == nil {
			t.outcomes[phase] = map[string]int{}
		}
		t.outcomes[phase][outcome]++
		t.mu.Unlock()
	}
}

// exchange sends one request and reads its answer. whole is set if the channel may be kept.
func exchange(conn net.Conn, reader *bufio.Reader, id string) (outcome string, whole bool) {
	_ = conn.SetDeadline(time.Now().Add(clientDeadline * time.Millisecond))
	fmt.Fprintf(conn, "GET /status/small/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: %d\r\n\r\n", id, host, id, key, clientDeadline)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer", false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return fmt.Sprint(response.StatusCode), err == nil && !response.Close
}

// files returns how many descriptors a process has open.
func files(p *process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// stateCloseWait is the state of a connection that its other end has closed, in /proc/net/tcp.
const stateCloseWait = "08"

// leftOpen returns how many connections to workers are open on the system's side although the worker has closed them.
func (c *cluster) leftOpen() int {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return -1
	}
	port := fmt.Sprintf(":%04X", c.port+portWorker)
	count := 0
	for _, line := range strings.Split(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) > 3 && strings.HasSuffix(fields[2], port) && fields[3] == stateCloseWait {
			count++
		}
	}
	return count
}

// isReady asks as the provider does whether a gateway is ready.
func (c *cluster) isReady(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readiness", p.ip, c.port+portReady), nil)
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// runReleases is the case of workers that are replaced one after the other.
func runReleases(c *cluster, trouble bool) (broken bool, err error) {
	if err := c.startAll(1); err != nil {
		return false, err
	}
	gateway := c.gateways[0]
	limit := &unix.Rlimit{Cur: maxFiles, Max: maxFiles}
	if err := unix.Prlimit(gateway.cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
		return false, err
	}
	next := 0
	var workers []*worker
	add := func() error {
		w, err := c.startWorker(next, fleetSlots, fleetWork, nil)
		if err == nil {
			workers = append(workers, w)
			next++
		}
		return err
	}
	for range fleetWorkers {
		if err := add(); err != nil {
			return false, err
		}
	}
	if err := c.order(http.MethodPut, "/v1/config", manifest(3, routeTimeoutMS)); err != nil {
		return false, err
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	t := &fleetTally{}
	done := make(chan struct{})
	var consumers, leaving sync.WaitGroup
	for n := range fleetConsumers {
		consumers.Go(func() { c.consume(gateway, fmt.Sprintf("c%d", n), t, done) })
	}
	time.Sleep(quietTime)
	c.record.note("%s has %d descriptors open before the release", gateway.name, files(gateway))
	t.phase.Store(1)
	lastStatus := time.Now()
	for end := time.Now().Add(releaseTime); time.Now().Before(end); time.Sleep(replaceGap) {
		for range replacedAtOnce {
			if !trouble {
				continue
			}
			if err := add(); err != nil {
				return false, err
			}
			old := workers[0]
			workers = workers[1:]
			leaving.Go(old.leave)
		}
		if time.Since(lastStatus) >= statusTime {
			lastStatus = time.Now()
			c.record.note("%s has %d descriptors open, %d connections that workers have closed, %d workers have been replaced, ready %t",
				gateway.name, files(gateway), c.leftOpen(), next-fleetWorkers, c.isReady(gateway))
		}
	}
	leaving.Wait()
	t.phase.Store(2)
	time.Sleep(judgedTime)
	c.record.note("%s has %d descriptors open, %d connections that workers have closed, ready %t", gateway.name, files(gateway), c.leftOpen(), c.isReady(gateway))
	close(done)
	consumers.Wait()
	for phase, name := range []string{"before the release", "during the release", "after the release"} {
		c.record.note("%s: %d sent, %d served, %v", name, t.sent[phase].Load(), t.served[phase].Load(), t.outcomes[phase])
	}
	for _, w := range workers {
		w.close()
	}
	if t.served[0].Load() < t.sent[0].Load()*9/10 {
		return false, fmt.Errorf("requests are not served before the release")
	}
	failed := t.sent[2].Load() - t.served[2].Load()
	if failed*10 > t.sent[2].Load()*6 {
		c.record.note("broken: %d of %d requests after the release were refused or failed, with %d sound workers", failed, t.sent[2].Load(), len(workers))
		broken = true
	}
	return broken, nil
}
