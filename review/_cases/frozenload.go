package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["frozen-load"] = frozenLoad }

// frozenLoad: an agent has staged a new version and read it back. Then its machine stands still for four
// seconds, in which a staged piece turns bad. The agent must not order the worker to load it.
func frozenLoad(c *cluster, trouble bool) (verdict, error) {
	origin, err := startOrigin(c, c.ip(61)+":0", func(int) bool { return false })
	if err != nil {
		return verdict{}, err
	}
	m, err := startModel(c)
	if err != nil {
		return verdict{}, err
	}
	agent := c.addAgent(m.address)
	if err := c.start(); err != nil {
		return verdict{}, err
	}
	if _, err := c.order(0, http.MethodPut, "/v1/config", modelManifest(1, origin)); err != nil {
		return verdict{}, err
	}
	if !c.awaitReady(20 * time.Second) {
		return verdict{}, fmt.Errorf("the gateways are not ready")
	}
	load := startConsumers(c, 1, 500*time.Millisecond)
	load.addRoute("model", 100*time.Millisecond)
	time.Sleep(5 * time.Second)
	verified := make(chan struct{})
	m.mu.Lock()
	m.verified = func() {
		if trouble {
			agent.signal(syscall.SIGSTOP)
			c.record.line("froze %s", agent.name)
		}
		close(verified)
	}
	m.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"model": modelName, "version": 2})
	if _, err := c.order(0, http.MethodPost, "/v1/version-put", body); err != nil {
		return verdict{}, err
	}
	select {
	case <-verified:
	case <-time.After(30 * time.Second):
		return verdict{}, fmt.Errorf("the agent did not stage the version")
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		m.turnBad(7)
		time.Sleep(freezeTime - 200*time.Millisecond)
		agent.signal(syscall.SIGCONT)
		c.record.line("thawed %s", agent.name)
	}
	time.Sleep(8 * time.Second)
	load.end()
	m.mu.Lock()
	defer m.mu.Unlock()
	return verdict{breaks: m.wrongRuns, detail: fmt.Sprintf("requests run on layers with a piece that had been spoilt for over 3 s when they were loaded: %d; version %d; answers %v",
		m.wrongRuns, m.version, load.counts())}, nil
}
