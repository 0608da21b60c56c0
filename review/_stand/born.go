package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// contactTime is the contact_ms of the deployment.
	contactTime = 3 * time.Second
	// The disruption: the time of day is 2.4 s ahead on the machine of a worker, for 6 s. The worker starts meanwhile,
	// crashes, and starts again under its id once the time of day is right again.
	clockAhead  = 2400 * time.Millisecond
	lifeTime    = 500 * time.Millisecond
	downTime    = time.Second
	serveOnTime = 4 * time.Second
)

// bornCase starts a worker again whose earlier lifetime was born later by the time of day. It then reports draining.
func bornCase(r *record, trouble bool) (bool, error) {
	c, err := startCluster(r, func() map[string]any { return document(1) })
	defer c.close()
	if err != nil {
		return false, err
	}
	if _, err := startDesk(r, c); err != nil {
		return false, err
	}
	k := newDeskWorker(r, c, 0)
	if trouble {
		k.clock = clockAhead
		r.printf("the time of day on the machine of worker %s is %v ahead", k.id, clockAhead)
	}
	if err := k.start(); err != nil {
		return false, err
	}
	time.Sleep(lifeTime)
	k.crash()
	k.clock = 0
	r.printf("the time of day on the machine of worker %s is right", k.id)
	time.Sleep(downTime)
	if err := k.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range consumers {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(bookingPause):
				}
				a := ask(c.front(n%gatewayCount), pathUnsafe, fmt.Sprintf("job-%d-%d", n, i), 4*time.Second)
				r.printf("consumer: request %s: %s", a.id, a)
			}
		})
	}
	time.Sleep(2*contactTime + 2*heartbeat)
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	acked, err := k.report()
	if err != nil {
		close(stop)
		group.Wait()
		return false, errors.New("the worker's draining was not acknowledged")
	}
	time.Sleep(drainTime + serveOnTime)
	close(stop)
	group.Wait()
	return judgeDrain(r, k, acked), nil
}

// judgeDrain checks DRAIN: no request reaches a worker later than drain_ms after the acknowledgement that it drains.
func judgeDrain(r *record, k *worker, acked time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, late := 0, 0
	for _, a := range k.arrivals {
		switch {
		case a.at.Before(acked):
			before++
		case a.at.Sub(acked) > drainTime:
			late++
			r.printf("request %s reached worker %s %.3f s after the acknowledgement", a.id, k.id, a.at.Sub(acked).Seconds())
		}
	}
	r.printf("%d requests reached worker %s before it drained, %d later than drain_ms after the acknowledgement", before, k.id, late)
	return late == 0
}
