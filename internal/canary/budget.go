package canary

const (
	// budgetMargin is the part of the limits that an unjudged version gets. The rest is for the steps after it, and for the number of
	// hosts and the settings to change.
	budgetMargin = 0.5
	// minCanaries is the least number of endpoints of an unjudged version that get requests, so that a single ill one does
	// not decide.
	minCanaries = 3
)

// budget bounds what this host sends to an unjudged version. The shares of all hosts add up to the limits without a
// message between them.
type budget struct {
	// requests is the number of requests that this host took from clients, and sent that of requests to the new version.
	requests, sent int
	// hasSlack is set if the host has a part of the slack: it would take it again after each restart.
	hasSlack bool
}

// allows reports whether one more request may be sent to the new version.
func (bu *budget) allows(li Limits, hosts int) bool {
	allowed := li.Share * float64(bu.requests)
	if bu.hasSlack {
		allowed += li.Slack / float64(max(1, hosts))
	}
	return float64(bu.sent+1) <= budgetMargin*allowed
}
