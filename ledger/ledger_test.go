package ledger

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"figbank/schema"
)

// machine applies commands as a replicated log would.
type machine struct {
	t     *testing.T
	state *State
	index uint64
	now   time.Time
}

func newMachine(t *testing.T) *machine {
	return &machine{t: t, state: NewState(), now: time.Unix(1_700_000_000, 0)}
}

func (m *machine) apply(command *schema.Command) *schema.Result {
	m.t.Helper()
	command.TimeUnixNano = m.now.UnixNano()
	data, err := proto.Marshal(command)
	if err != nil {
		m.t.Fatalf("Marshal() = %v", err)
	}
	m.index++
	return m.state.Apply(&schema.Entry{Index: m.index, Term: 1, Data: data})
}

func (m *machine) publish(declarations ...*schema.Declaration) *schema.Result {
	m.t.Helper()
	return m.apply(&schema.Command{Action: &schema.Command_Publish{Publish: &schema.Publish{Declarations: declarations}}})
}

func (m *machine) claim(owner, fingerprint string) *schema.Result {
	m.t.Helper()
	return m.apply(&schema.Command{Action: &schema.Command_Claim{Claim: &schema.Claim{
		Key: &schema.ClaimKey{Key: "k"}, Owner: owner, Fingerprint: []byte(fingerprint),
	}}})
}

func (m *machine) settle(owner string, state schema.ClaimState, answer *schema.RecordedAnswer) {
	m.t.Helper()
	m.apply(&schema.Command{Action: &schema.Command_Settle{Settle: &schema.Settle{
		Key: &schema.ClaimKey{Key: "k"}, Owner: owner, State: state, Answer: answer,
	}}})
}

func service(name string, revision int64, manifest string) *schema.Declaration {
	return &schema.Declaration{Subject: &schema.Declaration_Service{Service: &schema.ServiceDeclaration{
		Name: name, Revision: revision, Manifest: manifest,
	}}}
}

func TestPublish(t *testing.T) {
	inForce := []*schema.Declaration{service("a", 5, "v5")}
	scenarios := []struct {
		name        string
		offer       []*schema.Declaration
		want        schema.Refusal
		wantIndex   uint64
		wantInForce int64
	}{
		{name: "accepts a higher revision", offer: []*schema.Declaration{service("a", 6, "v6")}, wantIndex: 2, wantInForce: 6},
		{name: "gives the same answer to the same publish", offer: inForce, wantIndex: 1, wantInForce: 5},
		{name: "refuses other content under the same revision", offer: []*schema.Declaration{service("a", 5, "other")}, want: schema.Refusal_REFUSAL_CONFLICT, wantInForce: 5},
		{name: "refuses a lower revision", offer: []*schema.Declaration{service("a", 4, "v4")}, want: schema.Refusal_REFUSAL_STALE, wantInForce: 5},
		{name: "accepts none of several when one is refused", offer: []*schema.Declaration{service("b", 1, "v1"), service("a", 4, "v4")}, want: schema.Refusal_REFUSAL_STALE, wantInForce: 5},
		{name: "refuses a subject declared twice", offer: []*schema.Declaration{service("a", 6, "x"), service("a", 7, "y")}, want: schema.Refusal_REFUSAL_INVALID, wantInForce: 5},
		{name: "refuses an empty declaration", offer: []*schema.Declaration{{}}, want: schema.Refusal_REFUSAL_INVALID, wantInForce: 5},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := newMachine(t)
			first := m.publish(inForce...)
			got := m.publish(s.offer...)
			if got.GetRefusal() != s.want {
				t.Errorf("refusal = %v, want %v", got.GetRefusal(), s.want)
			}
			if got.GetCommitIndex() != s.wantIndex {
				t.Errorf("commit index = %d, want %d", got.GetCommitIndex(), s.wantIndex)
			}
			current := FindAccepted(m.state.Configuration(), "service a").GetDeclaration().GetService()
			if current.GetRevision() != s.wantInForce {
				t.Errorf("revision in force = %d, want %d", current.GetRevision(), s.wantInForce)
			}
			if s.wantIndex == 1 && !proto.Equal(got, first) {
				t.Errorf("answer to the resent publish = %v, want %v", got, first)
			}
			if s.want != schema.Refusal_REFUSAL_NONE && FindAccepted(m.state.Configuration(), "service b") != nil {
				t.Error("a refused publish put service b in force")
			}
		})
	}
}

func TestPublishKeepsPreviousVersions(t *testing.T) {
	m := newMachine(t)
	for revision, manifest := range []string{"v1", "v2", "v3", "v1"} {
		m.publish(service("a", int64(revision+1), manifest))
	}
	var got []string
	for _, previous := range m.state.Configuration().GetServices()[0].GetPrevious() {
		got = append(got, previous.GetManifest())
	}
	if want := []string{"v3", "v2"}; len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("previous manifests = %v, want %v", got, want)
	}
}

