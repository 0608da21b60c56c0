package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"figbank"
	"figbank/deployment"
)

const (
	// coldLoad is the offered load as a share of what all model upstreams can serve when warm.
	coldLoad = 0.85
	// coldWarmUp is how long the load runs before the first restart.
	coldWarmUp = 4 * time.Second
	// coldRun is how long the load runs after each restart.
	coldRun = 6 * time.Second
	// idealRounds is how many times the limit of a cold engine must double to reach its
	// capacity: from coldCapacity, 4, to 16.
	idealRounds = 2
	// maxRampRatio is how long the slowest ramp should take at most, in multiples of the ideal
	// time.
	maxRampRatio = 1.5
)

// ColdStart restarts model engines under far more load than they can serve when cold. It
// first restarts the engines of one domain, whose load the other domains can take over. It
// then restarts the engines of all domains. Every upstream then has queued work, so that the
// ramp of its limit can be compared with the ideal one. The baseline is a policy with
// FixedLimit.
func ColdStart(d *deployment.Deployment, policy Policy, seed uint64) *Report {
	cluster := NewCluster(d, policy)
	defer cluster.Close()
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	service := d.ModelService()
	calls := coldLoad * float64(d.ModelHosts()) * float64(service.Capacity)
	interval := time.Duration(float64(callTime+2*pieceTime) / calls)
	var load LoadGenerator
	chats := func(duration time.Duration) {
		load.Run(cluster, interval, duration, retryAttempts, random, func(i int) Request {
			return Request{
				Service: service, Workspace: d.Workspaces[i%len(d.Workspaces)],
				Body: callBody{Model: string(service.Name), ID: fmt.Sprintf("chat-%d", i)},
			}
		})
	}
	chats(coldWarmUp)
	overloadsBefore := countOverloads(cluster.Upstreams)
	cluster.restartModelUpstreams(d.Domains[0].Name)
	chats(coldRun)
	var restarted []*Upstream
	for _, domain := range d.Domains {
		restarted = append(restarted, cluster.restartModelUpstreams(domain.Name)...)
	}
	chats(coldRun)
	results := load.Wait()
	overloads := countOverloads(cluster.Upstreams)
	counts, median, _ := summarize(results)
	r := &Report{}
	r.Note("Requests", float64(len(results)), "requests")
	r.AtMost("FellOver", float64(overloads), "back ends", 0)
	r.Note("FellOverBeforeRestart", float64(overloadsBefore), "back ends")
	r.AtMost("Lost", float64(counts.lost), "requests", 0)
	r.Note("UnknownOrCutByTheRestart", float64(counts.unknown+counts.incomplete), "requests")
	r.Note("Median", median.Seconds()*1000, "ms")
	ideal := idealRounds * (callTime + 2*pieceTime)
	r.Target("SlowestRampOverIdeal", slowestRamp(restarted, coldRun)/ideal.Seconds(), "ratio", maxRampRatio)
	return r
}

// restartModelUpstreams restarts the model engines of a domain and returns their upstreams.
func (c *Cluster) restartModelUpstreams(domain figbank.FailureDomain) []*Upstream {
	var restarted []*Upstream
	for _, u := range c.Upstreams {
		if u.service.Model && u.domain.Name == domain {
			u.Engine.Restart()
			restarted = append(restarted, u)
		}
	}
	return restarted
}

// slowestRamp returns the longest ramp time in seconds. It uses ifIncomplete as the time of
// an engine that has not reached its full capacity.
func slowestRamp(restarted []*Upstream, ifIncomplete time.Duration) float64 {
	slowest := 0.0
	for _, u := range restarted {
		ramp := u.Engine.RampTime()
		if ramp == 0 {
			ramp = ifIncomplete
		}
		slowest = max(slowest, ramp.Seconds())
	}
	return slowest
}

// countOverloads sums how often the engines crashed from overload.
func countOverloads(upstreams []*Upstream) int {
	overloads := 0
	for _, u := range upstreams {
		_, n := u.Engine.Counts()
		overloads += n
	}
	return overloads
}
