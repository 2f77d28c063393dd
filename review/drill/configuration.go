package main

import (
	"cmp"
	"time"
)

// defaultStreamTimeout is the timeout of the route with streams.
const defaultStreamTimeout = 4 * time.Second

// tenant is a tenant of the desired state.
type tenant struct {
	Name      string   `json:"name"`
	APIKeys   []string `json:"apiKeys"`
	Exclusive bool     `json:"exclusive"`
}

const (
	firstKey  = "nu6wsjnbanfqasnmgkcu"
	secondKey = "ka2rtpwq8mzv0xhdlye3"
)

// sharingTenants are two tenants that share the KV cache.
func sharingTenants() []tenant {
	return []tenant{{Name: "jeye930", APIKeys: []string{firstKey}}, {Name: "woro114", APIKeys: []string{secondKey}}}
}

// configure writes the desired state as the operator does: a route with streams that may be resumed, one whose requests run at
// most once, and one whose requests may be repeated.
func (bed *testbed) configure(version int, tenants []tenant) error {
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMs,
			"targetLatencyMs": targetMs, "maxAttempts": attempts, "resumable": kind == "streaming", "gapAimMs": 400, "priority": 1,
		}
	}
	_, err := bed.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("edge-query", visitPath, "streaming", "whetstone", int(cmp.Or(bed.streamTimeout, defaultStreamTimeout).Milliseconds()), 500, 2),
			route("book-pay", bookingPath, "non_idempotent", "roundbook", 3000, 300, 1),
			route("round-lookup", lookupPath, "idempotent", "roundbook", 3000, 300, 2),
		},
		"services": []map[string]any{
			{"name": "roundbook", "healthPath": "/healthz", "maxConnections": 96, "coldStartS": 0.0, "coldPerS": 0.0},
			{
				"name": "whetstone", "healthPath": "/healthz", "maxConnections": 610, "coldStartS": 0.0, "coldPerS": 0.0,
				"engine": map[string]any{
					"slots": engineSlots, "kvCapacityTokens": 65752, "kvTokenBytes": 18432, "linkMbps": 180000.0,
					"models": []map[string]any{{"name": modelName, "version": 1}},
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	if err == nil {
		bed.record.printf("operator writes desired state %d: tenants %+v", version, tenants)
	}
	return err
}