func TestClaims(t *testing.T) {
	answer := &schema.RecordedAnswer{Status: 200, Body: []byte("booked")}
	scenarios := []struct {
		name        string
		before      func(*machine)
		owner       string
		fingerprint string
		want        schema.Refusal
		wantAnswer  bool
	}{
		{name: "accepts a claim of an unused key", before: func(*machine) {}},
		{name: "accepts a repeated claim of the same owner", before: func(m *machine) { m.claim("second", "f") }},
		{name: "refuses while another owner's request is running", before: func(m *machine) { m.claim("first", "f") }, want: schema.Refusal_REFUSAL_CLAIM_RUNNING},
		{
			name: "refuses another request under the key", before: func(m *machine) { m.claim("first", "f") },
			fingerprint: "other", want: schema.Refusal_REFUSAL_CLAIM_MISMATCH,
		},
		{
			name: "returns the recorded answer",
			before: func(m *machine) {
				m.claim("first", "f")
				m.settle("first", schema.ClaimState_CLAIM_STATE_DONE, answer)
			},
			wantAnswer: true,
		},
		{
			name: "refuses as unknown after an unknown outcome",
			before: func(m *machine) {
				m.claim("first", "f")
				m.settle("first", schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
			},
			want: schema.Refusal_REFUSAL_CLAIM_UNKNOWN,
		},
		{
			name: "accepts another owner's claim after a request that did not run",
			before: func(m *machine) {
				m.claim("first", "f")
				m.settle("first", schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil)
			},
		},
		{
			name: "refuses a late copy of a claim that was freed", owner: "first",
			before: func(m *machine) {
				m.claim("first", "f")
				m.settle("first", schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil)
			},
			want: schema.Refusal_REFUSAL_CLAIM_WITHDRAWN,
		},
		{
			name: "refuses a claim that arrives after its withdrawal", owner: "first",
			before: func(m *machine) { m.settle("first", schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil) },
			want:   schema.Refusal_REFUSAL_CLAIM_WITHDRAWN,
		},
		{
			name:   "accepts another owner's claim after a withdrawal without a claim",
			before: func(m *machine) { m.settle("first", schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil) },
		},
		{
			name: "ignores an outcome that is not from the owner",
			before: func(m *machine) {
				m.claim("first", "f")
				m.settle("stranger", schema.ClaimState_CLAIM_STATE_UNSPECIFIED, nil)
			},
			want: schema.Refusal_REFUSAL_CLAIM_RUNNING,
		},
		{
			name: "refuses as unknown when the owner has not reported an outcome in time",
			before: func(m *machine) {
				m.claim("first", "f")
				m.now = m.now.Add(runningTimeout + time.Second)
			},
			want: schema.Refusal_REFUSAL_CLAIM_UNKNOWN,
		},
		{
			name: "refuses as unknown when the recorded answer has expired",
			before: func(m *machine) {
				m.claim("first", "f")
				m.settle("first", schema.ClaimState_CLAIM_STATE_DONE, answer)
				m.now = m.now.Add(answerLifetime + time.Second)
			},
			want: schema.Refusal_REFUSAL_CLAIM_UNKNOWN,
		},
		{
			name: "accepts another owner's claim after the key's lifetime",
			before: func(m *machine) {
				m.claim("first", "f")
				m.now = m.now.Add(keyLifetime + time.Second)
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := newMachine(t)
			s.before(m)
			owner, fingerprint := "second", "f"
			if s.owner != "" {
				owner = s.owner
			}
			if s.fingerprint != "" {
				fingerprint = s.fingerprint
			}
			// The result must be the same after a restart from a snapshot.
			snapshot, err := m.state.Snapshot(1)
			if err != nil {
				t.Fatalf("Snapshot() = %v", err)
			}
			restored, err := Restore(snapshot)
			if err != nil {
				t.Fatalf("Restore() = %v", err)
			}
			restarted := &machine{t: t, state: restored, index: m.index, now: m.now}
			for _, tried := range []*machine{m, restarted} {
				got := tried.claim(owner, fingerprint)
				if got.GetRefusal() != s.want {
					t.Errorf("refusal = %v, want %v", got.GetRefusal(), s.want)
				}
				if (got.GetRecorded() != nil) != s.wantAnswer {
					t.Errorf("recorded answer = %v, want one: %t", got.GetRecorded(), s.wantAnswer)
				}
			}
		})
	}
}

func TestGrants(t *testing.T) {
	m := newMachine(t)
	requestGrant := func(upstream, domain string, inDomain, inAll int64) schema.Refusal {
		return m.apply(&schema.Command{Action: &schema.Command_Grant{Grant: &schema.Grant{
			Service: "a", Upstream: upstream, FailureDomain: domain, WarmInDomain: inDomain, WarmInAll: inAll,
		}}}).GetRefusal()
	}
	release := func(upstream string) {
		m.apply(&schema.Command{Action: &schema.Command_Release{Release: &schema.Release{Service: "a", Upstream: upstream}}})
	}
	steps := []struct {
		name string
		act  func() schema.Refusal
		want schema.Refusal
	}{
		{"first of three", func() schema.Refusal { return requestGrant("x1", "x", 3, 6) }, schema.Refusal_REFUSAL_NONE},
		{"the same upstream again", func() schema.Refusal { return requestGrant("x1", "x", 3, 6) }, schema.Refusal_REFUSAL_NONE},
		{"second in the domain", func() schema.Refusal { return requestGrant("x2", "x", 3, 6) }, schema.Refusal_REFUSAL_GRANT_WAIT},
		{"first in another domain", func() schema.Refusal { return requestGrant("y1", "y", 3, 6) }, schema.Refusal_REFUSAL_NONE},
		{"second after release", func() schema.Refusal { release("x1"); return requestGrant("x2", "x", 3, 6) }, schema.Refusal_REFUSAL_NONE},
		{"last warm upstream anywhere", func() schema.Refusal { return requestGrant("z1", "z", 1, 2) }, schema.Refusal_REFUSAL_GRANT_WAIT},
	}
	for _, s := range steps {
		if got := s.act(); got != s.want {
			t.Errorf("%s: refusal = %v, want %v", s.name, got, s.want)
		}
	}
	m.now = m.now.Add(3 * time.Minute)
	if got := requestGrant("x3", "x", 3, 6); got != schema.Refusal_REFUSAL_NONE {
		t.Errorf("after the first grants expired: refusal = %v, want none", got)
	}
}
