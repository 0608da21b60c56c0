package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	routeTimeoutMS = 2000
	clientDeadline = 4000
	// slowDeadline is the time limit of the consumers of large answers. None of them waits longer.
	slowDeadline  = 90000
	largeAnswer   = 4 << 20
	slowReaders   = 100
	slowPerSecond = 5
	// minUnended is how many requests without an end, and over a quarter, break the rule.
	minUnended     = 8
	usualPerSecond = 10
	usualTime      = 10 * time.Second
	afterTime      = 30 * time.Second
	// settleTime is how long after the last slow reader's request the judged time begins: the route's timeout and the
	// time after which workers cut off unread answers are over.
	settleTime = 6 * time.Second
)

// tally counts the answers to usual requests.
type tally struct {
	sent, served atomic.Int64
	mu           sync.Mutex
	other        map[string]int
}

func (t *tally) add(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.other[outcome]++
}

// usual sends one usual request on a new channel.
func (c *cluster) usual(gateway *process, id string, t *tally) {
	t.sent.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/status/small/%s", gateway.ip, c.port+portFront, id), nil)
	if err != nil {
		t.add(err.Error())
		return
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Key", key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	outcome := "no answer"
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		outcome = fmt.Sprint(response.StatusCode)
		if err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Response-Seal") != "" {
			t.served.Add(1)
		}
	}
	t.add(outcome)
	c.record.note("consumer: %s at %s: %s", id, gateway.name, outcome)
}

// traffic sends usual requests to all gateways for a time.
func (c *cluster) traffic(name string, length time.Duration) []*tally {
	tallies := make([]*tally, len(c.gateways))
	for i := range tallies {
		tallies[i] = &tally{other: map[string]int{}}
	}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		for i, gateway := range c.gateways {
			id := fmt.Sprintf("%s-%d-%d", name, i, n)
			group.Go(func() { c.usual(gateway, id, tallies[i]) })
		}
		time.Sleep(time.Second / usualPerSecond)
	}
	group.Wait()
	for i, t := range tallies {
		c.record.note("%s: %s: %d sent, %d served, %v", name, c.gateways[i].name, t.sent.Load(), t.served.Load(), t.other)
	}
	return tallies
}

// readSlowly sends a request with a large answer and reads the answer, 1 KiB a second if slow is set, until done.
func (c *cluster) readSlowly(gateway *process, id string, slow bool, done <-chan struct{}, whole, open *atomic.Int64) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	conn, err := dialer.Dial("tcp", net.JoinHostPort(gateway.ip, strconv.Itoa(c.port+portFront)))
	if err != nil {
		c.record.note("reader %s: %v", id, err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /export/large/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: %d\r\n\r\n", id, host, id, key, slowDeadline)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
	if err != nil {
		c.record.note("reader %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	c.record.note("reader %s at %s: %d", id, gateway.name, response.StatusCode)
	if !slow {
		if n, err := io.Copy(io.Discard, response.Body); err == nil && n == largeAnswer {
			whole.Add(1)
		}
		<-done
		return
	}
	read := int64(0)
	for {
		select {
		case <-done:
			open.Add(1)
			c.record.note("reader %s leaves after %d bytes, its answer had not ended", id, read)
			return
		case <-time.After(time.Second):
		}
		n, err := io.CopyN(io.Discard, response.Body, 1<<10)
		read += n
		if err != nil {
			c.record.note("reader %s: the answer ended after %d bytes: %v", id, read, err)
			<-done
			return
		}
	}
}

// runSlowReaders is the case of consumers that read slowly.
func runSlowReaders(c *cluster, trouble bool) (broken bool, err error) {
	if err := c.startAll(3); err != nil {
		return false, err
	}
	answer := make([]byte, largeAnswer)
	var workers []*worker
	for i := range 3 {
		w, err := c.startWorker(i, bookingSlots, bookingWork, answer)
		if err != nil {
			return false, err
		}
		defer w.close()
		workers = append(workers, w)
	}
	if err := c.order(http.MethodPut, "/v1/config", manifest(3, routeTimeoutMS)); err != nil {
		return false, err
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for _, t := range c.traffic("before", usualTime) {
		if t.served.Load() < t.sent.Load()*9/10 {
			return false, fmt.Errorf("usual requests are not served before the disruption")
		}
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	var whole, open atomic.Int64
	for n := range slowReaders {
		id := fmt.Sprintf("large-%d", n)
		group.Go(func() { c.readSlowly(c.gateways[0], id, trouble, done, &whole, &open) })
		time.Sleep(time.Second / slowPerSecond)
	}
	c.record.note("%d readers of large answers have come, %d have the whole answer", slowReaders, whole.Load())
	time.Sleep(settleTime)
	for _, w := range workers {
		c.record.note("worker %s: %d requests run or wait there", w.id, w.busy())
	}
	after := c.traffic("after", afterTime)
	for _, w := range workers {
		c.record.note("worker %s: %d requests run or wait there", w.id, w.busy())
	}
	close(done)
	group.Wait()
	for i, t := range after {
		if failed := t.sent.Load() - t.served.Load(); failed*10 > t.sent.Load()*6 {
			c.record.note("broken: %s refused or failed %d of %d requests, while its workers were idle", c.gateways[i].name, failed, t.sent.Load())
			broken = true
		}
	}
	c.record.note("%d of %d requests for large answers had no end %v and more after their route's timeout", open.Load(), slowReaders, settleTime+afterTime-routeTimeoutMS*time.Millisecond)
	broken = broken && open.Load() >= minUnended && open.Load()*4 > slowReaders
	time.Sleep(time.Second)
	c.traffic("gone", 3*time.Second)
	return broken, nil
}
