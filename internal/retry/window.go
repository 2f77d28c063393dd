package retry

import (
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// windowSkewMargin scales the bound of each host, so that the sum over all hosts stays below the bound
	// although their windows are not aligned.
	windowSkewMargin = 0.8
	// slicesPerWindow is the number of slices of a window; counts expire one slice at a time.
	slicesPerWindow = 20
)

type (
	// Bound limits the retries that all hosts together send to a service within a window.
	Bound struct {
		// Ratio is the number of retries allowed per request.
		Ratio float64
		// Slack is the number of retries allowed on top, summed over all hosts.
		Slack float64
		// Window is the length of the window.
		Window time.Duration
	}

	// Windows counts requests and retries by service over a sliding window. Each host enforces its own
	// share of the bound, so that hosts need not coordinate. It is safe for concurrent use.
	Windows struct {
		ck    clock.Clock
		bound Bound

		mu        sync.Mutex
		hostCount int
		services  map[string]*windowCounts
	}

	// windowCounts holds ring buffers of counts by slice; newestSlice is the number of the current slice.
	windowCounts struct {
		requests    [slicesPerWindow]int
		retries     [slicesPerWindow]int
		newestSlice int64
	}
)

// NewWindows returns empty counters for a site with one host.
func NewWindows(ck clock.Clock, bound Bound) *Windows {
	return &Windows{ck: ck, bound: bound, hostCount: 1, services: make(map[string]*windowCounts)}
}

// SetHosts sets the number of hosts that share the slack.
func (wi *Windows) SetHosts(n int) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.hostCount = max(1, n)
}

// SetBound changes the bound. It keeps the counts unless the length of the window changes.
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
	co := wi.currentCounts(service)
	co.requests[co.newestSlice%slicesPerWindow]++
}

// Take reports whether a request may be retried at another endpoint of a service, and counts the retry
// if so.
func (wi *Windows) Take(service string) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.currentCounts(service)
	requests, retries := 0, 0
	for i := range slicesPerWindow {
		requests += co.requests[i]
		retries += co.retries[i]
	}
	allowed := windowSkewMargin * (wi.bound.Ratio*float64(requests) + wi.bound.Slack/float64(wi.hostCount))
	if float64(retries+1) > allowed {
		return false
	}
	co.retries[co.newestSlice%slicesPerWindow]++
	return true
}

// currentCounts returns the counts of a service after dropping the slices that left the window.
func (wi *Windows) currentCounts(service string) *windowCounts {
	co := wi.services[service]
	now := wi.ck.Now().UnixNano() / max(1, int64(wi.bound.Window)/slicesPerWindow)
	if co == nil {
		co = &windowCounts{newestSlice: now}
		wi.services[service] = co
	}
	// A clock that jumps back leaves the counts unchanged.
	for step := 0; co.newestSlice < now && step < slicesPerWindow; step++ {
		co.newestSlice++
		co.requests[co.newestSlice%slicesPerWindow] = 0
		co.retries[co.newestSlice%slicesPerWindow] = 0
	}
	co.newestSlice = max(co.newestSlice, now)
	return co
}
