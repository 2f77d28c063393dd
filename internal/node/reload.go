package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/retry"
)

// mover is a metadata store whose address can change.
type mover interface {
	Move(address string)
}

// Reload puts new settings in force while the host serves. It returns the names of settings that
// changed and need a new start; they stay as they were.
func (no *Node) Reload(next Settings) (restart []string) {
	have := no.settings()
	merged := next
	keep := func(name, was string, is *string) {
		if was != *is {
			restart = append(restart, name)
			*is = was
		}
	}
	keep("host", have.Name, &merged.Name)
	keep("availability-zone", have.Zone, &merged.Zone)
	keep("listen", have.Listen, &merged.Listen)
	keep("ready-listen", have.ReadyListen, &merged.ReadyListen)
	keep("peer-listen", have.PeerListen, &merged.PeerListen)
	keep("metrics-listen", have.MetricsListen, &merged.MetricsListen)
	if merged.Store != have.Store {
		if mo, ok := no.wo.Store.(mover); ok {
			mo.Move(merged.Store)
		} else {
			keep("metadata-store", have.Store, &merged.Store)
		}
	}
	no.current.Store(&merged)
	no.budget.SetBound(bound(merged.Bounds))
	setMemory(merged.MemoryMiB)
	if level, err := logrus.ParseLevel(merged.LogLevel); err == nil {
		no.log.SetLevel(level)
	}
	no.log.WithFields(logrus.Fields{"bounds": merged.Bounds, "needs-restart": restart}).Info("Settings were reloaded.")
	return restart
}

func (no *Node) settings() Settings { return *no.current.Load() }

func bound(bo Bounds) retry.Bound {
	return retry.Bound{
		Ratio: bo.RepeatRatio, Slack: bo.RepeatSlack, Window: time.Duration(bo.RepeatWindowS * float64(time.Second)),
	}
}
