package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host       = "jobs.example"
	pathUnsafe = "/book/now"
	apiKey     = "jnbanfqasnmgkcuyj8pj"
	tenant     = "tenant-1"
)

// answer is what a consumer has got.
type answer struct {
	id     string
	status int
	sealed bool
	body   string
	// retryAfter is the value of Retry-After, notRun that of Not-Executed.
	retryAfter, notRun string
	err                error
}

func newRequestID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// ask sends one request to a gateway on a new channel and returns the answer.
func ask(front, path, body string, limit time.Duration) answer {
	a := answer{id: newRequestID()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Key", apiKey)
	request.Header.Set("Deadline-Ms", "4000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(content), err
	a.sealed = response.Header.Get("Response-Seal") != ""
	a.retryAfter, a.notRun = response.Header.Get("Retry-After"), response.Header.Get("Not-Executed")
	return a
}

// document is a configuration with one application and one route that must not be repeated.
func document(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "book", "host": host, "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300,
			"priority": 1, "service": "desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
			"target_gap_ms": 0, "home_regions": []any{},
		}},
		"services": []any{map[string]any{
			"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []any{apiKey}, "priority": 1, "home_regions": []any{}}},
	}
}
