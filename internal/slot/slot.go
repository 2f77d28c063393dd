// Package slot gives out the places of an endpoint over all entry hosts together.
//
// Each endpoint has one owner among the hosts, computed by rendezvous hashing. A host asks the
// owner before each dispatch; the answer also carries the load, so that it is never older than
// the dispatch. For an endpoint in cold start the owner's word is binding and needs a lease; for
// any other it is advice.
package slot

import "time"

type (
	// Ask asks for a place on an endpoint.
	Ask struct {
		Endpoint string `json:"e"`
		Host     string `json:"h"`
		// Root names the history.
		Root string `json:"r"`
		// Tokens is how many tokens the endpoint would have to read.
		Tokens int `json:"t"`
		// IsSuspect asks for a place apart from other suspects.
		IsSuspect bool `json:"s,omitempty"`
	}

	// Reason says why no place was given. The zero value is a place that was given.
	Reason int

	// Answer is the owner's answer.
	Answer struct {
		// Grant names the place; empty if none was given.
		Grant  string `json:"g,omitempty"`
		Reason Reason `json:"n,omitempty"`
		// Running is how many places are taken.
		Running int `json:"r,omitempty"`
		// Backlog is how many tokens wait to be read.
		Backlog float64 `json:"b,omitempty"`
		// Resident is how many tokens of the history the endpoint has likely in memory.
		Resident int    `json:"m,omitempty"`
		StartID  string `json:"i,omitempty"`
		Version  string `json:"v,omitempty"`
		// IsCold reports whether the endpoint is in cold start.
		IsCold bool `json:"c,omitempty"`
	}

	// Release gives a place back.
	Release struct {
		Endpoint string `json:"e"`
		Grant    string `json:"g"`
		// Root and Resident say what the endpoint has in memory after the run.
		Root     string `json:"r,omitempty"`
		Resident int    `json:"m,omitempty"`
		StartID  string `json:"i,omitempty"`
	}

	// Limits are the bounds of an endpoint.
	Limits struct {
		// ColdLimit is the most places during a cold start.
		ColdLimit int
		// ColdTime is the length of a cold start.
		ColdTime time.Duration
		// PrefillRate is the speed of reading, in tokens/s.
		PrefillRate float64
		// MemoryTokens is how many tokens of histories the endpoint keeps; zero means 400000.
		MemoryTokens int
	}
)

const (
	// Granted means that a place was given.
	Granted Reason = iota
	// ColdFull means that an endpoint in cold start has no place left.
	ColdFull
	// NoAuthority means that the owner holds no lease for an endpoint in cold start.
	NoAuthority
	// Down means that the endpoint does not answer.
	Down
	// Leaving means that the endpoint takes no new work.
	Leaving
	// SuspectRunning means that another suspect runs there.
	SuspectRunning
	// NotOwner means that the asked host does not own the endpoint.
	NotOwner
	// Unconfirmed means that the owner has to see the endpoint again first.
	Unconfirmed
)

// rootDigits is how much of a history's name goes to the owner: it only guesses with it.
const rootDigits = 12

// ShortRoot returns the part of a history's name that goes to the owner.
func ShortRoot(root string) string { return root[:min(rootDigits, len(root))] }

// UseBy is how long after asking a place may be used.
const UseBy = 500 * time.Millisecond

// String returns the name of the reason, in kebab case.
func (rs Reason) String() string {
	names := [...]string{"granted", "cold-full", "no-authority", "down", "leaving", "suspect-running", "not-owner", "unconfirmed"}
	if rs < 0 || int(rs) >= len(names) {
		return "unknown"
	}
	return names[rs]
}
