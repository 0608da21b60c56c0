package measure

import (
	"fmt"
	"time"

	"figbank"
	"figbank/deployment"
)

const (
	controlTime = 30 * time.Second
	// controlBytes is the most that a node may spend on control, in bytes a second.
	controlBytes = 13_000
)

// controlScales are the sizes, in multiples of the deployment's own, from which
// slopes are worked out.
var controlScales = []int{1, 2, 4}

// Control measures the bytes a second that a gateway and an agent send when no
// caller calls, at several sizes of a deployment.
func Control(d *deployment.Deployment) *Report {
	r := &Report{}
	for _, scale := range controlScales {
		w := NewWorld(scaled(d, scale), DefaultPolicy())
		gateway, agent := w.controlRates()
		size := fmt.Sprintf("With%dGatewaysAnd%dUpstreams", len(w.Gateways), len(w.Upstreams))
		if scale == 1 {
			r.AtMost("Gateway"+size, gateway, "bytes/s", controlBytes)
			r.AtMost("Agent"+size, agent, "bytes/s", controlBytes)
		} else {
			r.Note("Gateway"+size, gateway, "bytes/s")
			r.Note("Agent"+size, agent, "bytes/s")
		}
		w.Close()
	}
	return r
}

// controlRates returns the highest rates of any gateway and any agent.
func (w *World) controlRates() (gateway, agent float64) {
	before := map[figbank.Address]int64{}
	for _, address := range w.addresses() {
		before[address] = w.Network.Sent(address)
	}
	sleep(controlTime)
	rate := func(address figbank.Address) float64 {
		return float64(w.Network.Sent(address)-before[address]) / controlTime.Seconds()
	}
	for _, g := range w.Gateways {
		gateway = max(gateway, rate(g.address))
	}
	for _, u := range w.Upstreams {
		agent = max(agent, rate(u.address))
	}
	return gateway, agent
}

func (w *World) addresses() []figbank.Address {
	var addresses []figbank.Address
	for _, g := range w.Gateways {
		addresses = append(addresses, g.address)
	}
	for _, u := range w.Upstreams {
		addresses = append(addresses, u.address)
	}
	return addresses
}

// scaled multiplies a deployment's gateways and upstreams.
func scaled(d *deployment.Deployment, by int) *deployment.Deployment {
	larger := *d
	larger.Domains, larger.Services = nil, nil
	for _, domain := range d.Domains {
		domain.Gateways *= by
		larger.Domains = append(larger.Domains, domain)
	}
	for _, service := range d.Services {
		upstreams := make([]int, len(service.Upstreams))
		for i, n := range service.Upstreams {
			upstreams[i] = n * by
		}
		service.Upstreams = upstreams
		larger.Services = append(larger.Services, service)
	}
	return &larger
}
