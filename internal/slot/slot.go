// Package slot allocates the slots of an endpoint across all entry hosts. A slot admits one run.
//
// Each endpoint is owned by one of the hosts, determined by rendezvous hashing. A host requests a
// slot from the owner before each dispatch. The response also carries the load of the endpoint, so
// that the load is never older than the dispatch. For an endpoint in cold start the owner's
// decision is binding and the owner needs a lease; for any other endpoint it is advisory.
package slot

import "time"

type (
	// AcquireRequest requests a slot on an endpoint.
	AcquireRequest struct {
		Endpoint string `json:"e"`
		Host     string `json:"h"`
		// Root is the shortened root name of the history, see ShortRoot.
		Root string `json:"r"`
		// Tokens is the length of the prompt, in tokens.
		Tokens int `json:"t"`
		// IsSuspect marks a request that was running when an endpoint crashed. It is never
		// granted a slot next to another suspect.
		IsSuspect bool `json:"s,omitempty"`
	}

	// Reason tells why a slot was refused. The zero value means that it was granted.
	Reason int

	// AcquireResponse is the owner's response to a slot request.
	AcquireResponse struct {
		// GrantID identifies the granted slot; it is empty if the slot was refused.
		GrantID string `json:"g,omitempty"`
		Reason  Reason `json:"n,omitempty"`
		// Running is how many slots were in use before this one.
		Running int `json:"r,omitempty"`
		// Backlog is how many tokens are waiting for prefill.
		Backlog float64 `json:"b,omitempty"`
		// Resident is how many tokens of the history are likely in the endpoint's KV cache.
		Resident int    `json:"m,omitempty"`
		StartID  string `json:"i,omitempty"`
		Version  string `json:"v,omitempty"`
		// IsCold reports whether the endpoint is in cold start.
		IsCold bool `json:"c,omitempty"`
	}

	// ReleaseRequest returns a slot to the owner.
	ReleaseRequest struct {
		Endpoint string `json:"e"`
		GrantID  string `json:"g"`
		// Root is the shortened root name of the history, and Resident how many of its tokens are
		// in the endpoint's KV cache after the run.
		Root     string `json:"r,omitempty"`
		Resident int    `json:"m,omitempty"`
		StartID  string `json:"i,omitempty"`
	}

	// Limits holds the limits of an endpoint.
	Limits struct {
		// ColdLimit is the maximum number of slots during a cold start.
		ColdLimit int
		// ColdTime is the duration of a cold start.
		ColdTime time.Duration
		// PrefillRate is the prefill throughput, in tokens/s.
		PrefillRate float64
		// CacheTokens is the capacity of the endpoint's prefix cache, in tokens; zero means 400000.
		CacheTokens int
	}
)

const (
	// Granted means that the slot was granted.
	Granted Reason = iota
	// ColdFull means that an endpoint in cold start, or in the ramp after it, has no free slot.
	ColdFull
	// NoLease means that the endpoint is in cold start and its owner holds no lease for it.
	NoLease
	// Down means that the endpoint does not respond.
	Down
	// Leaving means that the endpoint accepts no new work.
	Leaving
	// SuspectRunning means that another suspect is running on the endpoint.
	SuspectRunning
	// NotOwner means that the host that received the request does not own the endpoint.
	NotOwner
	// Unconfirmed means that the owner needs a new load report of the endpoint first.
	Unconfirmed
)

// shortRootDigits is the length of a shortened root name. The owner uses it only to estimate what
// is cached, so that a collision does no harm.
const shortRootDigits = 12

// ShortRoot returns the prefix of a history's root name that is sent to the owner.
func ShortRoot(root string) string { return root[:min(shortRootDigits, len(root))] }

// UseTimeout is how long after the request a slot on an endpoint in cold start may be used to start
// a run.
const UseTimeout = 500 * time.Millisecond

// String returns the name of the reason in kebab case.
func (rs Reason) String() string {
	names := [...]string{"granted", "cold-full", "no-authority", "down", "leaving", "suspect-running", "not-owner", "unconfirmed"}
	if rs < 0 || int(rs) >= len(names) {
		return "unknown"
	}
	return names[rs]
}
