// Package freshness tells whether the configuration that a host has may have been replaced without the host knowing.
//
// What a request may use, such as the KV cache that teams share, depends on the newest configuration. A host that stood still or is
// cut off from the metadata store has an older one. It must not refuse requests for that reason, and must not serve them as if
// nothing could have changed.
package freshness

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

type (
	// Basis tells what is known of the configuration of a host.
	Basis int

	// Options configures a Guard.
	Options struct {
		// SinceBoot is a clock that also advances while the host is suspended; nil means clock.SinceBoot.
		SinceBoot func() time.Duration
		// MaxAge returns how long a configuration counts as the newest one after it was confirmed.
		MaxAge func() time.Duration
		// Feed returns the time since a change feed has confirmed the configuration; ok is false while none does. Nil means that there is
		// none.
		Feed func() (age time.Duration, ok bool)
		// Clock is the source of time; nil means the system clock.
		Clock clock.Clock
		// Host is the name of this host, and Hosts returns those of the others; nil means that there are none. Send sends one of them
		// a message, which may be lost.
		Host  string
		Hosts func() []string
		Send  func(host string, data []byte)
		// Heard returns the names of the hosts that this one has heard lately, also of those that Hosts lacks; nil means none.
		Heard func() []string
		// Version returns the version of the configuration in force; zero means none.
		Version func() uint64
		// Adopt gets the configuration of another host and puts it in force if it is newer.
		Adopt func(ctx context.Context, host string) error
		// OnInquiry is called at the end of each inquiry among the other hosts; nil means that nobody is told.
		OnInquiry func(oc Outcome)
	}

	// Guard tells whether the configuration of a host may have been replaced. It is safe for concurrent use.
	Guard struct {
		opts Options

		mu sync.Mutex
		// confirmedAt is the reading of SinceBoot at which the configuration was last the newest one.
		confirmedAt time.Duration
		isConfirmed bool
		// agreedAt is the reading at which most hosts were asked that knew no newer one, and failedAt that at which an inquiry
		// ended without a result.
		agreedAt, failedAt  time.Duration
		isAgreed, hasFailed bool
		// lastBeat is the reading at which the host ran for certain, stoodStillAt that at which a standstill was last noticed, and askedAt
		// that of the last inquiry. isInDoubt is set from a standstill until the host has learned something new.
		lastBeat, stoodStillAt, askedAt time.Duration
		hasBeaten, isInDoubt            bool
		// current is the inquiry under way; nil if there is none. hasAsked is set after the first one with a list of hosts.
		current      *inquiry
		lastQuestion uint64
		hasAsked     bool
	}
)

const (
	// Unknown means that a newer configuration may be in force, of which the host cannot learn.
	Unknown Basis = iota
	// Agreed means that no host which could be asked knows whether a newer configuration is in force, that most have no newer one, and that
	// none was heard lately and did not answer.
	Agreed
	// Confirmed means that the configuration was the newest one within Options.MaxAge.
	Confirmed
)

// New returns a guard for a host whose configuration has not been confirmed.
func New(opts Options) *Guard {
	if opts.SinceBoot == nil {
		opts.SinceBoot = clock.SinceBoot
	}
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	if opts.Hosts == nil {
		opts.Hosts = func() []string { return nil }
	}
	if opts.Heard == nil {
		opts.Heard = func() []string { return nil }
	}
	return &Guard{opts: opts}
}

// String returns the name of the basis in logs and metrics.
func (ba Basis) String() string {
	switch ba {
	case Confirmed:
		return "confirmed"
	case Agreed:
		return "agreed"
	case Unknown:
	}
	return "unknown"
}

// Confirm states that the host had the newest configuration at a reading of Options.SinceBoot.
func (gu *Guard) Confirm(at time.Duration) {
	gu.mu.Lock()
	if !gu.isConfirmed || at > gu.confirmedAt {
		gu.confirmedAt, gu.isConfirmed = at, true
	}
	gu.noteStandstill()
	if at >= gu.stoodStillAt {
		gu.isInDoubt = false
	}
	hasAsked := gu.hasAsked
	gu.mu.Unlock()
	if !hasAsked {
		gu.ask()
	}
}

// IsInDoubt reports whether the host stood still, and has not learned since of the newest configuration from the metadata store or from
// the answers of other hosts. What others have sent without being asked may have waited for as long as the host stood still.
func (gu *Guard) IsInDoubt() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.noteStandstill()
	return gu.isInDoubt
}

// noteStandstill notes a standstill since the last beat. The caller holds the lock.
func (gu *Guard) noteStandstill() {
	if now := gu.opts.SinceBoot(); gu.hasBeaten && now-gu.lastBeat >= minStandstill {
		gu.lastBeat, gu.stoodStillAt, gu.isInDoubt = now, now, true
	}
}

// Age returns the time since the configuration was confirmed; ok is false if it never was.
func (gu *Guard) Age() (age time.Duration, ok bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.age()
}

// age is Age for callers that hold the lock.
func (gu *Guard) age() (age time.Duration, ok bool) {
	age, ok = gu.opts.SinceBoot()-gu.confirmedAt, gu.isConfirmed
	if gu.opts.Feed == nil {
		return age, ok
	}
	gu.noteStandstill()
	if fed, isFed := gu.opts.Feed(); isFed && !gu.isInDoubt && (!ok || fed < age) {
		return fed, true
	}
	return age, ok
}

// Settle returns what is known of the configuration. It is called at each decision, since the host may have stood still the moment
// before. If nothing is known, it waits for the answers of other hosts, no longer than patience, and not at all while they give none.
func (gu *Guard) Settle(ctx context.Context, patience time.Duration) Basis {
	gu.mu.Lock()
	ba := gu.basis()
	isHopeless := gu.hasAsked && gu.hasFailed && gu.opts.SinceBoot()-gu.failedAt <= gu.share(hopelessShare)
	gu.mu.Unlock()
	if ba != Unknown || isHopeless {
		return ba
	}
	iq := gu.ask()
	select {
	case <-iq.done:
	case <-ctx.Done():
	case <-gu.opts.Clock.After(patience):
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.basis()
}

// basis returns what is known of the configuration now. The caller holds the lock.
func (gu *Guard) basis() Basis {
	age, ok := gu.age()
	switch {
	case !gu.hasAsked:
		// The metadata store may have been restored from a copy, so that others have a newer configuration than it has.
		return Unknown
	case ok && age <= gu.opts.MaxAge():
		return Confirmed
	case gu.isAgreed && gu.opts.SinceBoot()-gu.agreedAt <= gu.share(agreedShare):
		return Agreed
	default:
		return Unknown
	}
}
