// Package configuration defines the operators' configuration: its document format, its immutable
// snapshots, and the replication of the newest revision to each host.
package configuration

import "github.com/bergamotway/bergamotway/internal/settings"

type (
	// Document is the complete configuration as operators write it.
	Document struct {
		Classes    []Class     `json:"classes,omitempty"`
		Models     []Model     `json:"models,omitempty"`
		Zones      []Zone      `json:"availability-zones,omitempty"`
		Endpoints  []Endpoint  `json:"endpoints,omitempty"`
		StoreHosts []StoreHost `json:"store-hosts,omitempty"`
		Services   []Service   `json:"services,omitempty"`
		Teams      []Team      `json:"teams,omitempty"`
		Hosts      []Host      `json:"hosts,omitempty"`
		Fleet      Fleet       `json:"fleet,omitzero"`
	}

	// Fleet holds limits that apply to the fleet as a whole.
	Fleet struct {
		// LoadLimit is the maximum number of endpoints that load weights concurrently; zero means 2.
		LoadLimit int `json:"load-limit,omitempty" min:"0" max:"1000"`
	}

	// Class is a request class with its latency and cost targets.
	Class struct {
		Name string `json:"name" check:"required name"`
		// Model is the name of the model that serves requests of the class.
		Model string `json:"model" check:"required name"`
		// FirstTokenTarget is the target time to first token (TTFT).
		FirstTokenTarget settings.Duration `json:"first-token" check:"required" min:"10ms" max:"10m"`
		// CostTarget is the intended maximum cost of a request, in accelerator seconds; zero means no
		// target.
		CostTarget float64 `json:"cost-target,omitempty" min:"0" max:"1000"`
		// Priority orders the classes; classes with a lower number are served first.
		Priority int `json:"priority,omitempty" min:"0" max:"100"`
		// QueueLimit is the maximum number of queued requests per host; zero means 64.
		QueueLimit int `json:"queue-limit,omitempty" min:"0" max:"100000"`
		// RetryShare is the fraction of the class's requests that may be retried; zero means 0.1.
		RetryShare float64 `json:"retry-share,omitempty" min:"0" max:"1"`
	}

	// Model is a served model and the versions of its weights.
	Model struct {
		Name string `json:"name" check:"required name"`
		// Version is the weight version that serves new requests.
		Version string `json:"version" check:"required"`
		// NextVersion is the weight version that is being rolled out, endpoint by endpoint; empty
		// means that no rollout is in progress.
		NextVersion string `json:"next-version,omitempty"`
		// ContextWindow is the context window, in tokens; zero means 131072.
		ContextWindow int `json:"window,omitempty" min:"0" max:"10000000"`
		// ColdRequestLimit is the maximum number of requests on an endpoint during its cold start; zero
		// means 2.
		ColdRequestLimit int `json:"cold-limit,omitempty" min:"0" max:"1000"`
		// ColdStartTime is the duration of a cold start; zero means 30 s.
		ColdStartTime settings.Duration `json:"cold-time,omitempty" min:"0s" max:"1h"`
		// PrefillRate is the prefill throughput of an endpoint, in tokens/s; zero means 8000.
		PrefillRate float64 `json:"prefill-rate,omitempty" min:"0" max:"1000000000"`
		// CanSplitPrefill reports whether the model's engines can prefill the head of a history while they
		// import the KV cache of its tail.
		CanSplitPrefill bool `json:"can-split,omitempty"`
		// Shares splits the model's new work between providers; empty means that all providers are
		// treated alike.
		Shares []Share `json:"shares,omitempty"`
		// PreviousShares holds the shares before the last change, so that it can be rolled back.
		PreviousShares []Share `json:"earlier-shares,omitempty"`
	}

	// Share is the fraction of a model's new work that one provider receives.
	Share struct {
		Provider string  `json:"provider" check:"required name"`
		Share    float64 `json:"share" min:"0" max:"1"`
	}

	// Zone is an availability zone.
	Zone struct {
		Name string `json:"name" check:"required name"`
		// OutOfService marks a zone that receives no new work.
		OutOfService bool `json:"out,omitempty"`
		// InServiceSinceMs is the time at which the zone was put back into service, in Unix milliseconds; its
		// share of new work ramps up from then on.
		InServiceSinceMs int64 `json:"in-since-ms,omitempty"`
	}

	// Endpoint is a model engine that serves one model.
	Endpoint struct {
		Name     string `json:"name" check:"required name"`
		Address  string `json:"address" check:"required ip-port"`
		Zone     string `json:"availability-zone" check:"required name"`
		Model    string `json:"model" check:"required name"`
		Provider string `json:"provider,omitempty"`
		// ChecksFencing reports whether the endpoint rejects orders with a stale fencing token.
		ChecksFencing bool `json:"checks-fencing,omitempty"`
		// Leaving marks an endpoint that receives no new work.
		Leaving bool `json:"leaving,omitempty"`
	}

	// StoreHost is a host of the cache store, which stores pieces of KV cache.
	StoreHost struct {
		Name    string `json:"name" check:"required name"`
		Address string `json:"address" check:"required ip-port"`
		Zone    string `json:"availability-zone" check:"required name"`
		// LinkRate is the bandwidth budget of the link to the store host, in bytes/s; zero means 1e9.
		LinkRate float64 `json:"link-rate,omitempty" min:"0" max:"1000000000000"`
		// Leaving marks a store host that receives no new pieces.
		Leaving bool `json:"leaving,omitempty"`
	}

	// Service is a plain HTTP service that the gateway serves in addition to the model engines.
	Service struct {
		Name      string   `json:"name" check:"required name"`
		Addresses []string `json:"addresses" check:"required ip-port"`
		// IdempotentPrefixes lists the path prefixes whose calls are idempotent and may be retried.
		IdempotentPrefixes []string `json:"repeatable,omitempty"`
	}

	// Team is a tenant of the system.
	Team struct {
		Name string `json:"name" check:"required name"`
		// TokenHashes holds the SHA-256 hashes of the team's bearer tokens, in hexadecimal digits.
		TokenHashes []string `json:"token-hashes,omitempty"`
		// Weight is the team's weight in fair queuing, relative to other teams; zero means 1.
		Weight float64 `json:"weight,omitempty" min:"0" max:"1000"`
	}

	// Host holds an operator's instructions for an entry host.
	Host struct {
		Name string `json:"name" check:"required name"`
		// Leaving orders the host to drain.
		Leaving bool `json:"leaving,omitempty"`
	}
)

const (
	defaultQueueLimit       = 64
	defaultRetryShare       = 0.1
	defaultContextWindow    = 131072
	defaultColdRequestLimit = 2
	defaultPrefillRate      = 8000
	defaultLinkRate         = 1e9
	defaultLoadLimit        = 2
)
