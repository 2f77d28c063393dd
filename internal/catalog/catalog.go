// Package catalog holds the operators' configuration of request handling: routes, services, cache
// stores, teams and limits. A Catalog is immutable.
package catalog

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// Kind tells whether a request of a route may run more than once, and whether its response is a stream.
	Kind int

	// WeightedService is one of the services among which a route splits its requests, with its weight.
	WeightedService struct {
		// Service is the name of the service.
		Service string
		// Weight is its share of the route's requests, relative to the weights of the other services.
		Weight int
	}

	// Route sends the requests of a host name and path prefix to services.
	Route struct {
		// Name identifies the route.
		Name string
		// Host is the host name that requests must have, in lower case.
		Host string
		// Prefix is the prefix that request paths must have. It begins and ends with a slash.
		Prefix string
		// Kind is the kind of the route's requests.
		Kind Kind
		// Timeout bounds the time that a request may wait for its response; zero means no limit.
		Timeout time.Duration
		// TargetLatency is the latency objective: a response within this time is on time.
		TargetLatency time.Duration
		// MaxEventGap is the longest gap between two events of a stream that is on time.
		MaxEventGap time.Duration
		// Priority is the priority of the route; 0 is the highest.
		Priority int
		// Services are the services that the route splits its requests among, at least one.
		Services []WeightedService
		// MaxAttempts bounds the number of endpoints to which a request may be sent, at least 1.
		MaxAttempts int
		// Public routes need no API key.
		Public bool
		// Resumable streams may continue on another endpoint after the last event that was forwarded.
		Resumable bool
	}

	// Engine describes the engines of a service.
	Engine struct {
		// Slots is the largest number of requests that an engine runs in one batch.
		Slots int
		// CapacityTokens is the size of an engine's KV cache, in tokens.
		CapacityTokens int
		// TokenBytes is the size of the KV cache of one token, in bytes.
		TokenBytes int
		// LinkMbps is the bandwidth of an engine's link for KV cache transfers, in Mbit/s.
		LinkMbps float64
		// Models are the names of the models served.
		Models []string
	}

	// CacheStore is a store that keeps KV cache.
	CacheStore struct {
		// Name identifies the store.
		Name string
		// Address is the IP address and port of the store.
		Address string
		// Zone is the availability zone of the store.
		Zone string
		// CapacityTokens is the capacity of the store, in tokens.
		CapacityTokens int
		// LinkMbps is the bandwidth of its link, in Mbit/s.
		LinkMbps float64
		// SetupLatency is the latency before each transfer starts.
		SetupLatency time.Duration
		// Managed stores never evict a part by themselves; hosts free their parts.
		Managed bool
	}

	// Service is a group of interchangeable endpoints.
	Service struct {
		// Name identifies the service.
		Name string
		// MaxConnections bounds the connections of all hosts to one endpoint; zero means no bound.
		MaxConnections int
		// ColdRateLimit bounds the requests per second to a cold endpoint; zero means no bound.
		ColdRateLimit float64
		// ColdDuration is how long an endpoint is cold after its start.
		ColdDuration time.Duration
		// Engine describes the engines; it is nil for services that run no model.
		Engine *Engine
	}

	// Team is a group of clients with its own API keys.
	Team struct {
		// Name identifies the team.
		Name string
		// Keys are its API keys.
		Keys []string
		// Priority overrides the priority of the route if HasPriority is set.
		Priority    int
		HasPriority bool
		// Exclusive teams share no KV cache with other teams.
		Exclusive bool
	}

	// Limits bound the requests of clients. Zero means no bound.
	Limits struct {
		// HeaderBytes bounds the size of a request's header.
		HeaderBytes int
		// BodyBytes bounds the size of a request's body.
		BodyBytes int64
		// HeaderTimeout bounds the time to read a header.
		HeaderTimeout time.Duration
		// KeepAliveTimeout bounds the time between the requests of a connection.
		KeepAliveTimeout time.Duration
	}

	// Spec is the configuration from which New builds a catalog.
	Spec struct {
		Version     uint64
		Routes      []Route
		Services    []Service
		CacheStores []CacheStore
		// Teams own the API keys; nil means that no request needs one. An empty list lets nobody in but on public routes.
		Teams  []Team
		Limits Limits
	}

	// Catalog is one version of the configuration, indexed for lookups. It is immutable and safe for
	// concurrent use.
	Catalog struct {
		spec         Spec
		routesByHost map[string][]*Route
		services     map[string]*Service
		teamsByKey   map[string]*Team
		teamsByName  map[string]*Team
		// sharedOwner is the owner of the KV cache that teams share.
		sharedOwner string
	}
)

const (
	// NonIdempotent requests run at most once. It is the zero value because it is the safe default.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They run at most once unless the route is
	// resumable.
	Streaming
)

const (
	// sharedOwnerMark begins the owner of a KV cache that teams share while others are exclusive.
	sharedOwnerMark = "."
	// teamlessOwner is the separate owner for requests without a team. No team and no set of exclusive teams has it.
	teamlessOwner = sharedOwnerMark + "-"
)

