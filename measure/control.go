package measure

import (
	"fmt"
	"time"

	"figbank"
	"figbank/deployment"
)

const (
	controlTime = 30 * time.Second
	// maxControlBytes is how many bytes a second a node may send for control traffic.
	maxControlBytes = 13_000
)

// controlScales are the sizes to measure, in multiples of the deployment's own size. They
// show how the cost grows with the size.
var controlScales = []int{1, 2, 4}

// Control measures the bytes a second that a gateway and an agent send while there are no
// calls, at several sizes of the deployment. The bound applies only to the deployment's own
// size.
func Control(d *deployment.Deployment) *Report {
	r := &Report{}
	for _, scale := range controlScales {
		cluster := NewCluster(scaled(d, scale), DefaultPolicy())
		gateway, agent := cluster.controlRates()
		size := fmt.Sprintf("With%dGatewaysAnd%dUpstreams", len(cluster.Gateways), len(cluster.Upstreams))
		if scale == 1 {
			r.AtMost("Gateway"+size, gateway, "bytes/s", maxControlBytes)
			r.AtMost("Agent"+size, agent, "bytes/s", maxControlBytes)
		} else {
			r.Note("Gateway"+size, gateway, "bytes/s")
			r.Note("Agent"+size, agent, "bytes/s")
		}
		cluster.Close()
	}
	return r
}

// controlRates returns the highest send rate of any gateway and of any agent, in bytes a second.
func (c *Cluster) controlRates() (gateway, agent float64) {
	before := map[figbank.Address]int64{}
	for _, address := range c.addresses() {
		before[address] = c.Network.Sent(address)
	}
	sleep(controlTime)
	rate := func(address figbank.Address) float64 {
		return float64(c.Network.Sent(address)-before[address]) / controlTime.Seconds()
	}
	for _, g := range c.Gateways {
		gateway = max(gateway, rate(g.address))
	}
	for _, u := range c.Upstreams {
		agent = max(agent, rate(u.address))
	}
	return gateway, agent
}

func (c *Cluster) addresses() []figbank.Address {
	var addresses []figbank.Address
	for _, g := range c.Gateways {
		addresses = append(addresses, g.address)
	}
	for _, u := range c.Upstreams {
		addresses = append(addresses, u.address)
	}
	return addresses
}

// scaled returns a copy of the deployment with factor times as many gateways and upstreams.
func scaled(d *deployment.Deployment, factor int) *deployment.Deployment {
	larger := *d
	larger.Domains, larger.Services = nil, nil
	for _, domain := range d.Domains {
		domain.Gateways *= factor
		larger.Domains = append(larger.Domains, domain)
	}
	for _, service := range d.Services {
		upstreams := make([]int, len(service.Upstreams))
		for i, n := range service.Upstreams {
			upstreams[i] = n * factor
		}
		service.Upstreams = upstreams
		larger.Services = append(larger.Services, service)
	}
	return &larger
}
