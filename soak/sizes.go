package soak

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"figbank/platform/standin"
)

const (
	// usualPrompt is the mean length of a prompt in tokens, maxPrompt the longest one, shortPrompt the
	// shortest, where prompts have different lengths.
	usualPrompt = 500
	shortPrompt = 40
	maxPrompt   = 2000
	// sizedEvents is the length of an answer, in events, where prompts have different lengths.
	sizedEvents = 12
	// sizedWork is the time from one event to the next, readPerSecond the prompt tokens that an
	// engine reads in a second.
	sizedWork     = 20 * time.Millisecond
	readPerSecond = 10000
	// minPause and maxPause bound the pause after a refusal.
	minPause = 300 * time.Millisecond
	maxPause = 900 * time.Millisecond
	// largeShare is the share of requests that are large, and also that of the ones below them that
	// are checked, twice as many.
	largeShare = 0.1
	// minServedShare is how often large requests must be served, against how often all are.
	minServedShare = 0.5
	// minRequests is the least number of requests from which shares can be compared.
	minRequests = 500
)

// drawPrompt draws the length of a prompt: many are short, few are very long.
func drawPrompt() int {
	drawn := int(usualPrompt * rand.ExpFloat64())
	return min(max(drawn, shortPrompt), maxPrompt)
}

// pauseAfterRefusal waits as callers do that were refused.
func pauseAfterRefusal(status int) {
	if status == http.StatusServiceUnavailable {
		wall.sleep(minPause + time.Duration(rand.Int64N(int64(maxPause-minPause)))) //nolint:gosec // spreads load, no secret
	}
}

// checkSizes records a violation if large requests were served much less often than all.
func (r *run) checkSizes() {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	var sized []*sentRequest
	for _, request := range r.callers.sent {
		if request.prompt > 0 && request.route == standin.Stream && !request.unreachable {
			sized = append(sized, request)
		}
	}
	if len(sized) < minRequests {
		return
	}
	slices.SortFunc(sized, func(a, b *sentRequest) int { return cmp.Compare(a.prompt, b.prompt) })
	all := servedShare(sized)
	large, below := len(sized)-int(largeShare*float64(len(sized))), len(sized)-int(3*largeShare*float64(len(sized)))
	r.printf("served of %d requests: %.2f, of the largest tenth %.2f, of the fifth below it %.2f",
		len(sized), all, servedShare(sized[large:]), servedShare(sized[below:large]))
	for name, part := range map[string][]*sentRequest{"largest tenth": sized[large:], "fifth below the largest tenth": sized[below:large]} {
		if share := servedShare(part); share < minServedShare*all {
			r.record.addViolation("Sizes", "%.2f of the %s of requests were served, %.2f of all", share, name, all)
		}
	}
}

func servedShare(requests []*sentRequest) float64 {
	served := 0
	for _, request := range requests {
		if request.served {
			served++
		}
	}
	return float64(served) / float64(len(requests))
}
