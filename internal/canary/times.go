package canary

import (
	"slices"
	"time"
)

const (
	// timesKept is the number of requests of a service whose times are kept, and minTimes that without which they say nothing.
	timesKept, minTimes = 256, 50
	// longestShare is the part of the requests that take no longer than the longest one: a single stalled one is no measure.
	longestShare = 0.99
)

// recentTimes are the times that the last requests took.
type recentTimes struct {
	times []time.Duration
	next  int
}

// ObserveEnd records how long a request was at an endpoint of a service.
func (tr *Tracker) ObserveEnd(service string, took time.Duration) {
	if !tr.opts.Limits().IsEnabled() {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	rt := tr.times[service]
	if rt == nil {
		rt = &recentTimes{}
		tr.times[service] = rt
	}
	rt.add(took)
}

func (rt *recentTimes) add(took time.Duration) {
	if len(rt.times) < timesKept {
		rt.times = append(rt.times, took)
		return
	}
	rt.times[rt.next] = took
	rt.next = (rt.next + 1) % timesKept
}

// longest returns the time that almost no request exceeds; zero if there were too few.
func (rt *recentTimes) longest() time.Duration {
	if rt == nil || len(rt.times) < minTimes {
		return 0
	}
	sorted := slices.Sorted(slices.Values(rt.times))
	return sorted[int(longestShare*float64(len(sorted)-1))]
}
