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
	// initialSlackShare is the share of the slack that a host may use when it has just started, so that a restart
	// of all hosts within a window does not double the slack.
	initialSlackShare = 0.5
	// spareShare is the share of the bound that extra attempts may use up, so that retries of failed requests keep the rest.
	spareShare = 0.5
	// slicesPerWindow is the number of slices of a window; counts expire one slice at a time.
	slicesPerWindow = 20
)

type (
	// Limits limits the retries that all hosts together send to a service within a window.
	Limits struct {
		// Ratio is the number of retries allowed per request.
		Ratio float64
		// Slack is the number of retries allowed on top, summed over all hosts.
		Slack float64
		// Window is the length of the window.
		Window time.Duration
	}

	// WindowBudget counts requests and retries by service over a sliding window. Each host enforces its own
	// share of the limits, so that hosts need not coordinate. It is safe for concurrent use.
	//
	// A budget does not know the retries that its host sent before a restart, so its share of the slack grows over
	// the first window.
	WindowBudget struct {
		ck        clock.Clock
		limits    Limits
		createdAt time.Time

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

// NewWindowBudget returns empty counters for a site with one host.
func NewWindowBudget(ck clock.Clock, limits Limits) *WindowBudget {
	return &WindowBudget{ck: ck, limits: limits, createdAt: ck.Now(), hostCount: 1, services: make(map[string]*windowCounts)}
}

// SetHostCount sets the number of hosts that share the slack.
func (wb *WindowBudget) SetHostCount(n int) {
	wb.mu.Lock()
	defer wb.mu.Unlock()
	wb.hostCount = max(1, n)
}

// SetLimits changes the limits. It keeps the counts unless the length of the window changes.
func (wb *WindowBudget) SetLimits(limits Limits) {
	wb.mu.Lock()
	defer wb.mu.Unlock()
	if limits.Window != wb.limits.Window {
		clear(wb.services)
	}
	wb.limits = limits
}

// RecordRequest counts the first attempt of a request.
func (wb *WindowBudget) RecordRequest(service string) {
	wb.mu.Lock()
	defer wb.mu.Unlock()
	co := wb.currentCounts(service)
	co.requests[co.newestSlice%slicesPerWindow]++
}

// TryRetry reports whether a request may be retried at another endpoint of a service, and counts the retry
// if so.
func (wb *WindowBudget) TryRetry(service string) bool { return wb.try(service, 1) }

// TrySpare is TryRetry for an attempt of a request that has not failed. It succeeds only while half of the bound is left for
// retries.
func (wb *WindowBudget) TrySpare(service string) bool { return wb.try(service, spareShare) }

// try counts a retry if the retries stay within a share of the bound.
func (wb *WindowBudget) try(service string, share float64) bool {
	wb.mu.Lock()
	defer wb.mu.Unlock()
	co := wb.currentCounts(service)
	requests, retries := 0, 0
	for i := range slicesPerWindow {
		requests += co.requests[i]
		retries += co.retries[i]
	}
	slack := wb.limits.Slack / float64(wb.hostCount)
	if age := wb.ck.Now().Sub(wb.createdAt); age < wb.limits.Window {
		slack *= initialSlackShare + (1-initialSlackShare)*float64(age)/float64(wb.limits.Window)
	}
	allowed := share * windowSkewMargin * (wb.limits.Ratio*float64(requests) + slack)
	if float64(retries+1) > allowed {
		return false
	}
	co.retries[co.newestSlice%slicesPerWindow]++
	return true
}

// currentCounts returns the counts of a service after dropping the slices that left the window.
func (wb *WindowBudget) currentCounts(service string) *windowCounts {
	co := wb.services[service]
	currentSlice := int64(wb.ck.Now().Sub(wb.createdAt)) / max(1, int64(wb.limits.Window)/slicesPerWindow)
	if co == nil {
		co = &windowCounts{newestSlice: currentSlice}
		wb.services[service] = co
	}
	for step := 0; co.newestSlice < currentSlice && step < slicesPerWindow; step++ {
		co.newestSlice++
		co.requests[co.newestSlice%slicesPerWindow] = 0
		co.retries[co.newestSlice%slicesPerWindow] = 0
	}
	co.newestSlice = max(co.newestSlice, currentSlice)
	return co
}
