package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"figbank"
	"figbank/platform/standin"
)

const (
	// endlessShare is the share of requests that get an answer without end.
	endlessShare = 0.8
	// faultyUpstreams is the number of upstreams of the faulty service, faultySlots how many requests one
	// of them runs at once.
	faultyUpstreams = 12
	faultySlots     = 200
	// pressingFaulty is the number of callers of the faulty service at one gateway.
	pressingFaulty = 600
	// otherCallers is the number of callers of the other services at each gateway.
	otherCallers = 10
	// minOthersServed is the least share of requests to other services that must be served beside a faulty
	// one.
	minOthersServed = 0.9
	// maxGatewayBytes is the memory of the smallest gateways of the platform, 160 MB.
	maxGatewayBytes = 160 * 1000 * 1000
	kilobyte        = 1 << 10
)

// faultyRoutes are the routes of the faulty service.
var faultyRoutes = []string{standin.FaultySafe, standin.FaultyUnsafe, standin.FaultyStream}

// answersWithoutEnd makes the upstreams of the faulty service give answers without end.
func answersWithoutEnd(length time.Duration) []Fault {
	return []Fault{{Duration: length, Kind: AnswerWithoutEnd, RandomBits: 1}}
}

func (i *injector) answerWithoutEnd(fault Fault) {
	service := services[fault.RandomBits%uint64(len(services))]
	if i.cluster.faultyUpstreams > 0 {
		service = standin.FaultyService
	}
	i.record.mark("upstream", fault.Duration, "upstreams of %s give answers without end", service)
	upstreams := i.cluster.currentUpstreams(service)
	for _, u := range upstreams {
		u.SetEndless(standin.FaultyShare{Share: endlessShare, Seed: fault.RandomBits})
	}
	most := 0
	for end := wall.Now().Add(fault.Duration); wall.Now().Before(end); wall.sleep(min(pollInterval, end.Sub(wall.Now()))) {
		_, now := countEndless(upstreams)
		most = max(most, now)
	}
	for _, u := range upstreams {
		u.SetEndless(standin.FaultyShare{})
	}
	begun, _ := countEndless(upstreams)
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	i.cluster.endless = fmt.Sprintf("%d answers without end, up to %d at once", begun, most)
}

// countEndless returns how many answers without end upstreams have begun, and how many they send now.
func countEndless(upstreams []*standin.Upstream) (begun, now int) {
	for _, u := range upstreams {
		b, n := u.Endless()
		begun, now = begun+b, now+n
	}
	return begun, now
}

// press sends requests to the faulty service from many callers until ctx ends.
func (c *callers) press(ctx context.Context, gateway string, count int) {
	var group sync.WaitGroup
	for range count {
		group.Go(func() { c.pressOnce(ctx, gateway) })
	}
	group.Wait()
}

func (c *callers) pressOnce(ctx context.Context, gateway string) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for ctx.Err() == nil {
		pauseAfterRefusal(c.call(client, gateway, faultyRoutes[rand.IntN(len(faultyRoutes))])) //nolint:gosec // spreads load, no secret
		wall.sleep(thinkTime)
	}
}

// checkMemory records a violation for each gateway that has used more memory than the smallest ones have.
func (r *run) checkMemory() {
	for _, p := range r.cluster.processes {
		if p.role != roleGateway {
			continue
		}
		used, err := p.peakMemory()
		if err != nil {
			continue
		}
		r.printf("%s has used %d MB", p.id, used/1000/1000)
		if used > maxGatewayBytes {
			r.record.addViolation("Memory", "%s has used %d bytes, %d are allowed", p.id, used, maxGatewayBytes)
		}
	}
}

// peakMemory returns the most memory that the process has used since its start.
func (p *process) peakMemory() (figbank.Bytes, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0, figbank.InvalidError{Subject: p.id, Detail: "does not run"}
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, figbank.WrapError("soak", "Memory", err)
	}
	return readPeak(string(status))
}

// readPeak returns the most memory that a process has used, from its status file.
func readPeak(status string) (figbank.Bytes, error) {
	for line := range strings.Lines(status) {
		var kilobytes figbank.Bytes
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes * kilobyte, nil
		}
	}
	return 0, figbank.InvalidError{Subject: "status", Detail: "names no peak of memory"}
}

// checkOthers records a violation if too few requests to other services were served, at any gateway.
func (r *run) checkOthers() {
	r.printf("%s", r.cluster.endless)
	for _, gateway := range r.cluster.gateways {
		r.checkServedShare("others at "+gateway, minOthersServed, func(request *sentRequest) bool {
			return request.gateway == gateway && !isFaulty(request.route)
		})
	}
}
