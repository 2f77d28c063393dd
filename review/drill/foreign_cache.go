package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// runForeignCache makes a tenant exclusive by a new desired state, after its requests have made KV cache. Once the desired state
// must be in force, no request of another tenant may use that cache.
func runForeignCache(ctx context.Context, bed *testbed, trouble bool) ([]string, error) {
	tenants := sharingTenants()
	if err := bed.configure(1, tenants); err != nil {
		return nil, err
	}
	ep, err := bed.startEndpoint(endpointOptions{ID: "i-7f3a91c2", Service: "whetstone", Software: "v1", Model: true, Events: 3, EventMs: 10})
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
	ask := func(key string, own int) reply {
		re := bed.send(ctx, tr, bed.hosts[own%len(bed.hosts)], call{
			method: http.MethodPost, path: visitPath + "2f", key: key, timeout: 4 * time.Second,
			prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", own),
		})
		time.Sleep(50 * time.Millisecond)
		return re
	}
	for i := range 6 {
		ask(firstKey, i)
	}
	exclusive := slices.Clone(tenants)
	if trouble {
		exclusive[0].Exclusive = true
	}
	if err := bed.configure(5, exclusive); err != nil {
		return nil, err
	}
	// The bound configApplyMs is 2 s.
	time.Sleep(4 * time.Second)
	appliedAt := time.Now().UnixMilli()
	for i := range 6 {
		ask(secondKey, 100+i)
	}
	time.Sleep(300 * time.Millisecond)
	return foreignUses(bed.allRuns(), exclusive, appliedAt)
}

// foreignUses returns the runs from appliedAt on that use a part in the memory of the engine which a request of another tenant
// made, where one of the two is exclusive. An engine finds a part under the salt with which it was made, if all parts before it
// are there as well.
func foreignUses(runs []endpointRun, tenants []tenant, appliedAt int64) ([]string, error) {
	isExclusive := make(map[string]bool)
	for _, te := range tenants {
		isExclusive[te.Name] = te.Exclusive
	}
	maker := make(map[string]string)
	var violations []string
	later := 0
	for _, er := range runs {
		if er.What != "runs" {
			continue
		}
		isLater := er.AtMs >= appliedAt
		if isLater {
			later++
		}
		isPresent := true
		parts := strings.Split(er.Parts, ",")
		for _, part := range parts[:len(parts)-1] {
			key := er.Salt + " " + part
			made, ok := maker[key]
			if !ok {
				maker[key] = er.Tenant
			}
			isPresent = isPresent && ok
			if isPresent && isLater && made != er.Tenant && (isExclusive[made] || isExclusive[er.Tenant]) {
				violations = append(violations, fmt.Sprintf("%s of tenant %s uses part %s under salt %q, which a request of the exclusive tenant %s made",
					er.ID, er.Tenant, part, er.Salt, made))
			}
		}
	}
	if later == 0 {
		return nil, fmt.Errorf("no request was served after the change")
	}
	return violations, nil
}
