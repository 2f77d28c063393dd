// Package catalog holds the operators' configuration of the path from clients to endpoints: routes,
// services, teams and limits. A Catalog does not change after New.
package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// Kind says what may be repeated of a request.
	Kind int

	// Share is a service with its weight in a route.
	Share struct {
		// Service is the name of the service.
		Service string
		// Weight is its part of the route's requests, relative to the other shares.
		Weight int
	}

	// Route sends the requests of a host name and path prefix to services.
	Route struct {
		// Name identifies the route.
		Name string
		// Host is the host name, in lower case.
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		// Kind says what may be repeated.
		Kind Kind
		// Timeout is the longest time that a request may be kept waiting; zero means no limit.
		Timeout time.Duration
		// Target is the time within which an answer is on time.
		Target time.Duration
		// Pause is the longest pause between events with which a stream is on time.
		Pause time.Duration
		// Priority is the rank of the route; 0 goes first.
		Priority int
		// Shares are the services, at least one.
		Shares []Share
		// Attempts is to how many endpoints a request may be sent, at least 1.
		Attempts int
		// Public routes need no key.
		Public bool
		// Resumable streams may go on at another endpoint after their last event.
		Resumable bool
	}

	// Engine describes the engines of a service.
	Engine struct {
		// Slots is how many requests an engine batches.
		Slots int
		// CapacityTokens is the memory of an engine.
		CapacityTokens int
		// TokenBytes is the size of one token's KV cache.
		TokenBytes int
		// LinkMbps is the bandwidth of an engine's link for KV cache, in Mbit/s.
		LinkMbps float64
		// Models are the names of the models served.
		Models []string
	}

	// CacheStore is a store that keeps KV cache.
	CacheStore struct {
		// Name identifies the store.
		Name string
		// Address is an IP number and a port.
		Address string
		// Zone is the availability zone of the store.
		Zone string
		// CapacityTokens is the room of the store.
		CapacityTokens int
		// LinkMbps is the bandwidth of its link, in Mbit/s.
		LinkMbps float64
		// Setup is the time that each transfer waits before it starts.
		Setup time.Duration
		// Managed stores never drop a part by themselves.
		Managed bool
	}

	// Service is a group of equal endpoints.
	Service struct {
		// Name identifies the service.
		Name string
		// Connections bounds the connections to one endpoint, from all hosts; zero means no bound.
		Connections int
		// ColdRate is how many requests a second a cold endpoint tolerates; zero means no bound.
		ColdRate float64
		// ColdFor is how long an endpoint stays cold after its start.
		ColdFor time.Duration
		// Engine is nil for services that run no model.
		Engine *Engine
	}

	// Team is a group of clients with keys of its own.
	Team struct {
		// Name identifies the team.
		Name string
		// Keys are its API keys.
		Keys []string
		// Priority takes precedence over that of a route if HasPriority is set.
		Priority    int
		HasPriority bool
		// Exclusive teams share no KV cache with other teams.
		Exclusive bool
	}

	// Limits bound what clients may send. Zero means no bound.
	Limits struct {
		// HeaderBytes and BodyBytes bound the size of a request.
		HeaderBytes int
		BodyBytes   int64
		// HeaderTime bounds the time to send a header, IdleTime that between requests.
		HeaderTime time.Duration
		IdleTime   time.Duration
	}

	// Content is what New makes a catalog of.
	Content struct {
		Version uint64
		Routes  []Route
		Svcs    []Service
		Stores  []CacheStore
		Teams   []Team
		Limits  Limits
	}

	// Catalog is one version of the configuration. It is safe for concurrent use.
	Catalog struct {
		content  Content
		routes   map[string][]*Route
		services map[string]*Service
		teams    map[string]*Team
	}
)

const (
	// AtMostOnce requests run at most once. It is the zero value because it is the safe choice.
	AtMostOnce Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered by events, and run at most once unless the route is resumable.
	Stream
)

// New returns the catalog of content, which must not change afterwards.
func New(content Content) *Catalog {
	ct := &Catalog{
		content:  content,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service),
		teams:    make(map[string]*Team),
	}
	for i := range content.Routes {
		ro := &content.Routes[i]
		ct.routes[ro.Host] = append(ct.routes[ro.Host], ro)
	}
	for _, ros := range ct.routes {
		slices.SortFunc(ros, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range content.Svcs {
		ct.services[content.Svcs[i].Name] = &content.Svcs[i]
	}
	for i := range content.Teams {
		for _, key := range content.Teams[i].Keys {
			ct.teams[key] = &content.Teams[i]
		}
	}
	return ct
}

// Version returns the version of the configuration.
func (ct *Catalog) Version() uint64 { return ct.content.Version }

// Limits returns the bounds on what clients may send.
func (ct *Catalog) Limits() Limits { return ct.content.Limits }

// Stores returns the cache stores. The caller must not change them.
func (ct *Catalog) Stores() []CacheStore { return ct.content.Stores }

// Services returns the services. The caller must not change them.
func (ct *Catalog) Services() []Service { return ct.content.Svcs }

// Service returns the service with a name; ok is false if there is none.
func (ct *Catalog) Service(name string) (sv *Service, ok bool) {
	sv, ok = ct.services[name]
	return sv, ok
}

// Match returns the route with the longest prefix of path among those of host, which may have a
// port; ok is false if none matches.
func (ct *Catalog) Match(host, path string) (ro *Route, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, ro := range ct.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro, true
		}
	}
	return nil, false
}

// HasTeams reports whether requests need a key at all.
func (ct *Catalog) HasTeams() bool { return len(ct.content.Teams) > 0 }

// Team returns the team that holds a key; ok is false if none does.
func (ct *Catalog) Team(key string) (te *Team, ok bool) {
	te, ok = ct.teams[key]
	return te, ok
}

// Pick returns the service for the request with an identifier, by the weights of the shares. All
// hosts pick the same service for the same identifier.
func (ro *Route) Pick(id string) string {
	total := 0
	for _, sh := range ro.Shares {
		total += max(sh.Weight, 0)
	}
	if total == 0 {
		return ro.Shares[0].Service
	}
	point := int(rendezvous.Hash(id) % uint64(total))
	for _, sh := range ro.Shares {
		point -= max(sh.Weight, 0)
		if point < 0 {
			return sh.Service
		}
	}
	return ro.Shares[0].Service
}

// Repeats reports whether a request of the route may run more than once.
func (ro *Route) Repeats() bool {
	return ro.Kind == Repeatable || (ro.Kind == Stream && ro.Resumable)
}
