// Package contact tells how old what a host knows of others is. What it knows about now holds for a while only; a host that stood
// still, or that others do not reach, must not act on it.
package contact

import (
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

// Contact is the time at which what a host knows of a source was last complete. It is safe for concurrent use.
type Contact struct {
	sinceBoot func() time.Duration

	mu sync.Mutex
	// confirmedAt and interruptedAt are readings of sinceBoot. isConfirmed is set once anything has been confirmed, and
	// isInterrupted while something may have been missed since.
	confirmedAt, interruptedAt time.Duration
	isConfirmed, isInterrupted bool
}

// New returns a contact without a confirmation. The clock sinceBoot also advances while the host is suspended; nil means
// clock.SinceBoot.
func New(sinceBoot func() time.Duration) *Contact {
	if sinceBoot == nil {
		sinceBoot = clock.SinceBoot
	}
	return &Contact{sinceBoot: sinceBoot}
}

// Confirm states that what the host knows was complete at a reading of the clock. An interruption lasts until a moment after it is
// confirmed.
func (co *Contact) Confirm(at time.Duration) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.isConfirmed || at > co.confirmedAt {
		co.confirmedAt, co.isConfirmed = at, true
	}
	co.isInterrupted = co.isInterrupted && at < co.interruptedAt
}

// Interrupt states that the host may have missed something until now.
func (co *Contact) Interrupt() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.isInterrupted, co.interruptedAt = true, co.sinceBoot()
}

// Age returns the time since what the host knows was last complete; ok is false if it never was.
func (co *Contact) Age() (age time.Duration, ok bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.sinceBoot() - co.confirmedAt, co.isConfirmed
}

// IsWithin reports whether what the host knows was complete within the last d, and nothing may have been missed since.
func (co *Contact) IsWithin(d time.Duration) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.isConfirmed && !co.isInterrupted && co.sinceBoot()-co.confirmedAt <= d
}
