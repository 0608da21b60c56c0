package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil" //nolint:depguard // used only for comparison
	"net/url"
	"testing"
)

// BenchmarkRequest compares requests through a gateway and an agent with requests
// through httputil.ReverseProxy. Both use the loopback interface.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(answerOK)
	b.Run("reverseproxy", func(b *testing.B) {
		backend := httptest.NewServer(handler)
		defer backend.Close()
		target, err := url.Parse(backend.URL)
		if err != nil {
			b.Fatal(err)
		}
		front := httptest.NewServer(httputil.NewSingleHostReverseProxy(target))
		defer front.Close()
		benchmarkURL(b, front.URL+"/x")
	})
	b.Run("figbank", func(b *testing.B) {
		h := newHarness(b, nil)
		h.declare(plain(true))
		_, service := newBackend(b, answerOK)
		h.addAgent(service, 1000)
		benchmarkURL(b, h.server.URL+"/services/s/x")
	})
}

func benchmarkURL(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, _ := http.NewRequest(http.MethodGet, address, http.NoBody)
			request.Header.Set("Authorization", "Bearer "+callerKey)
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status = %d, want 200", response.StatusCode)
				return
			}
		}
	})
}
