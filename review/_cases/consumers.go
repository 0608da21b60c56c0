package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// consumers send requests to all gateways until they are stopped.
type consumers struct {
	cluster *cluster
	stop    chan struct{}
	group   sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// addRoute adds one channel to each gateway on which requests to a further route are sent.
func (s *consumers) addRoute(kind string, interval time.Duration) {
	for g := range s.cluster.gateways {
		s.group.Go(func() {
			client := &http.Client{Timeout: routeTimeout * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for i := 0; ; i++ {
				select {
				case <-s.stop:
					return
				case <-time.After(interval):
				}
				s.send(client, s.cluster.gateways[g], kind, fmt.Sprintf("%s%02x%08x", kind, g, i))
			}
		})
	}
}

// answer is what a consumer got for one request. Status is 0 if the channel ended without an answer.
type answer struct {
	id, path, gateway string
	sentAt, endedAt   time.Time
	status            int
	sealed, leaving   bool
}

// startConsumers sends one request each interval on each of perGateway channels to every gateway. Half of
// the requests are unsafe ones.
func startConsumers(c *cluster, perGateway int, interval time.Duration) *consumers {
	s := &consumers{cluster: c, stop: make(chan struct{})}
	for g := range c.gateways {
		for n := range perGateway {
			s.group.Go(func() { s.run(g, n, interval) })
		}
	}
	return s
}

func (s *consumers) run(g, n int, interval time.Duration) {
	client := &http.Client{Timeout: routeTimeout * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	// The channels are not in step.
	time.Sleep(rand.N(4 * interval))
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(interval):
		}
		kind := "safe"
		if i%2 == 0 {
			kind = "unsafe"
		}
		s.send(client, s.cluster.gateways[g], kind, fmt.Sprintf("%02x%02x%08x", g, n, i))
	}
}

func (s *consumers) send(client *http.Client, gateway *process, kind, id string) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+gateway.ip+":"+portFront+"/"+kind+"/job", strings.NewReader("body of "+id))
	request.Host = callerHost
	now := time.Now()
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.Itoa(routeTimeout))
	request.Header.Set("Key", callerKey)
	if kind == "model" {
		request.Header.Set("Model-Name", modelName)
		request.Header.Set("Token-Count", "100,5")
		request.Header.Set("Prompt-Prefix", "5c1e07a2:40,"+fmt.Sprintf("%x", now.UnixNano())+":60")
	}
	request.Header.Set("Sent-At", strconv.FormatInt(now.UnixMicro(), 10))
	request.Header.Set("Sent-To", gateway.name)
	a := answer{id: id, path: "/" + kind + "/job", gateway: gateway.name, sentAt: now}
	response, err := client.Do(request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.sealed = response.StatusCode, response.Header.Get("Response-Seal") != ""
		a.leaving = response.Header.Get("Server-Leaving") != ""
	}
	if err != nil {
		a.status = 0
	}
	a.endedAt = time.Now()
	s.cluster.record.line("consumer sent %s /%s to %s %.3f s ago, gets %d (sealed %t, %v)", id, kind, gateway.name, a.endedAt.Sub(now).Seconds(), a.status, a.sealed, err)
	s.mu.Lock()
	s.answers = append(s.answers, a)
	s.mu.Unlock()
}

func (s *consumers) end() {
	close(s.stop)
	s.group.Wait()
}

// counts returns how many answers had each status.
func (s *consumers) counts() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[int]int{}
	for _, a := range s.answers {
		counts[a.status]++
	}
	return counts
}
