package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const unknownKey = "zz9unknown0never1held2"

// runLastKey takes the last keys away by a new desired state with an empty list of tenants. Requests with a key that no desired
// state ever held may not run, nor, once the desired state must be in force, those with a dropped key.
func runLastKey(ctx context.Context, bed *testbed, trouble bool) ([]string, error) {
	if err := bed.configure(1, sharingTenants()); err != nil {
		return nil, err
	}
	ep, err := bed.startEndpoint(endpointOptions{ID: "i-desk-0", Service: "roundbook", Software: "v1", PieceMs: 10})
	if err != nil {
		return nil, err
	}
	if err := bed.register(ep); err != nil {
		return nil, err
	}
	if err := bed.startHosts(ctx, hostCount); err != nil {
		return nil, err
	}
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	keyOf := make(map[string]string)
	book := func(key string) int {
		status := 0
		for i := range 6 {
			re := bed.send(ctx, tr, bed.hosts[i%len(bed.hosts)], call{method: http.MethodPost, path: bookingPath + "2f", key: key, timeout: 3 * time.Second})
			keyOf[re.id], status = key, re.status
		}
		return status
	}
	if status := book(firstKey); status != http.StatusOK {
		return nil, fmt.Errorf("a booking with a valid key got %d", status)
	}
	if status := book(unknownKey); status != http.StatusUnauthorized {
		return nil, fmt.Errorf("a booking with an unknown key got %d before the change", status)
	}
	left := sharingTenants()[:1]
	if trouble {
		left = []tenant{}
	}
	if err := bed.configure(5, left); err != nil {
		return nil, err
	}
	// The bound configApplyMs is 2 s.
	time.Sleep(4 * time.Second)
	changedAt := time.Now().UnixMilli()
	for _, key := range []string{unknownKey, secondKey} {
		book(key)
	}
	time.Sleep(300 * time.Millisecond)
	var violations []string
	for _, er := range bed.allRuns() {
		switch key := keyOf[er.ID]; {
		case er.What != "runs":
		case key == unknownKey:
			violations = append(violations, fmt.Sprintf("%s ran with a key that no desired state ever held, as tenant %q", er.ID, er.Tenant))
		case key == secondKey && er.AtMs >= changedAt:
			violations = append(violations, fmt.Sprintf("%s ran with a dropped key, as tenant %q", er.ID, er.Tenant))
		}
	}
	return violations, nil
}
