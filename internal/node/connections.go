package node

import (
	"context"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

// sweepConnections periodically closes idle connections to endpoints that are gone or draining.
func (no *Node) sweepConnections(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-no.ck.After(connectionSweepInterval):
		}
		no.pool.CloseIdleExcept(func(ta attempt.Target) bool { return no.fleet.IsServing(ta.ID, ta.Address, ta.StartTimeMs) })
	}
}
