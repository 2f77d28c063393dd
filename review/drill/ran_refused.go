package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runRanRefused lets an endpoint fail part of its bookings after it has run them, with a status that clients take as a promise.
// The answer lacks X-Not-Executed. No request that has run may be answered with such a status.
func runRanRefused(ctx context.Context, bed *testbed, trouble bool) ([]string, error) {
	if err := bed.configure(1, sharingTenants()); err != nil {
		return nil, err
	}
	for i, status := range []int{http.StatusServiceUnavailable, 0, 0} {
		opts := endpointOptions{ID: fmt.Sprint("i-desk-", i), Service: "roundbook", Software: "v1", PieceMs: 20}
		if trouble {
			opts.FailAfterRun = status
		}
		ep, err := bed.startEndpoint(opts)
		if err != nil {
			return nil, err
		}
		if err := bed.register(ep); err != nil {
			return nil, err
		}
	}
	if err := bed.startHosts(ctx, hostCount); err != nil {
		return nil, err
	}
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		replies []reply
		served  int
		// again holds, by the identifier of a refused booking, that of the attempt by which the client sends it once more.
		again = make(map[string]string)
	)
	for i := range 6 {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			for range 30 {
				ca := call{method: http.MethodPost, path: bookingPath + "2f", key: firstKey, timeout: 3 * time.Second}
				re := bed.send(ctx, tr, bed.hosts[i%len(bed.hosts)], ca)
				attempts := []reply{re}
				if isPromise(re.status) {
					attempts = append(attempts, bed.send(ctx, tr, bed.hosts[(i+1)%len(bed.hosts)], ca))
				}
				mu.Lock()
				replies = append(replies, attempts...)
				if re.status == http.StatusOK {
					served++
				}
				if len(attempts) > 1 {
					again[re.id] = attempts[1].id
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	ranAt := make(map[string]string)
	for _, er := range bed.allRuns() {
		ranAt[er.ID] = er.Endpoint
	}
	var violations []string
	twice := 0
	for _, re := range replies {
		if endpoint, ok := ranAt[re.id]; ok && isPromise(re.status) {
			violations = append(violations, fmt.Sprintf("%s: answered %d, and has run at %s", re.id, re.status, endpoint))
			if _, ok := ranAt[again[re.id]]; ok {
				twice++
			}
		}
	}
	bed.record.printf("bookings that ran twice, as their clients sent them again after a promise: %d", twice)
	return violations, nil
}

// isPromise reports whether a status tells a client that its request has not run and never will.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout ||
		status == http.StatusMisdirectedRequest
}
