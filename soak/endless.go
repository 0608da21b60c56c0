package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

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
	// minOthersServed is how often requests to other services must be served beside a faulty one, against
	// how often they are at other times. The platform asks the same beside requests that crash upstreams.
	minOthersServed = 0.5
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
func (c *callers) press(ctx context.Context, gateway string, scenario *Scenario) {
	var group sync.WaitGroup
	for range scenario.pressing {
		group.Go(func() { c.pressOnce(ctx, gateway, scenario.uploads) })
	}
	group.Wait()
}

func (c *callers) pressOnce(ctx context.Context, gateway string, uploads int) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for ctx.Err() == nil {
		route := faultyRoutes[rand.IntN(len(faultyRoutes))] //nolint:gosec // spreads load, no secret
		if uploads > 0 && isStream(route) {
			continue
		}
		pauseAfterRefusal(c.call(client, gateway, route, uploads))
		wall.sleep(thinkTime)
	}
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
