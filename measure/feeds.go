package measure

import (
	"fmt"
	"time"

	"figbank"
	"figbank/configuration"
	"figbank/deployment"
	"figbank/fake"
	"figbank/feed"
	"figbank/schema"
	"figbank/transport"
)

const (
	feedReplicas = 8
	// feedSettleTime is how long the measure waits until all processes have found their replicas.
	feedSettleTime = 5 * time.Second
	feedTime       = 30 * time.Second
)

// feedScales are the sizes to measure, in multiples of the deployment's own size.
var feedScales = []int{1, 2, 4, 8}

type (
	// feedCluster consists of replicas and the processes that subscribe to their feeds. It has no
	// callers.
	feedCluster struct {
		network *fake.Network
		domains []figbank.FailureDomain
		// seeds holds the addresses of the first replicas, one in each domain. Processes that
		// start later connect to them.
		seeds     []figbank.Address
		replicas  []*feedProcess
		processes []*feedProcess
	}

	feedProcess struct {
		meter      *transport.Meter
		view       *feed.View
		subscriber *feed.Subscriber
		pool       *transport.Pool
		server     *transport.Server
	}
)

// Feeds measures, at several sizes of the deployment, the bytes a second that a replica and a
// process send for feeds while membership does not change. It also measures the bytes that each
// replica sends when one process joins. The bound is maxControlBytes for all these figures. For
// a join, this assumes at most one join a second.
func Feeds(d *deployment.Deployment) *Report {
	r := &Report{}
	for _, scale := range feedScales {
		cluster := newFeedCluster(scaled(d, scale))
		sleep(feedSettleTime)
		size := fmt.Sprintf("With%dProcesses", len(cluster.processes))
		before, processesBefore := cluster.sent(cluster.replicas), cluster.sent(cluster.processes)
		sleep(feedTime)
		atRest := float64(cluster.sent(cluster.replicas)-before) / feedTime.Seconds() / feedReplicas
		r.AtMost("Replica"+size, atRest, "bytes/s", maxControlBytes)
		r.AtMost("Process"+size, float64(cluster.sent(cluster.processes)-processesBefore)/feedTime.Seconds()/float64(len(cluster.processes)), "bytes/s", maxControlBytes)
		before = cluster.sent(cluster.replicas)
		cluster.join(schema.MemberRole_MEMBER_ROLE_GATEWAY, "last", cluster.domains[0])
		sleep(time.Second)
		r.AtMost("JoinAtReplica"+size, float64(cluster.sent(cluster.replicas)-before)/feedReplicas-atRest, "bytes", maxControlBytes)
		cluster.close()
	}
	return r
}

func newFeedCluster(d *deployment.Deployment) *feedCluster {
	cluster := &feedCluster{network: fake.NewNetwork(virtual, sameDomainDelay, otherDomainDelay)}
	for _, domain := range d.Domains {
		cluster.domains = append(cluster.domains, domain.Name)
	}
	for i := range feedReplicas {
		domain := cluster.domains[i%len(cluster.domains)]
		p := cluster.start(schema.MemberRole_MEMBER_ROLE_REPLICA, fmt.Sprintf("replica-%d", i), domain)
		cluster.replicas = append(cluster.replicas, p)
	}
	for _, domain := range d.Domains {
		for i := range domain.Gateways {
			cluster.join(schema.MemberRole_MEMBER_ROLE_GATEWAY, fmt.Sprintf("gateway-%d", i), domain.Name)
		}
	}
	for _, service := range d.Services {
		for i, count := range service.Upstreams {
			for n := range count {
				cluster.join(schema.MemberRole_MEMBER_ROLE_AGENT, fmt.Sprintf("%s-%d", service.Name, n), cluster.domains[i%len(cluster.domains)])
			}
		}
	}
	return cluster
}

func (c *feedCluster) join(role schema.MemberRole, name string, domain figbank.FailureDomain) {
	c.processes = append(c.processes, c.start(role, name, domain))
}

func (c *feedCluster) start(role schema.MemberRole, name string, domain figbank.FailureDomain) *feedProcess {
	id := string(domain) + "-" + name
	address := figbank.Address(string(domain) + "/" + name + ":1")
	common := newCommon(id)
	p := &feedProcess{meter: transport.NewMeter(common)}
	p.view = feed.NewView(common, upstreamLease, configuration.NewFleetHolder(common.Recorder))
	p.pool = transport.NewPool(common, transport.WithDialer(c.network.Dialer(address)), transport.WithMeter(p.meter))
	p.server = transport.NewServer(common, c.network.Listen(address), transport.Handlers{
		schema.StreamKind_STREAM_KIND_FEED: p.view.Serve,
	}, transport.WithMeter(p.meter))
	self := &schema.Member{Id: id, Role: role, Address: string(address), FailureDomain: string(domain)}
	p.subscriber = feed.NewSubscriber(common, p.view, p.pool, self, c.seeds)
	if len(c.seeds) < len(c.domains) {
		c.seeds = append(c.seeds, address)
	}
	return p
}

// sent sums the bytes that the given processes have sent for feeds.
func (c *feedCluster) sent(processes []*feedProcess) int64 {
	sum := int64(0)
	for _, p := range processes {
		for _, usage := range p.meter.Usage() {
			sum += usage.SentBytes
		}
	}
	return sum
}

func (c *feedCluster) close() {
	for _, p := range append(c.processes, c.replicas...) {
		p.subscriber.Close()
		p.pool.Close()
		p.server.Close()
	}
}
