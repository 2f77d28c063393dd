package fleet

import (
	"math"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// coldRateFactor and coldRateSlack follow the platform's bound on the requests to a cold endpoint, summed
	// over all hosts: rate x 1.5 + 5 in a second.
	coldRateFactor = 1.5
	coldRateSlack  = 5
	// coldMarginShare keeps the sum below the bound while hosts disagree on the number of hosts.
	coldMarginShare = 0.8
	// minColdShare is the smallest useful share of a host, in requests per second.
	minColdShare = 2
)

// rateBucket is a token bucket with a burst of one request. It refills at one request per second less than the
// rate, so that no window of a second gets more requests than the rate.
type rateBucket struct {
	level      float64
	refilledAt time.Time
}

// allow reports whether one more request fits into a rate of share requests per second, and counts it if so. A bucket that is
// empty at first allows none at once.
func (bu *rateBucket) allow(now time.Time, share float64, isEmptyAtFirst bool) bool {
	if share <= 0 {
		return false
	}
	if bu.refilledAt.IsZero() {
		bu.level, bu.refilledAt = 1, now
		if isEmptyAtFirst {
			bu.level = 0
		}
	}
	bu.level = math.Max(0, math.Min(1, bu.level+now.Sub(bu.refilledAt).Seconds()*(share-1)))
	bu.refilledAt = now
	if bu.level < 1 {
		return false
	}
	bu.level--
	return true
}

// coldShare returns the number of requests per second that a host may send to a cold endpoint, so that all
// hosts together stay within the bound. With so many hosts that a share would be smaller than minColdShare,
// only some of them may send to the endpoint, and the others get zero. A host that counts on a part of the rate only shares out
// that part.
func coldShare(rate, part float64, endpoint, host string, hosts []string) float64 {
	maxRate := (rate*coldRateFactor + coldRateSlack) * coldMarginShare * part
	hostCount := len(hosts)
	senders := max(1, min(hostCount, int(maxRate/minColdShare)))
	if senders == hostCount {
		return maxRate / float64(max(1, hostCount))
	}
	if !rendezvous.IsAmongFirst(rendezvous.Hash(endpoint), host, hosts, senders) {
		return 0
	}
	return maxRate / float64(senders)
}
