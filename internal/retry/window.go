package retry

import (
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// windowMargin keeps the sum over all hosts below the bound although their windows differ.
	windowMargin = 0.8
	// slices divide a window; requests leave it a slice at a time.
	slicesOfWindow = 20
)

type (
	// Bound limits the repeats that all hosts together send to a service within a window.
	Bound struct {
		// Ratio is how many repeats each request allows.
		Ratio float64
		// Slack is how many repeats are allowed besides, over all hosts.
		Slack float64
		// Window is the length of the window.
		Window time.Duration
	}

	// Windows counts requests and repeats by service over a sliding window. Each host takes its own
	// share of the bound, so that no host needs to ask another. It is safe for concurrent use.
	Windows struct {
		ck    clock.Clock
		bound Bound

		mu       sync.Mutex
		hosts    int
		services map[string]*counts
	}

	counts struct {
		requests [slicesOfWindow]int
		repeats  [slicesOfWindow]int
		newest   int64
	}
)

// NewWindows returns counters without requests, for one host.
func NewWindows(ck clock.Clock, bound Bound) *Windows {
	return &Windows{ck: ck, bound: bound, hosts: 1, services: make(map[string]*counts)}
}

// SetHosts sets over how many hosts the slack is shared.
func (wi *Windows) SetHosts(n int) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.hosts = max(1, n)
}

// SetBound changes the bound. What was counted is kept if the window stays as long.
func (wi *Windows) SetBound(bound Bound) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if bound.Window != wi.bound.Window {
		clear(wi.services)
	}
	wi.bound = bound
}

// Request counts the first attempt of a request.
func (wi *Windows) Request(service string) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.counts(service)
	co.requests[co.newest%slicesOfWindow]++
}

// Take reports whether a request may be sent to one more endpoint of a service, and counts the
// repeat if so.
func (wi *Windows) Take(service string) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.counts(service)
	requests, repeats := 0, 0
	for i := range slicesOfWindow {
		requests += co.requests[i]
		repeats += co.repeats[i]
	}
	allowed := windowMargin * (wi.bound.Ratio*float64(requests) + wi.bound.Slack/float64(wi.hosts))
	if float64(repeats+1) > allowed {
		return false
	}
	co.repeats[co.newest%slicesOfWindow]++
	return true
}

func (wi *Windows) counts(service string) *counts {
	co := wi.services[service]
	now := wi.ck.Now().UnixNano() / max(1, int64(wi.bound.Window)/slicesOfWindow)
	if co == nil {
		co = &counts{newest: now}
		wi.services[service] = co
	}
	// Time that jumps back leaves the counts as they are.
	for step := 0; co.newest < now && step < slicesOfWindow; step++ {
		co.newest++
		co.requests[co.newest%slicesOfWindow] = 0
		co.repeats[co.newest%slicesOfWindow] = 0
	}
	co.newest = max(co.newest, now)
	return co
}
