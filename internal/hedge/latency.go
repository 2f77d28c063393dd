package hedge

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// slowQuantile is the share of the answers of a class that are faster than its threshold.
	slowQuantile = 0.95
	// minObservations is the number of answers after which the quantile of a class is known: one in twenty is slower.
	minObservations = 20
	// maxObservations is the number of answers at which all counts of a class are halved, so that it follows changes.
	maxObservations = 400
	// maxClasses bounds the classes that are learned; further ones are never hedged.
	maxClasses = 512
	// bucketCount buckets, each of which ends bucketGrowth times as late as the one before, reach from 1 ms to 100 s.
	bucketCount  = 72
	bucketGrowth = 1.175
	// smallPromptTokens is the length of the prompts that count as the shortest.
	smallPromptTokens = 256
)

type (
	// Class is a kind of answers that take equally long on an idle endpoint.
	Class struct {
		// Service and Route are their names. A route may be shared by services.
		Service, Route string
		// Size is the order of magnitude of the prompt tokens to prefill, from SizeOf; zero without a prompt.
		Size int
	}

	// latencies learns how long the first answers of each class take. The zero value is usable. It is safe for concurrent use.
	latencies struct {
		mu      sync.Mutex
		classes map[Class]*histogram
	}

	// histogram counts answers by their time. Older ones count less.
	histogram struct {
		counts [bucketCount]float64
		total  float64
	}
)

// SizeOf returns the size of a prompt for its class.
func SizeOf(prefillTokens int) int {
	if prefillTokens <= 0 {
		return 0
	}
	return 1 + bits.Len(uint(prefillTokens/smallPromptTokens))
}

// observe records the time from sending a request to the beginning of its answer.
func (la *latencies) observe(cl Class, d time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.classes == nil {
		la.classes = make(map[Class]*histogram)
	}
	hi := la.classes[cl]
	if hi == nil {
		if len(la.classes) >= maxClasses {
			return
		}
		hi = &histogram{}
		la.classes[cl] = hi
	}
	hi.add(d)
}

// threshold returns the time beyond which an answer counts among the slowest of its class; ok is false while that is not known.
func (la *latencies) threshold(cl Class) (d time.Duration, ok bool) {
	la.mu.Lock()
	defer la.mu.Unlock()
	hi := la.classes[cl]
	if hi == nil || hi.total < minObservations {
		return 0, false
	}
	return hi.quantile(slowQuantile), true
}

func (hi *histogram) add(d time.Duration) {
	if hi.total >= maxObservations {
		for i := range hi.counts {
			hi.counts[i] /= 2
		}
		hi.total /= 2
	}
	hi.counts[bucketOf(d)]++
	hi.total++
}

// quantile returns the end of the bucket that holds the given quantile.
func (hi *histogram) quantile(share float64) time.Duration {
	left := share * hi.total
	for i, count := range hi.counts {
		if left -= count; left <= 0 {
			return bucketEnd(i)
		}
	}
	return bucketEnd(bucketCount - 1)
}

func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log(ms)/math.Log(bucketGrowth))), bucketCount-1)
}

func bucketEnd(i int) time.Duration {
	return time.Duration(math.Pow(bucketGrowth, float64(i)) * float64(time.Millisecond))
}
