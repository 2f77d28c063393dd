package placement

import "github.com/bergamotway/bergamotway/internal/rendezvous"

// Policy selects how endpoints are chosen. The zero value chooses by expected cost; the others are
// baselines for comparison.
type Policy int

const (
	// LowestCost chooses the lowest expected cost; see Choose.
	LowestCost Policy = iota
	// LeastOutstanding chooses the endpoint with the fewest outstanding requests.
	LeastOutstanding
	// Affinity keeps a conversation on the same endpoint as long as the endpoint has at most about a
	// quarter more requests than the mean.
	Affinity
)

// maxAffinityLoadRatio is the load, relative to the mean, above which an endpoint loses its conversations.
const maxAffinityLoadRatio = 1.25

// ParsePolicy returns the policy of the given name; an empty or unknown name means LowestCost.
func ParsePolicy(name string) Policy {
	switch name {
	case "least-outstanding":
		return LeastOutstanding
	case "affinity":
		return Affinity
	default:
		return LowestCost
	}
}

// Choose returns the candidate that the policy selects; ok is false if no candidate is allowed. An empty
// conversationID means that the request belongs to no conversation.
func (po Policy) Choose(job Job, conversationID string, cands []Candidate) (ch Choice, ok bool) {
	if po == LowestCost {
		return Choose(job, cands)
	}
	total, count := 0, 0
	for i := range cands {
		total += cands[i].TotalLoad().Requests
		count++
	}
	loadLimit := maxAffinityLoadRatio*float64(total+1)/float64(max(1, count)) + 1
	conversationHash := rendezvous.Hash(conversationID)
	bestScore := 0.0
	for i := range cands {
		ca := &cands[i]
		if !job.allows(ca) {
			continue
		}
		load := float64(ca.TotalLoad().Requests)
		score := load
		if po == Affinity && job.Model != "" {
			score = -float64(rendezvous.Score(conversationHash, rendezvous.Hash(ca.ID)) >> 11)
			if load > loadLimit {
				score = load
			}
		}
		if !ok || score < bestScore {
			bestScore, ok = score, true
			ch = Choice{Index: i}
		}
	}
	return ch, ok
}
