package placement

import "github.com/bergamotway/bergamotway/internal/rendezvous"

// Policy is how endpoints are chosen. The zero value is by estimate; the others are baselines.
type Policy int

const (
	// Estimate chooses the lowest expected cost; see Choose.
	Estimate Policy = iota
	// LeastOutstanding chooses the endpoint with the fewest requests.
	LeastOutstanding
	// Affinity keeps a conversation on its endpoint while that has less than a quarter more requests
	// than the mean.
	Affinity
)

// affinityLoad bounds the load of an endpoint that keeps its conversations, relative to the mean.
const affinityLoad = 1.25

// ParsePolicy returns the policy with a name; an empty or unknown name means Estimate.
func ParsePolicy(name string) Policy {
	switch name {
	case "least-outstanding":
		return LeastOutstanding
	case "affinity":
		return Affinity
	default:
		return Estimate
	}
}

// Choose returns the policy's candidate; ok is false if none may be chosen. Session names the
// conversation, and may be empty.
func (po Policy) Choose(job Job, session string, cands []Candidate) (ch Choice, ok bool) {
	if po == Estimate {
		return Choose(job, cands)
	}
	total, count := 0, 0
	for i := range cands {
		total += cands[i].Sum().Requests
		count++
	}
	bound := affinityLoad*float64(total+1)/float64(max(1, count)) + 1
	key := rendezvous.Hash(session)
	best := 0.0
	for i := range cands {
		ca := &cands[i]
		if !job.allows(ca) {
			continue
		}
		load := float64(ca.Sum().Requests)
		score := load
		if po == Affinity && job.Model != "" {
			score = -float64(rendezvous.Score(key, rendezvous.Hash(ca.ID)) >> 11)
			if load > bound {
				score = load
			}
		}
		if !ok || score < best {
			best, ok = score, true
			ch = Choice{Index: i}
		}
	}
	return ch, ok
}
