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

func publishDomain(revision int64, state string) *schema.Publish {
	return &schema.Publish{Declarations: []*schema.Declaration{{Subject: &schema.Declaration_FailureDomain{
		FailureDomain: &schema.FailureDomainDeclaration{Name: "a", Revision: revision, State: state},
	}}}}
}

func TestPublish(t *testing.T) {
	scenarios := []struct {
		name string
		key  string
		// down makes the log refuse every command.
		down bool
		// closed stops the server before the request.
		closed bool
		// answerLost closes the connection instead of answering.
		answerLost bool
		publish    *schema.Publish
		want       any
	}{
		{name: "is accepted", key: "key", publish: publishDomain(6, "Out")},
		{name: "is stale", key: "key", publish: publishDomain(4, "Out"), want: new(RefusedError)},
		{name: "conflicts", key: "key", publish: publishDomain(5, "Out"), want: new(RefusedError)},
		{name: "has a wrong key", key: "other", publish: publishDomain(6, "Out"), want: new(RefusedError)},
		{name: "violates a rule that the client did not check", key: "key", publish: publishDomain(6, "Away"), want: new(RefusedError)},
		{name: "declares nothing", key: "key", publish: &schema.Publish{}, want: new(RefusedError)},
		{name: "finds no leader", key: "key", publish: publishDomain(6, "Out"), down: true, want: new(RefusedError)},
		{name: "reaches no gateway", key: "key", publish: publishDomain(6, "Out"), closed: true, want: new(figbank.NotAcceptedError)},
		{name: "loses its answer", key: "key", publish: publishDomain(6, "Out"), answerLost: true, want: new(figbank.UnknownOutcomeError)},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			log := fake.NewProposer(clock.System{})
			if _, err := log.Propose(context.Background(), &schema.Command{Action: &schema.Command_Publish{Publish: publishDomain(5, "In")}}); err != nil {
				t.Fatal(err)
			}
			log.SetDown(s.down)
			server := httptest.NewServer(dropAnswers(newHandler(log), s.answerLost))
			defer server.Close()
			if s.closed {
				server.Close()
			}
			client := NewClient(strings.TrimPrefix(server.URL, "http://"), s.key)
			result, err := client.Publish(context.Background(), s.publish)
			switch {
			case s.want == nil && (err != nil || result.GetCommitIndex() != 2):
				t.Errorf("Publish() = %v, %v, want commit index 2", result, err)
			case s.want != nil && !errors.As(err, s.want):
				t.Errorf("Publish() = %v, want %T", err, s.want)
			}
		})
	}
}

func newHandler(log figbank.Proposer) http.Handler {
	sum := sha256.Sum256([]byte("key"))
	common := figbank.Common{
		Log: zap.NewNop(), Clock: clock.System{}, Scope: tally.NoopScope,
		Recorder: timeline.NewRecorder("g", clock.System{}, 16),
	}
	views := Views{Status: func() *schema.Status { return &schema.Status{} }, Metrics: http.NotFoundHandler()}
	return New(common, log, views, []string{hex.EncodeToString(sum[:])}).Handler()
}

// dropAnswers returns a handler that closes the connection without an answer if drop
// is set.
func dropAnswers(handler http.Handler, drop bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !drop {
			handler.ServeHTTP(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
}
