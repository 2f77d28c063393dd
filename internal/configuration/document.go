// Package configuration holds the operators' configuration: its documents, its immutable
// snapshots, and the keeper that brings the newest revision to a host.
package configuration

import "github.com/bergamotway/bergamotway/internal/settings"

type (
	// Document is the whole configuration as operators write it.
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

	// Fleet bounds what the whole fleet does at a time.
	Fleet struct {
		// LoadLimit is the most endpoints that load weights at a time; zero means 2.
		LoadLimit int `json:"load-limit,omitempty" min:"0" max:"1000"`
	}

	// Class is a class of work with its targets.
	Class struct {
		Name string `json:"name" check:"required name"`
		// Model is the name of the model that serves the class.
		Model string `json:"model" check:"required name"`
		// FirstToken is the target for the time to first token.
		FirstToken settings.Duration `json:"first-token" check:"required" min:"10ms" max:"10m"`
		// CostTarget is the most that a request should cost, in accelerator seconds; zero is no target.
		CostTarget float64 `json:"cost-target,omitempty" min:"0" max:"1000"`
		// Priority orders classes; a lower number goes first.
		Priority int `json:"priority,omitempty" min:"0" max:"100"`
		// QueueLimit is the most requests that wait on one host; zero means 64.
		QueueLimit int `json:"queue-limit,omitempty" min:"0" max:"100000"`
		// RetryShare is the share of the class's requests that may be retried; zero means 0.1.
		RetryShare float64 `json:"retry-share,omitempty" min:"0" max:"1"`
	}

	// Model is a set of weights in service.
	Model struct {
		Name string `json:"name" check:"required name"`
		// Version is the weight version that new requests use.
		Version string `json:"version" check:"required"`
		// NextVersion, if not empty, is being rolled out: endpoints load it one after another.
		NextVersion string `json:"next-version,omitempty"`
		// Window is the longest history, in tokens; zero means 131072.
		Window int `json:"window,omitempty" min:"0" max:"10000000"`
		// ColdLimit is the most requests on an endpoint in cold start; zero means 2.
		ColdLimit int `json:"cold-limit,omitempty" min:"0" max:"1000"`
		// ColdTime is the length of a cold start; zero means 30 s.
		ColdTime settings.Duration `json:"cold-time,omitempty" min:"0s" max:"1h"`
		// PrefillRate is the speed of reading a history, in tokens/s; zero means 8000.
		PrefillRate float64 `json:"prefill-rate,omitempty" min:"0" max:"1000000000"`
		// CanSplit says that its engines read the head of a history while its tail is imported.
		CanSplit bool `json:"can-split,omitempty"`
		// Shares moves the model between providers; empty means all providers alike.
		Shares []Share `json:"shares,omitempty"`
		// EarlierShares are the shares before the last shift, for the way back.
		EarlierShares []Share `json:"earlier-shares,omitempty"`
	}

	// Share is a provider's share of a model's new work.
	Share struct {
		Provider string  `json:"provider" check:"required name"`
		Share    float64 `json:"share" min:"0" max:"1"`
	}

	// Zone is an availability zone.
	Zone struct {
		Name string `json:"name" check:"required name"`
		// Out means that the zone receives no new work.
		Out bool `json:"out,omitempty"`
		// InSince is the time at which the zone came back, in Unix milliseconds; its share of new
		// work grows from there.
		InSince int64 `json:"in-since-ms,omitempty"`
	}

	// Endpoint is a model engine.
	Endpoint struct {
		Name     string `json:"name" check:"required name"`
		Address  string `json:"address" check:"required ip-port"`
		Zone     string `json:"availability-zone" check:"required name"`
		Model    string `json:"model" check:"required name"`
		Provider string `json:"provider,omitempty"`
		// ChecksFencing says that the endpoint refuses orders with an old fencing number.
		ChecksFencing bool `json:"checks-fencing,omitempty"`
		// Leaving means that the endpoint receives no new work.
		Leaving bool `json:"leaving,omitempty"`
	}

	// StoreHost keeps pieces of KV cache.
	StoreHost struct {
		Name    string `json:"name" check:"required name"`
		Address string `json:"address" check:"required ip-port"`
		Zone    string `json:"availability-zone" check:"required name"`
		// LinkRate is the budget of the link, in bytes/s; zero means 1e9.
		LinkRate float64 `json:"link-rate,omitempty" min:"0" max:"1000000000000"`
		// Leaving means that the store host receives no new pieces.
		Leaving bool `json:"leaving,omitempty"`
	}

	// Service is a plain service beside the model engines.
	Service struct {
		Name      string   `json:"name" check:"required name"`
		Addresses []string `json:"addresses" check:"required ip-port"`
		// Repeatable lists the path prefixes whose calls may be repeated.
		Repeatable []string `json:"repeatable,omitempty"`
	}

	// Team is a customer of the firm that runs the system.
	Team struct {
		Name string `json:"name" check:"required name"`
		// TokenHashes are the SHA-256 sums of its bearer tokens, in hexadecimal digits.
		TokenHashes []string `json:"token-hashes,omitempty"`
		// Weight is its fair share relative to other teams; zero means 1.
		Weight float64 `json:"weight,omitempty" min:"0" max:"1000"`
	}

	// Host is an operator's word about an entry host.
	Host struct {
		Name    string `json:"name" check:"required name"`
		Leaving bool   `json:"leaving,omitempty"`
	}
)

const (
	defaultQueueLimit  = 64
	defaultRetryShare  = 0.1
	defaultWindow      = 131072
	defaultColdLimit   = 2
	defaultPrefillRate = 8000
	defaultLinkRate    = 1e9
	defaultLoadLimit   = 2
)
