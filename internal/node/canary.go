package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/canary"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/telemetry"
)

const (
	// rolloutInterval is the pause between two judgements and between two steps of rollouts, and rolloutIdleInterval that while all
	// have ended.
	rolloutInterval     = 100 * time.Millisecond
	rolloutIdleInterval = 500 * time.Millisecond
)

func (no *Node) newCanaryTracker() *canary.Tracker {
	return canary.New(canary.Options{
		Clock:     no.ck,
		Limits:    no.canaryLimits,
		HostCount: func() int { return int(no.hostCount.Load()) },
		HasOther:  no.fleet.HasOtherSoftware,
	})
}

func (no *Node) canaryLimits() canary.Limits {
	bo := no.settings().Bounds
	return canary.Limits{Share: bo.ExposeShare, Slack: bo.ExposeSlack}
}

// judgeRollouts judges the versions that are being rolled out until ctx ends.
func (no *Node) judgeRollouts(ctx context.Context) {
	for no.canaries.AwaitOrder(ctx) {
		interval := rolloutInterval
		if !isAnyRunning(no.canaries.Statuses()) {
			interval = rolloutIdleInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-no.ck.After(interval):
		}
		for _, st := range no.canaries.Judge(no.fleet.CountSoftware) {
			no.log.WithFields(rolloutFields(st)).Warn("Software version is bad.")
		}
	}
}

func isAnyRunning(sts []canary.Status) bool {
	return slices.ContainsFunc(sts, func(st canary.Status) bool { return st.Outcome == canary.Running })
}

func rolloutFields(st canary.Status) logrus.Fields {
	return logrus.Fields{
		"service": st.Order.Service, "software": st.Order.To, "age-ms": st.Age.Milliseconds(), "exposure": int(st.Exposure),
		"responses": st.Responses, "reason": string(st.Finding.Reason), "route": st.Finding.Route, "route-responses": st.Finding.Counts.Responses,
		"failed": st.Finding.Counts.Failed, "slow": st.Finding.Counts.Slow, "own-requests": st.Requests, "own-sent": st.Sent,
	}
}

// addRolloutState adds what this host knows of rollouts to a digest.
func (no *Node) addRolloutState(dg *peering.Digest) {
	for _, st := range no.canaries.States() {
		od := peering.RolloutOrder(st.Key)
		dg.Rollouts = append(dg.Rollouts, peering.Rollout{
			RolloutOrder: od, AgeMs: st.Age.Milliseconds(), Exposure: int(st.Exposure), IsBad: st.Bad, Hosts: 1, Lowest: int(st.Exposure),
		})
		for _, ev := range no.canaries.Evidence(st.Key) {
			dg.RolloutCounts = append(dg.RolloutCounts, peering.RolloutCounts{
				RolloutOrder: od, Route: ev.Route, New: peering.ResponseCounts(ev.New), Old: peering.ResponseCounts(ev.Old),
			})
		}
	}
}

// mergeRolloutState adopts what other hosts know of rollouts. The sender of digests that sum up all hosts is "total".
func (no *Node) mergeRolloutState(sender string, dg peering.Digest) {
	for _, ro := range dg.Rollouts {
		no.canaries.MergeState(canary.State{
			Key: canary.Key(ro.RolloutOrder), Age: time.Duration(ro.AgeMs) * time.Millisecond, Exposure: canary.Exposure(ro.Exposure), Bad: ro.IsBad,
		})
		no.canaries.SetCover(sender, canary.Key(ro.RolloutOrder), canary.Cover{Hosts: ro.Hosts, Lowest: canary.Exposure(ro.Lowest)})
	}
	evidence := make(map[canary.Key][]canary.Evidence)
	for _, rc := range dg.RolloutCounts {
		key := canary.Key(rc.RolloutOrder)
		evidence[key] = append(evidence[key], canary.Evidence{Route: rc.Route, New: canary.Counts(rc.New), Old: canary.Counts(rc.Old)})
	}
	for key, evs := range evidence {
		no.canaries.SetEvidence(sender, key, evs)
	}
}

// countRollouts returns the rollouts for the metrics.
func (no *Node) countRollouts() []telemetry.Rollout {
	var out []telemetry.Rollout
	for _, st := range no.canaries.Statuses() {
		state := st.Outcome.String()
		if st.Bad && st.Outcome == canary.Running {
			state = "bad"
		}
		out = append(out, telemetry.Rollout{
			Service: st.Order.Service, Software: st.Order.To, State: state, Exposure: float64(st.Exposure) / float64(canary.Full),
		})
	}
	return out
}
