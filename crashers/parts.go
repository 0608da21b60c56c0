package crashers

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"figbank/schema"
)

const (
	// maxLosses bounds how many losses are compared. The latest count.
	maxLosses = 256
	// maxAnsweredParts bounds how many parts are remembered as answered, in each of two
	// generations.
	maxAnsweredParts = 8192
)

type (
	// Part identifies a part of a prompt that several requests may have in common.
	Part uint64

	// partSet finds the parts of prompts that crash upstreams. The caller holds the mutex of the
	// Set, except for refuses.
	partSet struct {
		// verdicts are replaced whole, so that the request path reads them without a lock.
		verdicts atomic.Pointer[[]verdict]
		// losses are sorted by the time of the loss.
		losses []*loss
		// answers and olderAnswers hold the parts that were answered. When answers is full, it
		// becomes olderAnswers.
		answers, olderAnswers map[Part]*partAnswer
		// evidenceIndex is the index of the verdict's loss that was repeated last.
		evidenceIndex int
	}

	// partAnswer is the latest answer to a request with a part, by a gateway at distance origin.
	partAnswer struct {
		at     time.Time
		origin Distance
		// reported is the answer that other gateways know, by their distance.
		reported [OtherDomain + 1]time.Time
	}
)

// PartsOf returns the parts with the given ids.
func PartsOf(ids []string) []Part {
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		if part := Part(xxhash.Sum64String(id)); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// refuses reports whether a request with these parts must not be sent to any upstream.
func (p *partSet) refuses(now time.Time, parts []Part) bool {
	verdicts := p.verdicts.Load()
	if verdicts == nil || len(parts) == 0 {
		return false
	}
	return slices.ContainsFunc(*verdicts, func(v verdict) bool { return now.Before(v.until) && v.covers(parts) })
}

// addLoss adds the loss of an upstream, unless it is known.
func (p *partSet) addLoss(fingerprint Fingerprint, seen crash) {
	same := func(l *loss) bool { return l.fingerprint == fingerprint && l.incarnation == seen.incarnation }
	if len(seen.parts) == 0 || slices.ContainsFunc(p.losses, same) {
		return
	}
	p.losses = append(p.losses, &loss{crash: seen, fingerprint: fingerprint})
	slices.SortStableFunc(p.losses, func(a, b *loss) int { return a.ended.Compare(b.ended) })
	latest := p.losses[len(p.losses)-1].ended
	p.losses = slices.DeleteFunc(p.losses, func(l *loss) bool { return latest.Sub(l.ended) > crashLifetime || p.disproved(l) })
	if len(p.losses) > maxLosses {
		p.losses = slices.Delete(p.losses, 0, len(p.losses)-maxLosses)
	}
	p.decide()
}

// addAnswer records that an upstream has begun to answer a request with the part.
func (p *partSet) addAnswer(part Part, at time.Time, origin Distance) {
	before := p.answeredAt(part)
	if !at.After(before) {
		return
	}
	answer := p.answer(part)
	if answer == nil {
		answer = &partAnswer{}
	}
	answer.at, answer.origin = at, origin
	p.remember(part, answer)
	changes := func(l *loss) bool { return !before.After(l.ended) && slices.Contains(l.parts, part) }
	if slices.ContainsFunc(p.losses, changes) {
		p.decide()
	}
}

// remember stores the answer in the newer generation.
func (p *partSet) remember(part Part, answer *partAnswer) {
	if p.answers[part] != nil {
		return
	}
	if len(p.answers) >= maxAnsweredParts || p.answers == nil {
		p.answers, p.olderAnswers = map[Part]*partAnswer{}, p.answers
	}
	p.answers[part] = answer
}

// answer returns the latest answer to a request with the part, or nil.
func (p *partSet) answer(part Part) *partAnswer {
	return cmp.Or(p.answers[part], p.olderAnswers[part])
}

func (p *partSet) answeredAt(part Part) time.Time {
	if answer := p.answer(part); answer != nil {
		return answer.at
	}
	return time.Time{}
}

// disproved reports whether all the parts of the lost request were answered after the loss.
func (p *partSet) disproved(l *loss) bool {
	return !slices.ContainsFunc(l.parts, func(part Part) bool { return !p.answeredAt(part).After(l.ended) })
}

func (p *partSet) decide() {
	verdicts := blame(p.losses, p.answeredAt)
	p.verdicts.Store(&verdicts)
}

// answerReports returns the answers to requests with suspected parts that the gateways at
// distance to should know: the first one, and the first one after the latest loss.
func (p *partSet) answerReports(now time.Time, to Distance) []*schema.CrashReport {
	var reports []*schema.CrashReport
	lastLoss := map[Part]time.Time{}
	for _, l := range p.losses {
		for _, part := range l.parts {
			lastLoss[part] = l.ended
		}
	}
	for part, lost := range lastLoss {
		answer := p.answer(part)
		if answer == nil || answer.origin >= to {
			continue
		}
		reported := &answer.reported[to]
		if reported.IsZero() || !reported.After(lost) && answer.at.After(lost) {
			*reported = answer.at
			reports = append(reports, &schema.CrashReport{
				Parts: []uint64{uint64(part)}, Answered: true, EndedMicrosecondsAgo: now.Sub(answer.at).Microseconds(),
			})
		}
	}
	return reports
}

// evidenceReport returns one loss that a verdict rests on, for gateways that have missed it.
// Successive calls rotate through all of them.
func (p *partSet) evidenceReport(now time.Time, to Distance) []*schema.CrashReport {
	verdicts := p.verdicts.Load()
	if verdicts == nil {
		return nil
	}
	var evidence []*loss
	for _, v := range *verdicts {
		for _, l := range v.evidence {
			if l.propagation.origin < to {
				evidence = append(evidence, l)
			}
		}
	}
	if len(evidence) == 0 {
		return nil
	}
	p.evidenceIndex = (p.evidenceIndex + 1) % len(evidence)
	l := evidence[p.evidenceIndex]
	return []*schema.CrashReport{l.report(now, l.fingerprint)}
}
