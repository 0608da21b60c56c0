package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pageServer is the number of the server that is no worker, beside those of the workers.
	pageServer  = 90
	bookingTime = 20 * time.Second
	bookingBody = 600
	// allowedDenied and one in deniedShare of all requests may be denied.
	allowedDenied = 5
	deniedShare   = 500
)

// servePages starts a plain web server that is no worker. It knows none of the paths that it is asked for, and says so.
func (c *cluster) servePages(asked *atomic.Int64) (address string, stop func(), err error) {
	address = fmt.Sprintf("127.%d.1.%d:%d", c.net, pageServer, c.port+portWorker)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		c.record.note("web server: %s %s, request %s, tenant %s", r.Method, r.URL.Path, r.Header.Get("Request-Id"), r.Header.Get("Tenant-Id"))
		http.NotFound(w, r)
	})}
	// It answers each request on a connection of its own.
	server.SetKeepAlivesEnabled(false)
	go func() { _ = server.Serve(listener) }()
	return address, func() { _ = server.Close() }, nil
}

// writeBirthless sends, until done, an entry of another writer that lacks the field born.
func (c *cluster) writeBirthless(address string, done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": "cutdesk", "address": address, "zone": zones[0], "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"models": []any{}, "seq": sequence,
		})
		request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/instances/y-%d", c.address(1, portControl), c.port), bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err != nil {
			c.record.note("other writer: %v", err)
		} else {
			_ = response.Body.Close()
			c.record.note("other writer: entry y-%d without born, address %s: %d", c.port, address, response.StatusCode)
		}
		select {
		case <-done:
			return
		case <-time.After(otherInterval):
		}
	}
}

// bookings counts the answers to bookings.
type bookings struct {
	sent, served, denied atomic.Int64
}

// book sends a booking, which may run once.
func (c *cluster) book(gateway *process, id string, b *bookings) {
	b.sent.Add(1)
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/small/%s", gateway.ip, c.port+portFront, id), strings.NewReader(strings.Repeat("b", bookingBody)))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Key", key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline))
	client := &http.Client{Timeout: clientDeadline * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.record.note("consumer: %s at %s: %v", id, gateway.name, err)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	sealed := response.Header.Get("Response-Seal") != ""
	c.record.note("consumer: %s at %s: %d, sealed %t", id, gateway.name, response.StatusCode, sealed)
	switch {
	case err == nil && response.StatusCode == http.StatusOK && sealed:
		b.served.Add(1)
	case !sealed && (response.StatusCode/100 == 3 || response.StatusCode/100 == 4) && response.StatusCode != http.StatusRequestTimeout &&
		response.StatusCode != http.StatusMisdirectedRequest && response.StatusCode != http.StatusTooManyRequests:
		b.denied.Add(1)
	}
}

// bookFor sends bookings to all gateways for a time.
func (c *cluster) bookFor(name string, length time.Duration) *bookings {
	b := &bookings{}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		for i, gateway := range c.gateways {
			id := fmt.Sprintf("%s-%d-%d", name, i, n)
			group.Go(func() { c.book(gateway, id, b) })
		}
		time.Sleep(time.Second / usualPerSecond)
	}
	group.Wait()
	c.record.note("%s: %d bookings sent, %d served, %d denied without a worker's seal", name, b.sent.Load(), b.served.Load(), b.denied.Load())
	return b
}

// runBirthless is the case of an entry of another writer that lacks a field.
func runBirthless(c *cluster, trouble bool) (broken bool, err error) {
	if err := c.startAll(3); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 3 {
		w, err := c.startWorker(i, bookingSlots, bookingWork, nil)
		if err != nil {
			return false, err
		}
		defer w.close()
		workers = append(workers, w)
	}
	var asked atomic.Int64
	address, stop, err := c.servePages(&asked)
	if err != nil {
		return false, err
	}
	defer stop()
	if err := c.order(http.MethodPut, "/v1/config", manifest(3, routeTimeoutMS)); err != nil {
		return false, err
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if b := c.bookFor("before", usualTime); b.served.Load() < b.sent.Load()*9/10 {
		return false, fmt.Errorf("bookings are not served before the disruption")
	}
	done := make(chan struct{})
	if trouble {
		go c.writeBirthless(address, done)
	}
	time.Sleep(otherSettle)
	b := c.bookFor("during", bookingTime)
	close(done)
	c.record.note("the web server, which is no worker, was asked %d times; %d workers were running", asked.Load(), len(workers))
	if b.denied.Load() > allowedDenied+b.sent.Load()/deniedShare {
		c.record.note("broken: %d of %d bookings were denied", b.denied.Load(), b.sent.Load())
		broken = true
	}
	return broken, nil
}
