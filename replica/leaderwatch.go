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

// leaderWatch tells for how long a replica has known no leader, and when to report that.
type leaderWatch struct {
	// since is when the leader was lost, or zero while one is known.
	since, nextReport time.Time
}

// observe records whether a leader is known now. It returns for how long none has been, and whether
// that is to be reported.
func (w *leaderWatch) observe(now time.Time, known bool) (leaderless time.Duration, report bool) {
	if known {
		w.since = time.Time{}
		return 0, false
	}
	if w.since.IsZero() {
		w.since, w.nextReport = now, now.Add(leaderlessPatience)
	}
	if now.Before(w.nextReport) {
		return now.Sub(w.since), false
	}
	w.nextReport = now.Add(leaderlessInterval)
	return now.Sub(w.since), true
}

// watchLeader logs and measures for how long this replica has known no leader, and which voters it
// does not hear. A log that has lost its majority can be told from one whose elections fail by that.
func (r *Replica) watchLeader(now time.Time) {
	before := r.leaderWatch.since
	leaderless, report := r.leaderWatch.observe(now, r.node.Leader() != "")
	r.leaderless.Update(leaderless.Seconds())
	if !before.IsZero() && leaderless == 0 && now.Sub(before) >= leaderlessPatience {
		r.common.Log.Info("leader known again", zap.Duration("after", now.Sub(before)), zap.String("leader", string(r.node.Leader())))
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