// New returns the catalog of a configuration. The caller must not change spec afterwards.
func New(spec Spec) *Catalog {
	ct := &Catalog{
		spec:         spec,
		routesByHost: make(map[string][]*Route),
		services:     make(map[string]*Service),
		teamsByKey:   make(map[string]*Team),
		teamsByName:  make(map[string]*Team),
	}
	for i := range spec.Routes {
		ro := &spec.Routes[i]
		ct.routesByHost[ro.Host] = append(ct.routesByHost[ro.Host], ro)
	}
	for _, ros := range ct.routesByHost {
		slices.SortFunc(ros, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range spec.Services {
		ct.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Teams {
		te := &spec.Teams[i]
		if known := ct.teamsByName[te.Name]; known == nil || te.Exclusive {
			ct.teamsByName[te.Name] = te
		}
		for _, key := range spec.Teams[i].Keys {
			ct.teamsByKey[key] = te
		}
	}
	ct.sharedOwner = ct.shareOwner(nil)
	return ct
}

// Separating returns the configuration with a shared KV cache that holds nothing of the given teams, which were exclusive once, either,
// unless the configuration names them. A team that it does not name any more cannot have agreed to share what it made.
func (ct *Catalog) Separating(former []string) *Catalog {
	out := *ct
	out.sharedOwner = ct.shareOwner(former)
	return &out
}

// ExclusiveTeams returns the names of the exclusive teams, sorted.
func (ct *Catalog) ExclusiveTeams() []string {
	var out []string
	for _, te := range ct.spec.Teams {
		if te.Exclusive {
			out = append(out, te.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// shareOwner returns the owner of the KV cache that teams share. It differs for each set of exclusive and former teams: what such a
// team has put into the KV cache while it shared must not serve the others.
func (ct *Catalog) shareOwner(former []string) string {
	apart := ct.ExclusiveTeams()
	for _, name := range former {
		if ct.teamsByName[name] == nil {
			apart = append(apart, name)
		}
	}
	if len(apart) == 0 {
		return ""
	}
	slices.Sort(apart)
	return fmt.Sprintf("%s%016x", sharedOwnerMark, rendezvous.Hash(strings.Join(slices.Compact(apart), "\x00")))
}

// CacheOwner returns the owner of the KV cache that requests of a team use, empty if all teams share one; nil stands for requests
// without a team. Whether the team is exclusive is decided by this configuration, te may be of an earlier one. A team that this
// configuration does not name shares with no other.
func (ct *Catalog) CacheOwner(te *Team) string {
	if te == nil {
		return ct.sharedOwner
	}
	if known := ct.teamsByName[te.Name]; known != nil && !known.Exclusive {
		return ct.sharedOwner
	}
	return SeparateOwner(te)
}

// SeparateOwner returns the owner of the KV cache that only requests of a team use, whichever configuration is in force; nil stands
// for requests without a team. It is the team's own cache for as long as the team is exclusive.
func SeparateOwner(te *Team) string {
	if te == nil {
		return teamlessOwner
	}
	if te.Name == "" || strings.HasPrefix(te.Name, sharedOwnerMark) {
		// Neither empty nor the owner of a shared cache, which has one mark.
		return sharedOwnerMark + te.Name
	}
	return te.Name
}

// Version returns the version of the configuration.
func (ct *Catalog) Version() uint64 { return ct.spec.Version }

// Limits returns the limits for requests of clients.
func (ct *Catalog) Limits() Limits { return ct.spec.Limits }

// CacheStores returns the cache stores. The caller must not change them.
func (ct *Catalog) CacheStores() []CacheStore { return ct.spec.CacheStores }

// Services returns the services. The caller must not change them.
func (ct *Catalog) Services() []Service { return ct.spec.Services }

// Service returns the service with the given name; ok is false if there is none.
func (ct *Catalog) Service(name string) (sv *Service, ok bool) {
	sv, ok = ct.services[name]
	return sv, ok
}

// LongestTimeout returns the longest timeout of the routes of a service.
func (ct *Catalog) LongestTimeout(service string) time.Duration {
	var out time.Duration
	for _, ro := range ct.spec.Routes {
		if slices.ContainsFunc(ro.Services, func(ws WeightedService) bool { return ws.Service == service }) {
			out = max(out, ro.Timeout)
		}
	}
	return out
}

// MatchRoute returns the route of a request by its host, with or without a port, and its path. Among the
// routes of the host whose prefix matches, the longest prefix wins. ok is false if none matches.
func (ct *Catalog) MatchRoute(host, path string) (ro *Route, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, ro := range ct.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro, true
		}
	}
	return nil, false
}

// NeedsKeys reports whether requests need an API key, unless their route is public.
func (ct *Catalog) NeedsKeys() bool { return ct.spec.Teams != nil }

// Team returns the team that owns an API key; ok is false if none does.
func (ct *Catalog) Team(key string) (te *Team, ok bool) {
	te, ok = ct.teamsByKey[key]
	return te, ok
}

// PickService returns the service for the request with the given identifier. Each service gets requests in
// proportion to its weight, and all hosts pick the same service for the same identifier.
func (ro *Route) PickService(id string) string {
	total := 0
	for _, ws := range ro.Services {
		total += max(ws.Weight, 0)
	}
	if total == 0 {
		return ro.Services[0].Service
	}
	point := int(rendezvous.Hash(id) % uint64(total))
	for _, ws := range ro.Services {
		point -= max(ws.Weight, 0)
		if point < 0 {
			return ws.Service
		}
	}
	return ro.Services[0].Service
}

// IsStream reports whether responses are streams of events.
func (ro *Route) IsStream() bool { return ro.Kind == Streaming }

// IsRepeatable reports whether a request of the route may run more than once.
func (ro *Route) IsRepeatable() bool {
	return ro.Kind == Idempotent || (ro.Kind == Streaming && ro.Resumable)
}
