package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// The bytes that a request's head may have by the first and by the second configuration, and those that the later
	// requests have.
	firstHeadLimit  = 16384
	secondHeadLimit = 32768
	longHead        = 24 << 10
	// configApply is the config_apply_ms of the deployment.
	configApply  = 2 * time.Second
	keptChannels = 20
	keptPause    = 250 * time.Millisecond
	longRequests = 8
)

// channel is a consumer's channel that it keeps for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// closing is set once an answer has said that the channel will be closed.
	closing bool
}

// limitsCase publishes a configuration that allows longer heads, and sends requests with such heads on channels that
// were opened before. Consumers that were told that a channel closes open another one.
func limitsCase(r *record, trouble bool) (bool, error) {
	c, err := startCluster(r, func() map[string]any { return withHeadLimit(1, firstHeadLimit) })
	defer c.close()
	if err != nil {
		return false, err
	}
	if _, err := startDesk(r, c); err != nil {
		return false, err
	}
	time.Sleep(2*heartbeat + contactTime)
	var mu sync.Mutex
	denied, served, other := 0, 0, 0
	var group sync.WaitGroup
	changed := make(chan struct{})
	for n := range keptChannels {
		group.Go(func() {
			k, err := dialChannel(c.front(n % gatewayCount))
			if err != nil {
				r.printf("channel %d: %v", n, err)
				return
			}
			for waiting, i := true, 0; waiting; i++ {
				status, err := k.ask(c.front(n%gatewayCount), 100)
				if err != nil || status != http.StatusOK {
					r.printf("channel %d: request %d with a short head: status %d, %v", n, i, status, err)
				}
				select {
				case <-changed:
					waiting = false
				case <-time.After(keptPause):
				}
			}
			length := longHead
			if !trouble {
				length = 100
			}
			for i := range longRequests {
				status, err := k.ask(c.front(n%gatewayCount), length)
				r.printf("channel %d: request %d with a head of %d bytes: status %d, %v", n, i, length, status, err)
				mu.Lock()
				switch {
				case err == nil && status == http.StatusOK:
					served++
				case err == nil && status >= 400 && status < 500 && status != 408 && status != 421 && status != 429:
					denied++
				default:
					other++
				}
				mu.Unlock()
				time.Sleep(keptPause)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := c.publish(withHeadLimit(2, secondHeadLimit)); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply + time.Second)
	close(changed)
	group.Wait()
	r.printf("%d requests more than config_apply_ms after the acknowledgement: %d served, %d denied with a 4xx, %d other", served+denied+other, served, denied, other)
	if served == 0 && denied == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return denied <= 5+(served+denied+other)/500, nil
}

func withHeadLimit(version, bytes int) map[string]any {
	d := document(version)
	d["limits"] = map[string]any{"max_header_bytes": bytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	return d
}

func dialChannel(front string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// ask sends one request whose head is padded to a length. It opens another channel if the last answer asked for that, or
// if the channel has ended.
func (k *channel) ask(front string, length int) (int, error) {
	if k.closing {
		_ = k.conn.Close()
		next, err := dialChannel(front)
		if err != nil {
			return 0, err
		}
		*k = *next
	}
	_ = k.conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(k.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: 4000\r\nX-Padding: %s\r\nContent-Length: 4\r\n\r\nbook",
		pathUnsafe, host, newRequestID(), apiKey, strings.Repeat("p", length))
	if err != nil {
		k.closing = true
		return 0, err
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.closing = true
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	k.closing = response.Close || err != nil
	if response.StatusCode >= http.StatusBadRequest {
		// The status has come, whatever becomes of the rest.
		err = nil
	}
	return response.StatusCode, err
}
