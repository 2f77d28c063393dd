// Package placement chooses the endpoint for one request. It is plain code: it looks at copies of
// what the host knows and has no clock, network or state of its own.
package placement

import (
	"time"

	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond, as the sheets of the
	// engines in use say.
	readRate = 112.0
	// stepBase and stepEach are the time of one step of a batch and what each request adds, in
	// milliseconds, from the same sheets.
	stepBase = 3.4
	stepEach = 0.1
	// crossZone is what a request pays for an endpoint in another zone: the round trip of about
	// 2 ms, and the bytes, in milliseconds.
	crossZone = 6.0
	// oldWeights is what an endpoint with older weights costs; such answers lose a fifth of their
	// worth, as much as being late by some hundred milliseconds.
	oldWeights = 400.0
	// failing is what an endpoint costs that fails every request, in milliseconds.
	failing = 1500.0
	// overflow is how long a request waits for an engine's memory when as much as the whole memory
	// is asked for beyond what is there, in milliseconds.
	overflow = 2500.0
	// plainWork is about how long a request without a model takes, in milliseconds.
	plainWork = 40.0
	// spread separates equal candidates, in milliseconds, by a hash that differs for each request.
	spread = 2.0
)

type (
	// Job is what a decision needs to know of a request.
	Job struct {
		// ID spreads equal candidates.
		ID string
		// Zone is the availability zone of the host.
		Zone string
		// Tokens is the memory that the request takes; zero for services without a model.
		Tokens int
		// Tried lists endpoints that are not to be chosen again.
		Tried []string
		// Model and Version name the weights wanted; zero means that any version will do.
		Model   string
		Version uint64
		// Only restricts the choice to Version, for streams that go on.
		Only bool
	}

	// Candidate is an endpoint with what the request would cost there.
	Candidate struct {
		fleet.View
		// Capacity is the memory of the engine in tokens.
		Capacity int
		// Read is how many tokens of the prompt it would have to read.
		Read int
		// Fetch is how long it would take to fetch the other tokens.
		Fetch time.Duration
		// Expired engines have weights that may not be used any more.
		Expired bool
	}

	// Choice is the outcome of a decision.
	Choice struct {
		// Index is that of the candidate.
		Index int
		// Estimate is the expected time to the first token.
		Estimate time.Duration
	}
)

// Choose returns the candidate with the lowest expected cost; ok is false if none may be chosen.
// Endpoints that failed a moment ago or take new weights are chosen only when nothing else is left.
func Choose(job Job, cands []Candidate) (ch Choice, ok bool) {
	best := 0.0
	rank := 0
	seed := rendezvous.Hash(job.ID)
	for i := range cands {
		ca := &cands[i]
		if ca.Expired || contains(job.Tried, ca.ID) {
			continue
		}
		version, serves := ca.Version(job.Model)
		if job.Model != "" && (!serves || (job.Only && version != job.Version)) {
			continue
		}
		cost, wait := job.cost(ca, version)
		cost += spread * float64(rendezvous.Score(seed, rendezvous.Hash(ca.ID))>>40) / (1 << 24)
		r := 0
		if ca.Loading {
			r = 2
		} else if ca.Avoid {
			r = 1
		}
		if !ok || r < rank || (r == rank && cost < best) {
			best, rank, ok = cost, r, true
			ch = Choice{Index: i, Estimate: time.Duration(wait * float64(time.Millisecond))}
		}
	}
	return ch, ok
}

// cost returns what a candidate costs and the part of it that the client waits, in milliseconds.
func (job Job) cost(ca *Candidate, version uint64) (cost, wait float64) {
	load := ca.Sum()
	if job.Model == "" {
		slots := float64(max(1, ca.Slots))
		wait = plainWork * float64(load.Requests) / slots
	} else {
		step := stepBase + stepEach*float64(load.Requests)
		wait = step + float64(load.Unread+ca.Read)/readRate + float64(ca.Fetch)/float64(time.Millisecond)
		if over := load.Tokens + job.Tokens - ca.Capacity*9/10; ca.Capacity > 0 && over > 0 {
			wait += overflow * float64(over) / float64(ca.Capacity)
		}
		// A busier batch makes each token slower for all requests in it.
		cost += 4 * step
		if version < job.Version {
			cost += oldWeights
		}
	}
	cost += wait + failing*ca.Failures
	if ca.Zone != job.Zone {
		cost += crossZone
	}
	return cost, wait
}

func contains(list []string, text string) bool {
	for _, entry := range list {
		if entry == text {
			return true
		}
	}
	return false
}
