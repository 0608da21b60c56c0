package replica

import (
	"math/rand/v2"

	"figbank/schema"
	"figbank/voters"
)

// Option configures a Replica under construction.
type Option func(*Replica)

// WithConfiguration calls callback with each configuration that is committed.
func WithConfiguration(callback func(*schema.Configuration)) Option {
	return func(r *Replica) { r.onConfiguration = callback }
}

// WithReplicas lets the leader replace voters that are gone. The leader chooses the
// new voters from the list that the function replicas returns.
func WithReplicas(replicas func() []voters.Replica) Option {
	return func(r *Replica) { r.knownReplicas = replicas }
}

// WithFleet calls callback with each fleet that is committed.
func WithFleet(callback func(*schema.Fleet)) Option {
	return func(r *Replica) { r.onFleet = callback }
}

// WithFailure calls callback when the replica has stopped because the disk failed.
func WithFailure(callback func(error)) Option {
	return func(r *Replica) { r.onFailure = callback }
}

// WithRandom replaces the source of the randomness in election timeouts.
func WithRandom(random *rand.Rand) Option {
	return func(r *Replica) { r.random = random }
}
