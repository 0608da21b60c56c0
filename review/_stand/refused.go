package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	deskWorkers = 7
	// The disruption: one worker of seven (share 0.14) fails 0.45 of its requests for 6.5 s.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	// The consumers: each sends one booking after the other.
	consumers    = 6
	bookingPause = 60 * time.Millisecond
	calmTime     = 2 * time.Second
)

// refusedCase lets one worker of an application fail a part of its requests: it runs them, and then answers 503
// without Not-Executed. An answer 503 promises a consumer that its request has not run and never will.
func refusedCase(r *record, trouble bool) (bool, error) {
	c, err := startCluster(r, func() map[string]any { return document(1) })
	defer c.close()
	if err != nil {
		return false, err
	}
	workers, err := startDesk(r, c)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	answers := []answer{}
	jobs := map[string]int{}
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
				job := fmt.Sprintf("job-%d-%d", n, i)
				for _, a := range book(r, c.front(n%gatewayCount), job) {
					mu.Lock()
					answers = append(answers, a)
					jobs[job] += ranOn(workers, a.id)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(calmTime)
	if trouble {
		workers[0].setFail(failAfterRun(r))
		r.printf("worker %s fails %.2f of its requests", workers[0].id, greyShare)
	}
	time.Sleep(greyTime)
	workers[0].setFail(nil)
	r.printf("worker %s is sound", workers[0].id)
	time.Sleep(calmTime)
	close(stop)
	group.Wait()
	return judgeRefused(r, workers, answers, jobs)
}

// startDesk starts the workers of the application.
func startDesk(r *record, c *cluster) ([]*worker, error) {
	var workers []*worker
	for n := range deskWorkers {
		k := newDeskWorker(r, c, n)
		if err := k.start(); err != nil {
			return nil, err
		}
		workers = append(workers, k)
	}
	return workers, nil
}

// newDeskWorker returns a worker of the application that has not started.
func newDeskWorker(r *record, c *cluster, n int) *worker {
	return &worker{
		record: r, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "desk", zone: "zone-" + zoneOf(n), slots: 6, work: 60 * time.Millisecond,
		control: []string{c.control(n % replicaCount), c.control((n + 1) % replicaCount), c.control((n + 2) % replicaCount)},
	}
}

func (k *worker) setFail(fail func(http.ResponseWriter, *http.Request) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fail = fail
}

// failAfterRun returns what fails a part of the requests that have run. Half of the answers bear the worker's seal.
func failAfterRun(r *record) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, request *http.Request) bool {
		if rand.Float64() >= greyShare {
			return false
		}
		id := request.Header.Get("Request-Id")
		sealed := rand.IntN(2) == 0
		if sealed {
			w.Header().Set("Response-Seal", "seal."+id)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		r.printf("request %s has run, the worker answers 503 without Not-Executed, sealed %t", id, sealed)
		return true
	}
}

// book books a job. A consumer sends a request that must not be repeated once more only after an answer that
// promises that it has not run.
func book(r *record, front, job string) []answer {
	first := ask(front, pathUnsafe, job, 4*time.Second)
	r.printf("consumer: %s, request %s: %s", job, first.id, first)
	if !first.promises() {
		return []answer{first}
	}
	seconds, _ := strconv.ParseFloat(first.retryAfter, 64)
	time.Sleep(time.Duration(min(seconds, 1.3) * float64(time.Second)))
	second := ask(front, pathUnsafe, job, 4*time.Second)
	r.printf("consumer: %s again, request %s: %s", job, second.id, second)
	return []answer{first, second}
}

// promises reports whether the status says that the request has not run and never will.
func (a answer) promises() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return a.err == nil
	}
	return false
}

// String describes the answer.
func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, sealed %t, Not-Executed %q", a.status, a.sealed, a.notRun)
}

func ranOn(workers []*worker, id string) int {
	runs := 0
	for _, k := range workers {
		runs += k.hasRun(id)
	}
	return runs
}

// judgeRefused checks REFUSED: no request that is not idempotent is answered 429, 503, 408 or 421 and has run.
func judgeRefused(r *record, workers []*worker, answers []answer, jobs map[string]int) (bool, error) {
	sealed, unsealed, good := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.err == nil && a.status == http.StatusOK:
			good++
		case a.promises() && ranOn(workers, a.id) > 0:
			r.printf("request %s was answered %d and has run", a.id, a.status)
			if a.sealed {
				sealed++
			} else {
				unsealed++
			}
		}
	}
	twice := 0
	for job, runs := range jobs {
		if runs > 1 {
			twice++
			r.printf("%s was booked %d times, since its consumer was told that it had not run", job, runs)
		}
	}
	r.printf("%d requests, %d answered with success; answered 'not run' although run: %d with the worker's seal, %d without; jobs booked twice: %d",
		len(answers), good, sealed, unsealed, twice)
	if good < len(answers)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", good, len(answers))
	}
	return sealed+unsealed == 0, nil
}
