package quarantine

import "time"

// Run is an attempt to send a request to an endpoint. Its methods are not safe for concurrent use.
type Run struct {
	tr    *PartTracker
	scope string
	parts []string
	// trials holds the parts that the attempt tries, and blockedTrials those of them that were blocked when it began.
	trials, blockedTrials []string
	hasSucceeded          bool
}

// Succeeded records that the response has begun, so that no part of the prompt crashes endpoints.
func (ru *Run) Succeeded() {
	if ru == nil || ru.hasSucceeded {
		return
	}
	ru.hasSucceeded = true
	ru.tr.recordSuccess(ru.scope, ru.parts)
}

// Crashed records that the endpoint crashed during the run. It accuses nothing if the response had begun.
func (ru *Run) Crashed(id string, detectedAt time.Time) {
	if ru == nil || ru.hasSucceeded || len(ru.parts) == 0 {
		return
	}
	ru.tr.recordOwnCrash(id, detectedAt, ru)
}

// End ends the run; a part that it tried may be tried again.
func (ru *Run) End() {
	if ru == nil || len(ru.trials) == 0 {
		return
	}
	ru.tr.endTrials(ru.trials)
	ru.trials, ru.blockedTrials = nil, nil
}
