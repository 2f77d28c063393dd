package changefeed

import (
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// repeatTime is how long a change is repeated in updates. It covers several lost datagrams.
	repeatTime = 400 * time.Millisecond
	// maxEventBytes bounds the events of one update, so that it fits into a datagram together with the loads.
	// Subscribers fetch what is left out from the store.
	maxEventBytes = 8 << 10
)

type (
	// Publisher composes updates from the responses of the store. It is safe for concurrent use.
	Publisher struct {
		sinceBoot func() time.Duration

		mu        sync.Mutex
		confirmed bool
		failing   bool
		// confirmedAt is the reading of sinceBoot at which the call that returned revision to was sent.
		confirmedAt time.Duration
		from, to    metastore.Revision
		recent      []recentEvent
		recentBytes int
	}

	recentEvent struct {
		Event
		recordedAt time.Duration
	}
)

// NewPublisher returns a publisher without a state. SinceBoot is a clock that also advances while the host is
// suspended: a host that resumes must not present its state as new.
func NewPublisher(sinceBoot func() time.Duration) *Publisher {
	return &Publisher{sinceBoot: sinceBoot}
}

// Record records the response to a watch from revision after that was sent at requestedAt, a reading of the
// clock.
func (pu *Publisher) Record(after metastore.Revision, ch metastore.Changes, requestedAt time.Duration) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if !pu.confirmed || pu.to != after {
		pu.from, pu.recent, pu.recentBytes = after, nil, 0
	}
	now := pu.sinceBoot()
	for _, ev := range ch.Events {
		re := recentEvent{Event: newEvent(ev), recordedAt: now}
		pu.recent = append(pu.recent, re)
		pu.recentBytes += re.size()
	}
	pu.confirmed, pu.failing, pu.confirmedAt, pu.to = true, false, requestedAt, ch.Revision
	pu.prune(now)
}

// RecordFailure records that a call to the store failed.
func (pu *Publisher) RecordFailure() {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.failing = true
}

// Update returns the current update; ok is false if no response has been recorded.
func (pu *Publisher) Update() (up Update, ok bool) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if !pu.confirmed {
		return Update{}, false
	}
	now := pu.sinceBoot()
	pu.prune(now)
	up = Update{From: pu.from, To: pu.to, AgeMs: (now - pu.confirmedAt).Milliseconds(), Failing: pu.failing}
	for _, re := range pu.recent {
		up.Events = append(up.Events, re.Event)
	}
	return up, true
}

// prune drops the oldest events, always all of one revision, until the rest is recent and small enough.
func (pu *Publisher) prune(now time.Duration) {
	for len(pu.recent) > 0 && (pu.recentBytes > maxEventBytes || now-pu.recent[0].recordedAt > repeatTime) {
		pu.from = metastore.Revision{Era: pu.to.Era, Number: pu.recent[0].Revision}
		for len(pu.recent) > 0 && pu.recent[0].Revision == pu.from.Number {
			pu.recentBytes -= pu.recent[0].size()
			pu.recent = pu.recent[1:]
		}
	}
}
