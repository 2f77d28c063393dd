// Package canary rolls a software version of a service out: it bounds the requests to the new version while
// that is not judged, compares its responses with those of the old versions, and decides when it takes over and when it
// is rolled back. It sends nothing itself.
package canary

import (
	"math"
	"time"
)

type (
	// Order is an operator's order to move a service to a software version.
	Order struct {
		Service string
		To      string
		// Duration is the time within which the rollout has to end.
		Duration time.Duration
		// Revision is the number of the revision of the order's item, which tells orders of the same version apart.
		Revision uint64
	}

	// Key identifies an order.
	Key struct {
		Service  string
		To       string
		Revision uint64
	}

	// Limits bound the requests to a version that is not judged yet, summed over all hosts: Share of the requests to its
	// service, plus Slack. The zero value disables rollouts.
	Limits struct {
		Share, Slack float64
	}

	// Exposure is the share of the requests that the new version gets, in permille. Unjudged stands for the share
	// that the limits allow.
	Exposure int

	// Outcome is how far a rollout has come.
	Outcome int

	// State is what hosts tell each other of a rollout. Exposure never falls, and a version that is bad stays so.
	State struct {
		Key      Key
		Age      time.Duration
		Exposure Exposure
		Bad      bool
	}
)

const (
	// Unjudged is the exposure of a version that is not judged.
	Unjudged Exposure = 0
	// Full is the exposure at which the old versions get no new requests.
	Full Exposure = 1000
)

const (
	// Running rollouts have not ended.
	Running Outcome = iota
	// Completed rollouts have moved all requests to the new version.
	Completed
	// RolledBack rollouts have moved all requests back to the old versions.
	RolledBack
)

// Key returns what identifies the order.
func (od Order) Key() Key { return Key{Service: od.Service, To: od.To, Revision: od.Revision} }

// String returns the name of the outcome.
func (oc Outcome) String() string {
	switch oc {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	default:
		return "running"
	}
}

// IsEnabled reports whether rollouts are carried out.
func (li Limits) IsEnabled() bool { return li.Share > 0 }

// canaries returns how many of a number of endpoints of an unjudged version get requests: few enough that each has as much to
// do as later.
func (li Limits) canaries(endpoints int) int {
	return max(minCanaries, int(math.Ceil(li.Share*float64(endpoints))))
}
