package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/hedge"
	"github.com/bergamotway/bergamotway/internal/retry"
)

// movableStore is a metadata store client whose address can be changed while it is in use.
type movableStore interface {
	Move(address string)
}

// Reload puts new settings in force while the host serves. It returns the names of the changed settings that
// need a restart; these keep their previous values until then.
func (no *Node) Reload(next Settings) (needRestart []string) {
	old := no.settings()
	merged := next
	keepUntilRestart := func(name, previous string, value *string) {
		if previous != *value {
			needRestart = append(needRestart, name)
			*value = previous
		}
	}
	keepUntilRestart("host", old.Name, &merged.Name)
	keepUntilRestart("availability-zone", old.Zone, &merged.Zone)
	keepUntilRestart("listen", old.Listen, &merged.Listen)
	keepUntilRestart("ready-listen", old.ReadyListen, &merged.ReadyListen)
	keepUntilRestart("peer-listen", old.PeerListen, &merged.PeerListen)
	keepUntilRestart("metrics-listen", old.MetricsListen, &merged.MetricsListen)
	if merged.Store != old.Store {
		if ms, ok := no.deps.Store.(movableStore); ok {
			ms.Move(merged.Store)
		} else {
			keepUntilRestart("metadata-store", old.Store, &merged.Store)
		}
	}
	no.currentSettings.Store(&merged)
	no.retryBudget.SetLimits(retryLimits(merged.Bounds))
	no.hedger.SetLimits(hedgeLimits(merged.Hedging))
	no.canaries.NoteLimits()
	setMemoryLimit(merged.MemoryMiB)
	if level, err := logrus.ParseLevel(merged.LogLevel); err == nil {
		no.log.SetLevel(level)
	}
	no.log.WithFields(logrus.Fields{"bounds": merged.Bounds, "needs-restart": needRestart}).Info("Settings were reloaded.")
	return needRestart
}

func (no *Node) settings() Settings { return *no.currentSettings.Load() }

func retryLimits(bo Bounds) retry.Limits {
	return retry.Limits{
		Ratio: bo.RepeatRatio, Slack: bo.RepeatSlack, Window: time.Duration(bo.RepeatWindowS * float64(time.Second)),
	}
}

func hedgeLimits(he Hedging) hedge.Limits { return hedge.Limits{Share: he.Share, Routes: he.Routes} }
