package soak

import (
	"time"

	"figbank/platform/standin"
)

const (
	// uploadBytes is the length of a long upload. The buffers of the kernel do not hold it, so that it is on its way when it is answered.
	uploadBytes = 6 << 20
	// uploaders is the number of callers at one gateway that send long uploads.
	uploaders = 6
	// earlyUpstreams is the number of upstreams that answer them early.
	earlyUpstreams = 4
	// minWholeServed is how many of the early answers that are whole must be complete at their callers.
	minWholeServed = 0.5
)

// answersToUploads makes the upstreams of the faulty service answer uploads before they have read them.
func answersToUploads(length time.Duration) []Fault {
	return []Fault{{Duration: length, Kind: AnswerEarly, RandomBits: 1}}
}

func (i *injector) answerEarly(fault Fault) {
	i.record.mark("upstream", fault.Duration, "upstreams of %s answer before they have read the request", standin.FaultyService)
	for _, u := range i.cluster.currentUpstreams(standin.FaultyService) {
		u.SetEarly(standin.FaultyShare{Share: 1, Seed: fault.RandomBits})
	}
	wall.sleep(fault.Duration)
}

// checkUploads records a violation if early answers that were whole did not reach their callers. Those that were broken off are
// checked as all answers are.
func (r *run) checkUploads() {
	whole, broken := 0, 0
	for _, u := range r.cluster.currentUpstreams(standin.FaultyService) {
		w, b := u.Early()
		whole, broken = whole+w, broken+b
	}
	_, took := r.callers.sentWithin(r.faultsBegan, r.faultsEnded, func(request *sentRequest) bool { return isFaulty(request.route) })
	r.printf("%d early answers were whole, %d broken off; %d complete at callers, half of them within %v", whole, broken, len(took), median(took))
	if whole == 0 || broken == 0 || float64(len(took)) < minWholeServed*float64(whole) {
		r.record.addViolation("Served", "%d early answers were whole, %d broken off, %d complete at callers", whole, broken, len(took))
	}
}
