package soak

import (
	"slices"
	"strings"
)

// exchangeHost records that one replica takes the place of another. The settings of all processes name it as a
// seed a while later.
func (c *cluster) exchangeHost(old, next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.seedLine()
	hosts := slices.Clone(c.hosts)
	hosts[slices.Index(hosts, old)] = next
	c.hosts = hosts
	after, processes := c.seedLine(), c.processes
	go func() {
		wall.sleep(seedLag)
		for _, p := range processes {
			if err := p.replaceSetting(before, after); err != nil {
				c.record.addViolation("Soak", "the seeds of %s: %v", p.id, err)
			}
		}
	}()
}

// seedLine is the setting that names the seeds.
func (c *cluster) seedLine() string {
	var seeds []string
	for _, n := range c.hosts {
		seeds = append(seeds, c.proxyAddress(n, portControl))
	}
	return "Seeds = " + strings.Join(seeds, ", ")
}

// currentHosts lists the replicas that the operators count on now.
func (c *cluster) currentHosts() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}
