package fake

import (
	"time"

	"figbank"
)

// shapedPiece is the largest number of bytes that a shaped network sends as a unit, so that
// several connections share a link.
const shapedPiece = 4 << 10

type (
	// Rates limits the bytes per second of the links of a Network; 0 means no limit. Each link
	// carries its bytes in the order in which they were sent.
	Rates struct {
		// Host limits what a process sends, and what it receives.
		Host figbank.Bytes
		// Region limits what all processes of one domain send to those of another.
		Region figbank.Bytes
	}

	// Link carries bytes one after the other at a fixed rate. It is not safe for concurrent
	// use.
	Link struct {
		rate figbank.Bytes
		// free is when all bytes that were sent so far have passed.
		free time.Time
	}

	// linkKey names the link on which a process sends (to is empty) or receives (from is
	// empty), or that of a pair of domains.
	linkKey struct{ from, to string }
)

// NewLink returns a link of the given rate in bytes per second; 0 means no limit.
func NewLink(rate figbank.Bytes) *Link {
	return &Link{rate: rate}
}

// Pass sends bytes at the given time and returns when they have passed.
func (l *Link) Pass(at time.Time, bytes int) time.Time {
	if l.rate <= 0 {
		return at
	}
	l.free = later(l.free, at).Add(time.Duration(float64(bytes) / float64(l.rate) * float64(time.Second)))
	return l.free
}

// SetRates limits the links between processes from now on.
func (n *Network) SetRates(rates Rates) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates, n.links = rates, map[linkKey]*Link{}
}

// SetHostRate limits what one process sends and receives, whatever SetRates says.
func (n *Network) SetHostRate(address figbank.Address, rate figbank.Bytes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[linkKey{from: hostOf(address)}] = NewLink(rate)
	n.links[linkKey{to: hostOf(address)}] = NewLink(rate)
}

// Receive passes bytes from outside the network over the link on which a process receives,
// and returns when they have arrived.
func (n *Network) Receive(address figbank.Address, at time.Time, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(linkKey{to: hostOf(address)}, n.rates.Host).Pass(at, bytes)
}

// arrival returns when bytes that are sent now have passed all links on their way.
func (n *Network) arrival(from, to figbank.Address, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.clock.Now()
	if n.links == nil {
		return at
	}
	at = n.link(linkKey{from: hostOf(from)}, n.rates.Host).Pass(at, bytes)
	if domainOf(from) != domainOf(to) {
		at = n.link(linkKey{from: domainOf(from), to: domainOf(to)}, n.rates.Region).Pass(at, bytes)
	}
	return n.link(linkKey{to: hostOf(to)}, n.rates.Host).Pass(at, bytes)
}

// link returns a link. The first call for it creates it with the given rate. The caller
// holds mu.
func (n *Network) link(key linkKey, rate figbank.Bytes) *Link {
	link, found := n.links[key]
	if !found {
		link = NewLink(rate)
		n.links[key] = link
	}
	return link
}

// hostOf distinguishes the links of processes from those of domains.
func hostOf(address figbank.Address) string {
	return "host " + string(address)
}
