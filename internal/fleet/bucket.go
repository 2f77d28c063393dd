package fleet

import (
	"math"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// coldOver and coldSlack follow the platform's bound on cold endpoints: rate x 1.5 + 5 in a
	// second, summed over all hosts.
	coldOver  = 1.5
	coldSlack = 5
	// coldMargin keeps the sum below the bound when hosts disagree on how many they are.
	coldMargin = 0.8
	// coldLeast is the smallest useful share of a host, in requests a second.
	coldLeast = 2
)

// bucket lets a share of a rate through: one request at once, and the rest over the second.
type bucket struct {
	level float64
	at    time.Time
}

// take reports whether one more request fits into share requests a second, and counts it if so.
func (bu *bucket) take(now time.Time, share float64) bool {
	if bu.at.IsZero() {
		bu.level = 1
	}
	bu.level = math.Min(1, bu.level+now.Sub(bu.at).Seconds()*(share-1))
	bu.at = now
	if bu.level < 1 {
		return false
	}
	bu.level--
	return true
}

// coldShare returns how many requests a host may send in a second to a cold endpoint so that all
// hosts together stay within its bound. With many hosts, only some may send to each endpoint.
func coldShare(rate float64, endpoint, host string, hosts []string) float64 {
	bound := (rate*coldOver + coldSlack) * coldMargin
	count := len(hosts)
	senders := max(1, min(count, int(bound/coldLeast)))
	if senders == count {
		return bound / float64(max(1, count))
	}
	key := rendezvous.Hash(endpoint)
	own := rendezvous.Score(key, rendezvous.Hash(host))
	above := 0
	for _, other := range hosts {
		if other != host && rendezvous.Score(key, rendezvous.Hash(other)) > own {
			above++
		}
	}
	if above >= senders {
		return 0
	}
	return bound / float64(senders)
}
