package raft

// Cause is why a node has changed its role, term or leader last.
type Cause int

const (
	// Started means that it has read its state from the disk and has heard nobody yet.
	Started Cause = iota
	// NewerTerm means that another replica told of a higher term.
	NewerTerm
	// LeaderHeard means that it follows the leader of its term.
	LeaderHeard
	// LeaderSilent means that its election timeout has passed without a leader.
	LeaderSilent
	// PreVoteWon means that it asks for votes, since an election could succeed.
	PreVoteWon
	// AskedToLead means that it asks for votes, since the leader has asked it to take over.
	AskedToLead
	// Elected means that a quorum has voted for it.
	Elected
	// QuorumLost means that it led and has not heard from a quorum within the election timeout.
	QuorumLost
	// Removed means that it led and is no voter any more.
	Removed
)

// String returns the name of the cause.
func (c Cause) String() string {
	return [...]string{"Started", "NewerTerm", "LeaderHeard", "LeaderSilent", "PreVoteWon", "AskedToLead", "Elected", "QuorumLost", "Removed"}[c]
}

// Cause returns why this node has changed its role, term or leader last.
func (n *Node) Cause() Cause { return n.cause }
