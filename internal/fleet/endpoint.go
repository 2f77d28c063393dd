// Package fleet holds what a host knows of the endpoints: their own entries in the metadata store,
// how they answered, and the load on them from this host and its peers.
package fleet

import (
	"slices"
	"time"
)

type (
	// Entry is what an endpoint says of itself.
	Entry struct {
		// ID identifies the endpoint; a new start mostly brings a new one.
		ID string
		// Service is the name of its service.
		Service string
		// Address is an IP number and a port.
		Address string
		// Zone is its availability zone.
		Zone string
		// Slots is how many requests it runs at a time.
		Slots int
		// Draining endpoints want no new requests.
		Draining bool
		// ColdFor is how much longer it stays cold, from the moment at which the entry was written.
		ColdFor time.Duration
		// Born is the start of the endpoint, in Unix milliseconds; zero if it does not say.
		Born int64
		// Models are the versions of its weights by the name of the model.
		Models map[string]uint64
	}

	// Load is what one host has under way at an endpoint.
	Load struct {
		// Requests is the number of requests.
		Requests int
		// Tokens is the memory that they take.
		Tokens int
		// Unread is how many prompt tokens are still to be read.
		Unread int
	}

	// View is a copy of what the host knows of one endpoint, for a decision.
	View struct {
		Entry
		// Own and Peers are the load from this host and from the others.
		Own, Peers Load
		// Avoid reports an endpoint that failed a moment ago.
		Avoid bool
		// Failures is the weighted share of failures among its last answers, 0 to 1.
		Failures float64
		// Cold reports an endpoint that started a moment ago.
		Cold bool
		// Loading reports an endpoint that is taking new weights, or is about to.
		Loading bool
		// Held reports an entry that vanished while the store was in trouble.
		Held bool
	}

	endpoint struct {
		hash      uint64
		entry     Entry
		taught    time.Time
		own       Load
		peers     map[string]peerLoad
		avoid     time.Time
		shunned   time.Time
		backoff   time.Duration
		failures  float64
		coldUntil time.Time
		loading   time.Time
		heldUntil time.Time
		leftAt    time.Time
		cold      bucket
		resident  residency
	}

	peerLoad struct {
		load Load
		at   time.Time
	}
)

// Sum returns the load from all hosts.
func (vw View) Sum() Load {
	return Load{
		Requests: vw.Own.Requests + vw.Peers.Requests,
		Tokens:   vw.Own.Tokens + vw.Peers.Tokens,
		Unread:   vw.Own.Unread + vw.Peers.Unread,
	}
}

func (ep *endpoint) view(now time.Time) View {
	vw := View{
		Entry:    ep.entry,
		Own:      ep.own,
		Avoid:    now.Before(ep.avoid),
		Failures: ep.failures,
		Cold:     now.Before(ep.coldUntil),
		Loading:  now.Before(ep.loading),
		Held:     !ep.heldUntil.IsZero(),
	}
	for _, pl := range ep.peers {
		if now.Sub(pl.at) > peerLoadAge {
			continue
		}
		vw.Peers.Requests += pl.load.Requests
		vw.Peers.Tokens += pl.load.Tokens
		vw.Peers.Unread += pl.load.Unread
	}
	return vw
}

// Version returns the version of a model's weights; ok is false if the endpoint does not serve it.
func (en Entry) Version(model string) (version uint64, ok bool) {
	version, ok = en.Models[model]
	return version, ok
}

// sameStart reports whether two entries are of the same start of an endpoint.
func (en Entry) sameStart(other Entry) bool {
	return en.Address == other.Address && en.Born == other.Born
}

// residency is which prompt parts an endpoint has read lately, the oldest first.
type residency struct {
	parts  []residentPart
	tokens int
}

type residentPart struct {
	key    string
	tokens int
}

func (re *residency) use(key string, tokens, capacity int) {
	if i := slices.IndexFunc(re.parts, func(rp residentPart) bool { return rp.key == key }); i >= 0 {
		re.tokens -= re.parts[i].tokens
		re.parts = slices.Delete(re.parts, i, i+1)
	}
	re.parts = append(re.parts, residentPart{key: key, tokens: tokens})
	re.tokens += tokens
	for re.tokens > capacity && len(re.parts) > 0 {
		re.tokens -= re.parts[0].tokens
		re.parts = re.parts[1:]
	}
}

func (re *residency) has(key string) bool {
	return slices.ContainsFunc(re.parts, func(rp residentPart) bool { return rp.key == key })
}
