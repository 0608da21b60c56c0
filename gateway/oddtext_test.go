package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"figbank/schema"
)

// HTTP allows bytes above 0x7f in header values, and callers write them into queries. Messages between the gateway and an agent
// refused texts that are no UTF-8: a request with one was answered as if no upstream could be reached, and of an answer with one
// nothing was known though it had run.
func TestBytesThatAreNoTextReachTheOtherSide(t *testing.T) {
	const latin1 = "caf\xe9"
	h := newHarness(t, nil)
	h.declare(plain(false))
	var query, header string
	service, engine := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		query, header = r.URL.RawQuery, r.Header.Get("X-Name")
		w.Header().Set("Content-Type", "text/plain; name="+latin1)
		w.Header().Set("X-Answer", latin1)
		w.Header().Set("X-Incarnation", latin1)
		answerOK(w, r)
	})
	h.addAgent(engine, 8)
	for _, key := range []string{"", "k1", "k1"} {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.server.URL+"/services/s/x", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		request.URL.RawQuery = "q=" + latin1
		request.Header.Set("Authorization", "Bearer "+callerKey)
		request.Header.Set("X-Name", latin1)
		if key != "" {
			request.Header.Set(headerIdempotencyKey, key)
		}
		response, err := h.server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || string(body) != "done" {
			t.Errorf("answer = %d %q (%s), want 200 done", response.StatusCode, body, response.Header.Get(headerOutcome))
		}
		if got := response.Header.Get("Content-Type"); got != "text/plain; name="+latin1 {
			t.Errorf("Content-Type = %q, want that of the upstream", got)
		}
		if got := response.Header.Get("X-Answer"); got != latin1 && response.Header.Get("Figbank-Replayed") == "" {
			t.Errorf("header of the answer = %q, want %q", got, latin1)
		}
	}
	if query != "q="+latin1 || header != latin1 {
		t.Errorf("the upstream received query %q and header %q, want %q in both", query, header, latin1)
	}
	if got := service.runs.Load(); got != 2 {
		t.Errorf("runs = %d, want 2: the third request repeats the key of the second", got)
	}
	if got := h.agents[0].Record().GetState(); got != schema.UpstreamState_UPSTREAM_STATE_READY {
		t.Errorf("state of the upstream = %v, want ready", got)
	}
}

// An idempotency key with bytes that are no UTF-8 can be neither claimed nor shown among the events of the gateway, where it
// would hide all others.
func TestIdempotencyKeyThatIsNoTextIsRefused(t *testing.T) {
	h := newHarness(t, nil)
	h.declare(plain(false))
	service, engine := newBackend(t, answerOK)
	h.addAgent(engine, 8)
	if got := h.send(http.MethodPost, "/services/s/x", "k\xff", ""); got.status != http.StatusBadRequest {
		t.Errorf("status = %d, want 400", got.status)
	}
	if got := service.runs.Load(); got != 0 {
		t.Errorf("runs = %d, want none", got)
	}
}
