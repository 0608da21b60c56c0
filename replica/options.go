package replica

import (
	"math/rand/v2"

	"figbank/schema"
	"figbank/voters"
)

// Option changes a Replica under construction.
type Option func(*Replica)

// WithConfiguration calls act with each configuration that becomes committed.
func WithConfiguration(act func(*schema.Configuration)) Option {
	return func(r *Replica) { r.onConfiguration = act }
}

// WithReplicas lets the leader replace voters that are gone by others that known
// lists.
func WithReplicas(known func() []voters.Replica) Option {
	return func(r *Replica) { r.known = known }
}

// WithFleet calls act with each fleet that becomes committed.
func WithFleet(act func(*schema.Fleet)) Option {
	return func(r *Replica) { r.onFleet = act }
}

// WithFailure calls act when the disk failed and the replica has stopped.
func WithFailure(act func(error)) Option {
	return func(r *Replica) { r.onFailure = act }
}

// WithRandom replaces the source that spreads elections.
func WithRandom(random *rand.Rand) Option {
	return func(r *Replica) { r.random = random }
}
