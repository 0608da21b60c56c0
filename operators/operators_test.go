package operators

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"figbank"
	"figbank/clock"
	"figbank/fake"
	"figbank/schema"
	"figbank/timeline"
)

func domain(revision int64, state string) *schema.Publish {
	return &schema.Publish{Declarations: []*schema.Declaration{{Subject: &schema.Declaration_FailureDomain{
		FailureDomain: &schema.FailureDomainDeclaration{Name: "a", Revision: revision, State: state},
	}}}}
}

func TestPublish(t *testing.T) {
	scenarios := []struct {
		name string
		key  string
		down bool
		gone bool
		// answerLost closes the connection in place of an answer.
		answerLost bool
		offer      *schema.Publish
		want       any
	}{
		{name: "is accepted", key: "key", offer: domain(6, "Out")},
		{name: "is stale", key: "key", offer: domain(4, "Out"), want: new(RefusedError)},
		{name: "conflicts", key: "key", offer: domain(5, "Out"), want: new(RefusedError)},
		{name: "has a wrong key", key: "other", offer: domain(6, "Out"), want: new(RefusedError)},
		{name: "breaks a rule that its client did not check", key: "key", offer: domain(6, "Away"), want: new(RefusedError)},
		{name: "declares nothing", key: "key", offer: &schema.Publish{}, want: new(RefusedError)},
		{name: "finds no leader", key: "key", offer: domain(6, "Out"), down: true, want: new(RefusedError)},
		{name: "reaches no gateway", key: "key", offer: domain(6, "Out"), gone: true, want: new(figbank.NotAcceptedError)},
		{name: "loses its answer", key: "key", offer: domain(6, "Out"), answerLost: true, want: new(figbank.UnknownOutcomeError)},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			log := fake.NewProposer(clock.System{})
			if _, err := log.Propose(context.Background(), &schema.Command{Action: &schema.Command_Publish{Publish: domain(5, "In")}}); err != nil {
				t.Fatal(err)
			}
			log.SetDown(s.down)
			server := httptest.NewServer(lossy(newInterface(log), s.answerLost))
			defer server.Close()
			if s.gone {
				server.Close()
			}
			client := NewClient(strings.TrimPrefix(server.URL, "http://"), s.key)
			result, err := client.Publish(context.Background(), s.offer)
			switch {
			case s.want == nil && (err != nil || result.GetCommitIndex() != 2):
				t.Errorf("Publish() = %v, %v, want it accepted at 2", result, err)
			case s.want != nil && !errors.As(err, s.want):
				t.Errorf("Publish() = %v, want %T", err, s.want)
			}
		})
	}
}

func newInterface(log figbank.Proposer) http.Handler {
	sum := sha256.Sum256([]byte("key"))
	common := figbank.Common{
		Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder("g", clock.System{}, 16),
	}
	views := Views{Status: func() *schema.Status { return &schema.Status{} }, Metrics: http.NotFoundHandler()}
	return New(common, log, views, []string{hex.EncodeToString(sum[:])}).Handler()
}

func lossy(handler http.Handler, lose bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !lose {
			handler.ServeHTTP(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
}
