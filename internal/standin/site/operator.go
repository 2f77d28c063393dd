package site

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// HostName is the hostname of all routes that Configure writes.
	HostName = "shop.example"
	// APIKey is the API key of Team.
	APIKey = "key-of-team"
	// Team is the only configured team, unless SetTeams names others.
	Team = "team"
	// Model is the name of the model that the service "engines" serves.
	Model = "crew"
)

type (
	// Route is a route of the operator's configuration. Its path prefix is /Name/.
	Route struct {
		Name string
		// Kind is the platform's name for the retry class: idempotent, non_idempotent or streaming.
		Kind string
		// Service is "desk" or "engines".
		Service     string
		MaxAttempts int
		Resumable   bool
		Timeout     time.Duration
	}

	// TeamSetting is a team of the operator's configuration.
	TeamSetting struct {
		Name, Key string
		Exclusive bool
	}

	// Request is a client's request.
	Request struct {
		ID     string
		Method string
		// URI is a path with an optional query.
		URI  string
		Body []byte
		// Model makes it a request to an engine; empty means a plain service.
		Model string
		// Timeout is the timeout sent in X-Deadline-Ms; zero sends none.
		Timeout time.Duration
		// Header adds header fields, and replaces those that Send sets.
		Header map[string]string
	}

	// Reply is the response that a client received.
	Reply struct {
		Status int
		Header http.Header
		Body   string
		// Complete reports that the body was read to its end without an error.
		Complete bool
		// Err is the reason for a missing or incomplete response.
		Err error
	}
)

// Sealed reports whether the response has the X-Response-Seal header, by which an endpoint confirms it.
func (re Reply) Sealed() bool { return re.Header.Get("X-Response-Seal") != "" }

// TeamAndKey returns the team and the API key in the header that the endpoint received.
func (rr RecordedRequest) TeamAndKey() (team, apiKey string) {
	return rr.Header.Get("X-Tenant"), rr.Header.Get("X-Api-Key")
}

// Configure writes the operator's configuration: the services "desk" and "engines", and a managed
// cache store if cacheStoreAddress is not empty.
func (st *Store) Configure(version int, cacheStoreAddress string, routes ...Route) error {
	list := make([]map[string]any, 0, len(routes))
	for _, ro := range routes {
		list = append(list, map[string]any{
			"name": ro.Name, "hostname": HostName, "pathPrefix": "/" + ro.Name + "/", "kind": ro.Kind, "service": ro.Service,
			"timeoutMs": max(ro.Timeout, time.Second).Milliseconds(), "targetLatencyMs": 1000, "maxAttempts": max(1, ro.MaxAttempts),
			"resumable": ro.Resumable, "gapAimMs": 400,
		})
	}
	services := []map[string]any{
		{"name": "desk", "healthPath": "/healthz", "maxConnections": 200, "coldStartS": 0.0, "coldPerS": 0.0},
		{
			"name": "engines", "healthPath": "/healthz", "maxConnections": 200, "coldStartS": 3.0, "coldPerS": 0.0,
			"engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 600000, "kvTokenBytes": 18432, "linkMbps": 180000.0,
				"models": []map[string]any{{"name": Model}},
			},
		},
	}
	if cacheStoreAddress != "" {
		services = append(services, map[string]any{
			"name": "kept", "kvStoreAddr": cacheStoreAddress, "zone": "here", "kvCapacityTokens": 1000, "linkMbps": 58000.0,
			"managed": true, "first_ms": 6.0,
		})
	}
	_, err := st.Put("op/config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": st.encodeTeams(),
	})
	return err
}

// SetTeams sets the teams of the configurations that Configure writes from now on.
func (st *Store) SetTeams(teams ...TeamSetting) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.teams = teams
}

func (st *Store) encodeTeams() []map[string]any {
	st.mu.Lock()
	teams := st.teams
	st.mu.Unlock()
	if teams == nil {
		teams = []TeamSetting{{Name: Team, Key: APIKey}}
	}
	out := make([]map[string]any, 0, len(teams))
	for _, ts := range teams {
		out = append(out, map[string]any{"name": ts.Name, "apiKeys": []string{ts.Key}, "priority": 1, "exclusive": ts.Exclusive})
	}
	return out
}

// SetWeightVersion sets the weight version that the model's engines are to load.
func (st *Store) SetWeightVersion(version int) error {
	_, err := st.Put("op/version/"+Model, map[string]any{"model": Model, "version": version})
	return err
}

// Send sends a request to the host at address and reads the response to its end.
func Send(ctx context.Context, rt http.RoundTripper, address string, rq Request) Reply {
	hr, err := http.NewRequestWithContext(ctx, rq.Method, "http://"+address+rq.URI, bytes.NewReader(rq.Body))
	if err != nil {
		return Reply{Err: errors.Wrap(err, "site: request")}
	}
	// With GetBody set, the transport could retry the request by itself.
	hr.GetBody = nil
	hr.Host = HostName
	hr.Header.Set("X-Request-Id", rq.ID)
	hr.Header.Set("X-Api-Key", APIKey)
	if rq.Timeout > 0 {
		hr.Header.Set("X-Deadline-Ms", strconv.FormatInt(rq.Timeout.Milliseconds(), 10))
	}
	if rq.Model != "" {
		hr.Header.Set("X-Model", rq.Model)
		hr.Header.Set("X-Token-Usage", "900,20")
		hr.Header.Set("X-Prompt-Prefix", "aa01:300,bb02:400,cc03:200")
	}
	for name, value := range rq.Header {
		hr.Header.Set(name, value)
	}
	rsp, err := rt.RoundTrip(hr)
	if err != nil {
		return Reply{Err: errors.Wrap(err, "site: send")}
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	return Reply{Status: rsp.StatusCode, Header: rsp.Header, Body: string(data), Complete: err == nil, Err: err}
}
