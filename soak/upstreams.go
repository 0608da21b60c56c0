package soak

import (
	"fmt"
	"slices"
	"time"

	"figbank/platform/standin"
)

// addUpstream starts the nth upstream of a service behind a new proxy.
func (c *cluster) addUpstream(n int, service string) error {
	proxy, err := StartProxy("127.0.0.1:0", "")
	if err != nil {
		return err
	}
	u := &upstream{proxy: proxy, config: standin.Config{
		Service: service, Zone: domainOf(n), Control: c.control, Slots: slots, Work: plainWork,
		AnnouncedAddress: func(address string) (string, error) {
			proxy.SetTarget(address)
			return proxy.Address(), nil
		},
	}}
	if service == standin.ModelService {
		u.config.Work, u.config.Model, u.config.Layers, u.config.Pieces = eventWork, standin.Model, layers, pieces
		u.config.Version = 1
		u.config.Engine = c.engine
		if c.engine != nil {
			u.config.Work = sizedWork
		}
	}
	if err := c.startIncarnation(u); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = append(c.upstreams, u)
	return nil
}

// addFaultyUpstreams starts the upstreams of the faulty service, without proxies.
func (c *cluster) addFaultyUpstreams() error {
	for i := range c.faultyUpstreams {
		u, err := standin.StartUpstream(standin.Config{
			ID: fmt.Sprintf("f-%d", i), Service: standin.FaultyService, Zone: domainOf(i), Control: c.control, Slots: faultySlots, Work: plainWork,
		})
		if err != nil {
			return err
		}
		c.faulty = append(c.faulty, u)
	}
	return nil
}

// startIncarnation starts the next incarnation of an upstream.
func (c *cluster) startIncarnation(u *upstream) error {
	c.mu.Lock()
	c.incarnations++
	u.config.ID = fmt.Sprintf("i-%d", c.incarnations)
	c.mu.Unlock()
	started, err := standin.StartUpstream(u.config)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.current != nil {
		c.ended = append(c.ended, u.current)
	}
	u.current = started
	return nil
}

// crash kills the nth upstream. After downtime it starts the next incarnation, without weights.
func (c *cluster) crash(n int, downtime time.Duration) error {
	c.mu.Lock()
	u := c.upstreams[n]
	c.mu.Unlock()
	u.restarting.Lock()
	defer u.restarting.Unlock()
	u.current.Kill()
	wall.sleep(downtime)
	u.config.Version = 0
	return c.startIncarnation(u)
}

// allIncarnations returns every incarnation that has ever run.
func (c *cluster) allIncarnations() []*standin.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Concat(c.ended, c.faulty)
	for _, u := range c.upstreams {
		all = append(all, u.current)
	}
	return all
}

// currentUpstreams returns the running incarnations of a service's upstreams.
func (c *cluster) currentUpstreams(service string) []*standin.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service == standin.FaultyService {
		return slices.Clone(c.faulty)
	}
	var running []*standin.Upstream
	for _, u := range c.upstreams {
		if u.config.Service == service {
			running = append(running, u.current)
		}
	}
	return running
}

// runningUpstreams returns the running incarnations of all upstreams.
func (c *cluster) runningUpstreams() []*standin.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := slices.Clone(c.faulty)
	for _, u := range c.upstreams {
		running = append(running, u.current)
	}
	return running
}

// runCounts returns how often each request has run, by its id.
func (c *cluster) runCounts() map[string]int {
	counts := map[string]int{}
	for _, u := range c.allIncarnations() {
		u.EachRun(func(id string, count int) { counts[id] += count })
	}
	return counts
}

// arrivals returns all arrivals of requests at the upstreams, by service.
func (c *cluster) arrivals() map[string][]standin.Arrival {
	arrivals := map[string][]standin.Arrival{}
	for _, u := range c.allIncarnations() {
		arrivals[u.Service()] = append(arrivals[u.Service()], u.Arrivals()...)
	}
	return arrivals
}

// garbled returns how upstreams garbled the answers to a request.
func (c *cluster) garbled(id string) []string {
	var all []string
	for _, u := range c.allIncarnations() {
		all = append(all, u.Garbled(id)...)
	}
	return all
}
