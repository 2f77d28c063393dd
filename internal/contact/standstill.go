package contact

import (
	"context"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// standstillCheckInterval is the pause between two checks, and minStandstill the least delay of one that is reported.
	standstillCheckInterval = 250 * time.Millisecond
	minStandstill           = 400 * time.Millisecond
)

// WatchStandstill calls report with the duration whenever the process has stood still, until ctx ends. The clock sinceBoot also
// advances while the host is suspended.
func WatchStandstill(ctx context.Context, ck clock.Clock, sinceBoot func() time.Duration, report func(d time.Duration)) {
	for {
		begunAt := sinceBoot()
		select {
		case <-ctx.Done():
			return
		case <-ck.After(standstillCheckInterval):
		}
		if delay := sinceBoot() - begunAt - standstillCheckInterval; delay >= minStandstill {
			report(delay)
		}
	}
}
