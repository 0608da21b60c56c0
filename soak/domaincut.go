package soak

import (
	"maps"
	"slices"
)

// How connections between two failure domains that are cut from each other begin and end, by the bits of a fault.
const (
	// cutResets resets the connections at the start of the cut, and refuses new ones.
	cutResets = 1 << iota
	// healResets resets the connections at its end. Otherwise what was held back arrives late.
	healResets
)

// domainCut is a cut between the processes of two failure domains.
type domainCut struct {
	cluster *cluster
	// sides maps the processes of both failure domains to theirs.
	sides map[int]string
}

// cutDomains cuts the failure domain of the log's leader from another one. The third reaches both, and callers and
// operators reach all. The target decides which one is the third.
func (i *injector) cutDomains(fault Fault) {
	cut := domainCut{cluster: i.cluster, sides: map[int]string{}}
	middle := domainOf(i.cluster.leader() + 1 + fault.Target%(domainCount-1))
	i.cluster.mu.Lock()
	for n, p := range i.cluster.processes {
		if p.failureDomain != middle {
			cut.sides[n] = p.failureDomain
		}
	}
	i.cluster.mu.Unlock()
	i.record.mark(middle, fault.Duration, "%s (%d)", fault.Kind, fault.RandomBits%4)
	impairment := Impairment{HoldInbound: true, HoldOutbound: true, Refuse: fault.RandomBits&cutResets != 0}
	i.disturbReplicas()
	defer i.disturbReplicas()
	for n := range cut.sides {
		if n >= i.cluster.size.Replicas {
			defer i.cluster.outages.begin(n)()
		}
	}
	cut.set(impairment)
	if impairment.Refuse {
		cut.reset()
	}
	wall.sleep(fault.Duration)
	if fault.RandomBits&healResets != 0 {
		cut.reset()
	}
	cut.set(Impairment{})
}

// disturbReplicas records that the links of the replicas change now.
func (i *injector) disturbReplicas() {
	for _, n := range i.cluster.currentHosts() {
		i.cluster.outages.beginDisturbance(n)()
	}
}

// across lists the processes on the other side.
func (c domainCut) across(process int) []int {
	others := slices.DeleteFunc(slices.Collect(maps.Keys(c.sides)), func(n int) bool { return c.sides[n] == c.sides[process] })
	return others
}

func (c domainCut) set(impairment Impairment) {
	for n := range c.sides {
		cuts := map[int]Impairment{}
		for _, dialer := range c.across(n) {
			cuts[dialer] = impairment
		}
		for _, proxy := range c.cluster.proxies[n] {
			proxy.SetCuts(cuts)
		}
	}
}

func (c domainCut) reset() {
	for n := range c.sides {
		for _, proxy := range c.cluster.proxies[n] {
			proxy.ResetFrom(c.across(n))
		}
	}
}
