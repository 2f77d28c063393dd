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
	)
	for i := range 6 {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			for range 30 {
				re := bed.send(ctx, tr, bed.hosts[i%len(bed.hosts)], call{
					method: http.MethodPost, path: bookingPath + "2f", key: firstKey, timeout: 3 * time.Second,
				})
				mu.Lock()
				replies = append(replies, re)
				if re.status == http.StatusOK {
					served++
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
	for _, re := range replies {
		switch re.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if endpoint, ok := ranAt[re.id]; ok {
				violations = append(violations, fmt.Sprintf("%s: answered %d, and has run at %s", re.id, re.status, endpoint))
			}
		}
	}
	return violations, nil
}
