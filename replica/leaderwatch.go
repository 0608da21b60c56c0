package replica

import (
	"fmt"
	"time"

	"figbank"
	"figbank/schema"

	"go.uber.org/zap"
)

const (
	// leaderlessPatience is how long a replica knows no leader before it says so. Elections take less.
	leaderlessPatience = time.Second
	// leaderlessInterval is the interval between two such log lines.
	leaderlessInterval = 2 * time.Second
)

// watchLeader logs and measures for how long this replica has known no leader, and which voters it
// does not hear. A log that has lost its majority can be told from one whose elections fail by that.
func (r *Replica) watchLeader(now time.Time) {
	before := r.leaderWatch.Held(now)
	leaderless, report := r.leaderWatch.Observe(now, r.node.Leader() == "")
	r.leaderless.Update(leaderless.Seconds())
	if leaderless == 0 && before >= leaderlessPatience {
		r.common.Log.Info("leader known again", zap.Duration("after", before), zap.String("leader", string(r.node.Leader())))
	}
	if !report {
		return
	}
	unheard, voters := r.describeVoters(now)
	r.common.Log.Warn("no leader known", zap.Duration("for", leaderless), zap.Stringer("role", r.node.Role()), zap.Stringer("term", r.node.Term()),
		zap.Bool("voter", r.node.IsVoter()), zap.Bool("joint", len(r.node.Membership().GetOutgoing()) > 0),
		zap.Int("unheard", unheard), zap.Strings("voters", voters))
}

// describeVoters returns how many other voters this replica has not heard of within an election timeout,
// and all of them with their addresses, the time since it last heard of them, and whether they have granted
// it their votes.
func (r *Replica) describeVoters(now time.Time) (unheard int, voters []string) {
	members := r.node.Membership()
	for _, set := range [][]*schema.Voter{members.GetVoters(), members.GetOutgoing()} {
		for _, voter := range set {
			id := figbank.ProcessID(voter.GetId())
			if id == r.common.Process {
				continue
			}
			silence, silent := "never heard", true
			if at, found := r.node.Heard(id); found {
				silence = fmt.Sprintf("silent %dms", now.Sub(at).Milliseconds())
				silent = now.Sub(at) > r.settings.Timing.ElectionTimeout
			}
			if silent {
				unheard++
			}
			granted := ""
			if r.node.HasVoteFrom(id) {
				granted = ", votes for this one"
			}
			voters = append(voters, fmt.Sprintf("%s at %s: %s%s", id, voter.GetAddress(), silence, granted))
		}
	}
	return unheard, voters
}
