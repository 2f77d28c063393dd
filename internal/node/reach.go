package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

const (
	// probeInterval is the pause between two probes of endpoints that do not respond to this host, probedEndpoints how many of a
	// service are probed at a time.
	probeInterval   = 200 * time.Millisecond
	probedEndpoints = 3
)

// noteReach counts and logs that this host reaches no endpoint of a service any more, or one again.
func (no *Node) noteReach(rc fleet.ReachChange) {
	no.deps.Meter.ReachChanged(rc.Service, rc.IsCutOff)
	lg := no.log.WithFields(logrus.Fields{"part": "state", "service": rc.Service})
	if rc.IsCutOff {
		select {
		case no.cutOff <- struct{}{}:
		default:
		}
		lg.Warn("No endpoint of the service responds to this host.")
		return
	}
	lg.WithField("lasted-ms", rc.Lasted.Milliseconds()).Info("Endpoints of the service respond again.")
}

// probeEndpoints tries to connect to endpoints of the services from which this host is cut off, until ctx ends.
func (no *Node) probeEndpoints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-no.cutOff:
		}
		for isCutOff := true; isCutOff; isCutOff = no.probeOnce(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-no.ck.After(probeInterval):
			}
		}
	}
}

// probeOnce probes some endpoints of each service from which this host is cut off. It reports whether there is one.
func (no *Node) probeOnce(ctx context.Context) bool {
	samples := no.fleet.CutOffSample(probedEndpoints)
	for service, entries := range samples {
		for _, en := range entries {
			go func() {
				if no.pool.Accepts(ctx, attempt.Target{ID: en.ID, Address: en.Address, StartTimeMs: en.StartTimeMs}) {
					no.fleet.NoteReached(service)
				}
			}()
		}
	}
	return len(samples) > 0
}
