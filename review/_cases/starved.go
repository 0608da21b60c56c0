package main

import (
	"fmt"
	"net/http"
	"time"
)

// starved checks the rule Starved for one kind of request: it must be served at least a quarter as often as all
// requests. late is the time from which requests are counted once more by themselves.
func starved(load *consumers, path string, late time.Time, detail string) verdict {
	all, allServed, kind, kindServed, lateCount, lateServed := 0, 0, 0, 0, 0, 0
	for _, a := range load.answers {
		served := 0
		if a.status == http.StatusOK && a.sealed {
			served = 1
		}
		all++
		allServed += served
		if a.path != path {
			continue
		}
		kind++
		kindServed += served
		if a.sentAt.After(late) {
			lateCount++
			lateServed += served
		}
	}
	allShare, kindShare := float64(allServed)/float64(all), float64(kindServed)/float64(kind)
	v := verdict{detail: fmt.Sprintf("%s; served of all requests: %.3f of %d; of %s: %.3f of %d, and of those sent later than %.1f s: %d of %d",
		detail, allShare, all, path, kindShare, kind, late.Sub(load.cluster.record.start).Seconds(), lateServed, lateCount)}
	if kindShare < allShare/4 {
		v.breaks = 1
	}
	return v
}
