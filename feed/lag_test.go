package feed

import (
	"testing"
	"time"

	"figbank"
	"figbank/schema"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// told is one message of a feed at a time after the start.
type told struct {
	at                time.Duration
	replica           figbank.Address
	commit, fleet     uint64
	leader            string
	leaderlessSeconds int64
}

// stepClock stands at the time of the last message.
type stepClock struct {
	figbank.Clock
	now time.Time
}

func (c *stepClock) Now() time.Time { return c.now }

// The log lines of a gateway tell a replica that is behind, rules that are late and a log without a leader
// apart, and say nothing while feeds merely deliver at different moments.
func TestLagIsReported(t *testing.T) {
	scenarios := []struct {
		name  string
		told  []told
		index uint64
		want  string
	}{
		{name: "feeds deliver at different moments", index: 5, told: []told{
			{replica: "a", commit: 4, fleet: 4, leader: "a"},
			{at: 600 * time.Millisecond, replica: "b", commit: 5, fleet: 5, leader: "a"},
			{at: 900 * time.Millisecond, replica: "a", commit: 5, fleet: 5, leader: "a"},
			{at: 1500 * time.Millisecond, replica: "a", commit: 6, fleet: 5, leader: "a"},
		}},
		{name: "a replica hears nobody", index: 5, want: "replicas are behind", told: []told{
			{replica: "a", commit: 5, fleet: 5, leader: "a"}, {at: time.Second, replica: "b", commit: 2, fleet: 5, leaderlessSeconds: 3},
		}},
		{name: "rules that a feed knows are missing", index: 3, want: "fleet state is old", told: []told{
			{replica: "a", commit: 5, fleet: 5, leader: "a"}, {at: time.Second, replica: "a", commit: 5, fleet: 5, leader: "a"},
		}},
		{name: "nobody leads", index: 5, want: "no replica knows a leader", told: []told{
			{replica: "a", commit: 5, fleet: 5, leaderlessSeconds: 2}, {at: time.Second, replica: "b", commit: 5, fleet: 5, leaderlessSeconds: 3},
		}},
		{name: "this process knows more than the log that goes on", index: 9, want: "fleet state is ahead of all feeds", told: []told{
			{replica: "a", commit: 7, fleet: 7, leader: "a"}, {at: 3 * time.Second, replica: "b", commit: 8, fleet: 8, leader: "a"},
		}},
		{name: "the feed that knew most is lost for a moment", index: 9, told: []told{
			{replica: "a", commit: 7, fleet: 7, leader: "a"}, {at: 2900 * time.Millisecond, replica: "b", commit: 9, fleet: 9, leader: "a"},
		}},
		{name: "one replica knows no leader", index: 5, told: []told{
			{replica: "a", commit: 5, fleet: 5, leader: "a"}, {at: time.Second, replica: "b", commit: 5, fleet: 5, leaderlessSeconds: 3},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			start := time.Unix(100, 0)
			clock := &stepClock{now: start}
			m := newLagMeter(figbank.Common{Log: zap.New(core), Clock: clock, Scope: tally.NoopScope})
			for _, message := range s.told {
				clock.now = start.Add(message.at)
				m.note(message.replica, &schema.LogPosition{
					Commit: message.commit, Fleet: message.fleet, Leader: message.leader, LeaderlessMilliseconds: 1000 * message.leaderlessSeconds,
				}, s.index)
			}
			got := ""
			for _, line := range lines.All() {
				got += line.Message
			}
			if got != s.want {
				t.Errorf("log lines = %q, want %q", got, s.want)
			}
		})
	}
}
