package stage

import "github.com/bergamotway/bergamotway/internal/standin/site"

// Route is a route of a desired state. Its path prefix is /Name/.
type Route struct {
	Name, Kind, Service string
	TimeoutMs, TargetMs int
	MaxAttempts         int
	Resumable           bool
}

// Team is a team of a desired state.
type Team struct {
	Name, Key string
	Exclusive bool
}

// Configure writes a desired state with the services "desk" and "engines" and one team, in the figures of a small deployment.
func Configure(st *site.Store, version int, routes ...Route) error {
	return ConfigureTeams(st, version, []Team{{Name: "team", Key: Key}}, routes...)
}

// ConfigureTeams is Configure with other teams.
func ConfigureTeams(st *site.Store, version int, teams []Team, routes ...Route) error {
	tenants := make([]any, 0, len(teams))
	for _, te := range teams {
		tenants = append(tenants, map[string]any{"name": te.Name, "apiKeys": []string{te.Key}, "priority": 1, "exclusive": te.Exclusive})
	}
	list := make([]any, 0, len(routes))
	for _, ro := range routes {
		list = append(list, map[string]any{
			"name": ro.Name, "hostname": ClientHost, "pathPrefix": "/" + ro.Name + "/", "kind": ro.Kind, "service": ro.Service, "timeoutMs": ro.TimeoutMs,
			"targetLatencyMs": ro.TargetMs, "gapAimMs": 400, "maxAttempts": ro.MaxAttempts, "priority": 1, "resumable": ro.Resumable,
			"sticky": ro.Service == "engines",
		})
	}
	_, err := st.Put("op/config", map[string]any{
		"version": version, "routes": list,
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 96, "coldStartS": 0, "coldPerS": 0},
			map[string]any{
				"name": "engines", "healthPath": "/healthz", "maxConnections": 610, "coldStartS": 3, "coldPerS": 17,
				"engine": map[string]any{
					"slots": 128, "kvCapacityTokens": 65752, "kvTokenBytes": 18432, "linkMbps": 180000, "models": []any{map[string]any{"name": Model, "version": 1}},
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	return err
}
