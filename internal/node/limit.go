package node

import (
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

// noteLimitChange counts and logs a change of an endpoint's limit.
func (no *Node) noteLimitChange(lc fleet.LimitChange) {
	ended := lc.PerSecond == 0
	no.deps.Meter.EndpointLimitChanged(ended)
	from := "response"
	if lc.FromPeer {
		from = "peer"
	}
	lg := no.log.WithFields(logrus.Fields{
		"part": "state", "endpoint": lc.Endpoint, "service": lc.Service, "limit": lc.PerSecond, "from": from,
		"age-ms": no.ck.Now().Sub(lc.AsOf).Milliseconds(),
	})
	if ended {
		lg.Info("Endpoint's limit ended.")
		return
	}
	lg.Info("Endpoint named a limit.")
}
