package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"time"

	"figbank/platform/standin"
)

const (
	// garbleInterval is the time between two announcements that cannot be read.
	garbleInterval = 100 * time.Millisecond
	// latency is the longest time that a message to or from a replica takes while a leader is lost.
	latency = 60 * time.Millisecond
)

// leaderLine matches the log line of a replica that becomes leader in a term.
var leaderLine = regexp.MustCompile(`"role":"Leader","term":(\d+)`)

// garbage is what announcements that cannot be read contain.
var garbage = []any{
	"no object",
	[]any{},
	map[string]any{},
	map[string]any{"service": standin.AppService, "address": 7, "seq": 1, "born": 1},
	map[string]any{"service": standin.AppService, "address": "", "state": "ready", "seq": 1, "born": 1},
	json.RawMessage(`{"service":`),
}

// fillDisk makes the disk of a replica full for a time.
func (i *injector) fillDisk(fault Fault) {
	p := i.cluster.processes[fault.Target]
	i.record.mark(p.id, fault.Duration, "%s", fault.Kind)
	defer i.cluster.outages.beginDisturbance(fault.Target)()
	if err := p.setFull(true); err != nil {
		i.record.addViolation("Soak", "%v", err)
	}
	wall.sleep(fault.Duration)
	// Another fault of the same kind may have ended before.
	_ = p.setFull(false)
}

// loseLeader kills the leader right after a change was acknowledged, and starts it again after the fault's
// duration. Messages between replicas, and to those that they feed, take up to latency, and those under way are
// lost with the leader: others may not know yet that the change is committed.
func (i *injector) loseLeader(ctx context.Context, fault Fault) {
	leader := i.cluster.leader()
	p := i.cluster.processes[leader]
	i.record.mark(p.id, fault.Duration, "%s", fault.Kind)
	i.impairReplicas(Impairment{Jitter: latency, LoseWithSender: true})
	i.operators.publishThrough(ctx, i.cluster.control[leader])
	defer i.cluster.outages.begin(leader)()
	p.kill()
	wall.sleep(latency)
	i.impairReplicas(Impairment{})
	wall.sleep(fault.Duration)
	if err := p.start(); err != nil {
		i.record.addViolation("Soak", "%s cannot be started: %v", p.id, err)
	}
}

// impairReplicas sets the impairment of all connections between processes and replicas.
func (i *injector) impairReplicas(impairment Impairment) {
	for n := range i.cluster.size.Replicas {
		i.cluster.proxies[n][0].SetImpairment(impairment)
	}
}

// leader returns the replica that became leader in the highest term, by the replicas' logs.
func (c *cluster) leader() int {
	leader, highest := 0, -1
	for n := range c.size.Replicas {
		content, _ := os.ReadFile(c.processes[n].logFile())
		for _, match := range leaderLine.FindAllSubmatch(content, -1) {
			if term, _ := strconv.Atoi(string(match[1])); term > highest {
				leader, highest = n, term
			}
		}
	}
	return leader
}

// garbleAnnouncements sends announcements that cannot be read to all control addresses in turn, and odd ones, some of which
// can be. What any of them says concerns nobody else.
func (i *injector) garbleAnnouncements(ctx context.Context, fault Fault) {
	i.record.mark("upstream", fault.Duration, "%s", fault.Kind)
	client := &http.Client{Timeout: askTimeout}
	defer client.CloseIdleConnections()
	writer := newOddWriter(fault.RandomBits)
	for k, end := 0, wall.Now().Add(fault.Duration); wall.Now().Before(end) && ctx.Err() == nil; k++ {
		order := standin.Order{Method: http.MethodPut, Path: "/v1/instances/garbage", Body: garbage[k%len(garbage)]}
		status, _, err := order.Send(ctx, client, i.cluster.control[k%len(i.cluster.control)])
		if err == nil && status == http.StatusOK {
			i.record.addViolation("Config", "an announcement that cannot be read was accepted: %v", order.Body)
		}
		_, _, _ = writer.next().Send(ctx, client, i.cluster.control[k%len(i.cluster.control)])
		for _, u := range i.cluster.runningUpstreams() {
			_, _, _ = writer.borrow(u).Send(ctx, client, i.cluster.control[k%len(i.cluster.control)])
		}
		wall.sleep(garbleInterval)
	}
}
