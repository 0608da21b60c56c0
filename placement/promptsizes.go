package placement

import (
	"math"
	"sync"
)

const (
	// bucketsPerDoubling is the number of buckets for lengths between one and its double.
	bucketsPerDoubling = 4
	// maxDoublings bounds the lengths that are told apart: two to this power.
	maxDoublings = 24
	// rememberedPrompts is how many prompts decide. Then older ones count half.
	rememberedPrompts = 256
	// leastPrompts is the number of prompts from which on the distribution is known.
	leastPrompts = 20
)

// PromptSizes is the distribution of the lengths of a route's recent prompts. It is safe for
// concurrent use. The zero value has seen no prompt.
type PromptSizes struct {
	mu      sync.Mutex
	buckets [bucketsPerDoubling * maxDoublings]float64
	total   float64
}

// Record adds the length of a prompt in tokens.
func (p *PromptSizes) Record(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total >= rememberedPrompts {
		p.total /= 2
		for i := range p.buckets {
			p.buckets[i] /= 2
		}
	}
	bucket := int(bucketsPerDoubling * math.Log2(float64(max(1, tokens))))
	p.buckets[min(bucket, len(p.buckets)-1)]++
	p.total++
}

// Quantile returns a length that the given share of the prompts does not exceed, or 0 while too few are
// known. It is up to a fifth above the least such length.
func (p *PromptSizes) Quantile(share float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total < leastPrompts {
		return 0
	}
	below := 0.0
	for i, count := range p.buckets {
		if below += count; below >= share*p.total {
			return int(math.Ceil(math.Exp2(float64(i+1) / bucketsPerDoubling)))
		}
	}
	return 1 << maxDoublings
}
