package replica

import (
	"math/rand/v2"

	"figbank/schema"
	"figbank/voters"
)

// Option configures a Replica under construction.
type Option func(*Replica)

// WithConfiguration calls callback with the configuration at the start and with each one that is
// committed later. A replica that installs a snapshot reports the configuration in the snapshot,
// but not the earlier ones that it missed. The replica waits for callback, so callback must not
// block.
func WithConfiguration(callback func(*schema.Configuration)) Option {
	return func(r *Replica) { r.onConfiguration = callback }
}

// WithReplicas lets the leader change the membership, for instance to replace voters that
// are gone. The leader chooses the new voters from the list that the function replicas
// returns. Without this option the membership does not change.
func WithReplicas(replicas func() []voters.Replica) Option {
	return func(r *Replica) { r.knownReplicas = replicas }
}

// WithFleet calls callback with the fleet state at the start and with each one that is committed
// later. What WithConfiguration says about snapshots and blocking applies here too.
func WithFleet(callback func(*schema.Fleet)) Option {
	return func(r *Replica) { r.onFleet = callback }
}

// WithLeaves calls callback with the upstreams whose leaves the log holds at the start, and with each one
// that is committed later. callback must not block.
func WithLeaves(callback func([]*schema.Instance)) Option {
	return func(r *Replica) { r.onLeaves = callback }
}

// WithDuties calls callback with who holds the duties at the start and after each change. callback must not
// block.
func WithDuties(callback func([]*schema.DutyRecord)) Option {
	return func(r *Replica) { r.onDuties = callback }
}

// WithFailure calls callback with the error that makes the replica stop by itself, in
// most cases a failure of its disk. callback must not call Close, which would wait for
// callback to return.
func WithFailure(callback func(error)) Option {
	return func(r *Replica) { r.onFailure = callback }
}

// WithRandom replaces the source of the randomness in election timeouts. Nothing else may
// use the source, since it is not safe for concurrent use.
func WithRandom(random *rand.Rand) Option {
	return func(r *Replica) { r.random = random }
}
