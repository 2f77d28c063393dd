// Package placement chooses the endpoint for one request. It is plain code: it looks at copies of
// what the host knows and has no clock, network or state of its own.
package placement

import (
	"math"
	"slices"
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
	// stepRead is the time of a step in which a piece of 4,096 prompt tokens is read as well.
	stepRead = 36.0
	// unreadBusy is from how many unread tokens on an engine is taken to read all the time.
	unreadBusy = 12000.0
	// firstToken is what the first token takes on an idle engine, in milliseconds.
	firstToken = 45.0
	// crossZone is what a request pays for an endpoint in another zone: the round trip of about
	// 2 ms, and the bytes, in milliseconds.
	crossZone = 6.0
	// oldWeights is what an engine with older weights costs. It is less than reading a long prompt
	// again, so that conversations stay where their KV cache is while engines change weights.
	oldWeights = 40.0
	// failing is what an endpoint costs that fails every request, in milliseconds.
	failing = 1500.0
	// overflow is how long a request waits for an engine's memory when as much as the whole memory
	// is asked for beyond what is there, in milliseconds.
	overflow = 1200.0
	// slotWait is how long a request waits at an engine of which the last slot is taken, in
	// milliseconds; slotPower and slotExcess say how that falls below and grows beyond. Requests stay
	// for some 600 ms, so that one of 12 slots is free again after 50.
	slotWait   = 40.0
	slotPower  = 6
	slotExcess = 15
	// memoryPrice weighs the time for which a request takes memory from others, at a full engine.
	memoryPrice = 2.0
	// memoryFull is the share of an engine's memory from which requests wait.
	memoryFull = 0.9
	// plainWork is about how long a request without a model takes, in milliseconds.
	plainWork = 40.0
	// overdueShare is the share of the target from which an expected wait is too long. Waits are
	// underestimated about as often as overestimated.
	overdueShare = 1.0
	// returnLeast is the least time after which a refused client may come back, and returnShare the
	// largest share of the time that it has left.
	returnLeast = 300 * time.Millisecond
	returnShare = 0.3
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
		// Output is how many tokens the request generates.
		Output int
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
		if !job.allows(ca) {
			continue
		}
		version, _ := ca.Version(job.Model)
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

// allows reports whether a candidate may run the request at all.
func (job Job) allows(ca *Candidate) bool {
	if ca.Expired || slices.Contains(job.Tried, ca.ID) {
		return false
	}
	version, serves := ca.Version(job.Model)
	return job.Model == "" || (serves && (!job.Only || version == job.Version))
}

// Overdue reports whether a request that is expected to wait for its first token is refused rather
// than sent: it would be late, and would make others late that can still be on time. Target is when
// an answer is on time, left how long the client waits at all; zero targets bind nothing.
func Overdue(wait, target, left time.Duration) bool {
	return wait >= left || (target > 0 && wait > time.Duration(float64(target)*overdueShare))
}

// Return returns after which time a refused client should come back: when the excess has been
// worked off, spread by the request's identifier so that clients do not return at once, and early
// enough for the answer to be of use.
func Return(id string, wait, target, left time.Duration) time.Duration {
	unit := float64(rendezvous.Hash(id)>>11) / (1 << 53)
	late := time.Duration(float64(left) * returnShare)
	after := time.Duration(float64(max(late/2, wait-target)) * (0.6 + 0.8*unit))
	return min(max(after, returnLeast), late)
}

// queued returns the part of a slot's time that a request waits at an engine whose slots are taken to
// a share. Loads are known late, so that an engine that is nearly full may be full already.
func queued(share float64) float64 {
	return math.Pow(min(share, 1), slotPower) + slotExcess*max(0, share-1)
}

// cost returns what a candidate costs and the part of it that the client waits, in milliseconds.
func (job Job) cost(ca *Candidate, version uint64) (cost, wait float64) {
	load := ca.Sum()
	if job.Model == "" {
		slots := float64(max(1, ca.Slots))
		wait = plainWork * float64(load.Requests) / slots
		cost = wait
	} else {
		capacity := float64(max(1, ca.Capacity))
		unread := float64(load.Unread + ca.Read)
		wait = firstToken + unread/readRate + float64(ca.Fetch)/float64(time.Millisecond)
		used := float64(load.Tokens+job.Tokens) / capacity
		wait += overflow * max(0, used-memoryFull)
		if ca.Slots > 0 {
			wait += slotWait * queued(float64(load.Requests+1)/float64(ca.Slots))
		}
		// While prompts are read, each token of the others takes a whole piece of reading.
		step := stepBase + stepEach*float64(load.Requests) + stepRead*min(1, unread/unreadBusy)
		stay := wait + float64(job.Output)*step
		cost = wait + memoryPrice*used*stay*float64(job.Tokens)/capacity
		if version < job.Version {
			cost += oldWeights
		}
	}
	cost += failing * ca.Failures
	if ca.Zone != job.Zone {
		cost += crossZone
	}
	return cost, wait
}
