// Package clock provides the time through an interface, so that tests can replace the clock.
package clock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock provides the current time and timers. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System returns the clock of the operating system.
func System() Clock {
	return clockwork.NewRealClock()
}
