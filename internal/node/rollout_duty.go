package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/canary"
)

// statusRetryInterval is the pause after a status that could not be written.
const statusRetryInterval = 300 * time.Millisecond

// rolloutDuty takes the steps of rollouts and writes their statuses while this host is on duty.
type rolloutDuty struct {
	no *Node
	// idleSince holds since when the old endpoints of a rollout have had nothing in flight.
	idleSince map[canary.Key]time.Time
	// retryAt holds when a status may be written again, badSince since when a bad version has had no status that says so, and isLate is
	// set once that has lasted too long.
	retryAt  map[canary.Key]time.Time
	badSince map[canary.Key]time.Time
	isLate   map[canary.Key]bool
}

func newRolloutDuty(no *Node) *rolloutDuty {
	return &rolloutDuty{
		no: no, idleSince: make(map[canary.Key]time.Time), retryAt: make(map[canary.Key]time.Time),
		badSince: make(map[canary.Key]time.Time), isLate: make(map[canary.Key]bool),
	}
}

// run takes steps until ctx ends.
func (rd *rolloutDuty) run(ctx context.Context) {
	for rd.no.canaries.AwaitOrder(ctx) {
		interval := rolloutInterval
		sts := rd.no.canaries.Statuses()
		if !isAnyRunning(sts) {
			interval = rolloutIdleInterval
		}
		for _, st := range sts {
			if _, isOnDuty := rd.no.leaderLease.FencingToken(); isOnDuty && rd.no.fleet.IsSynced() {
				rd.step(ctx, st)
			} else {
				delete(rd.idleSince, st.Order.Key())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-rd.no.ck.After(interval):
		}
	}
}

// step takes the next step of a rollout. The status of one that has ended is written again if the store was restored to before.
func (rd *rolloutDuty) step(ctx context.Context, st canary.Status) {
	if !rd.no.canaryLimits().IsEnabled() {
		return
	}
	key := st.Order.Key()
	de := canary.Decision{Exposure: st.Exposure, Outcome: st.Outcome}
	if st.Outcome == canary.Running {
		de = rd.plan(st).Decide(rd.situation(st))
	}
	if de.Exposure > st.Exposure {
		rd.no.canaries.Raise(key, de.Exposure)
		st.Exposure = de.Exposure
		rd.no.log.WithFields(rolloutFields(st)).Info("Exposure of a software version is raised.")
	}
	now := rd.no.ck.Now()
	rd.noteBad(st, now)
	if now.Before(rd.retryAt[key]) {
		return
	}
	written, err := rd.no.rollouts.write(ctx, key, RolloutStatus{To: key.To, Outcome: de.Outcome})
	if err != nil {
		rd.retryAt[key] = now.Add(statusRetryInterval)
		rd.no.log.WithFields(logrus.Fields{"service": key.Service, "software": key.To, "cause": err.Error()}).Warn("Status of a rollout was not written.")
		return
	}
	if written.Outcome != st.Outcome {
		rd.no.canaries.End(key, written.Outcome)
		rd.no.log.WithFields(rolloutFields(st)).WithFields(logrus.Fields{"state": written.Outcome.String(), "cause": de.Cause}).Info("Rollout has ended.")
	}
}

// noteBad warns once if the status does not say in time that a version is bad.
func (rd *rolloutDuty) noteBad(st canary.Status, now time.Time) {
	key := st.Order.Key()
	if !st.Bad || st.Outcome != canary.Running || rd.isLate[key] {
		return
	}
	if rd.badSince[key].IsZero() {
		rd.badSince[key] = now
	}
	if bound := milliseconds(rd.no.settings().Bounds.RollbackMs); bound > 0 && now.Sub(rd.badSince[key]) > bound {
		rd.isLate[key] = true
		rd.no.log.WithFields(rolloutFields(st)).Error("Rollback is not stated in time.")
	}
}

// plan returns the course of a rollout. Without enough requests requests may be in flight for as long as their timeouts.
func (rd *rolloutDuty) plan(st canary.Status) canary.Plan {
	pl := canary.Plan{Duration: st.Order.Duration, LongestRequest: st.LongestRequest, Limits: rd.no.canaryLimits()}
	if ct := rd.no.gateway.Catalog(); ct != nil && pl.LongestRequest == 0 {
		pl.LongestRequest = ct.LongestTimeout(st.Order.Service)
	}
	return pl
}

// situation returns what this host knows of a rollout.
func (rd *rolloutDuty) situation(st canary.Status) canary.Situation {
	key, now := st.Order.Key(), rd.no.ck.Now()
	inFlight := 0
	for _, vw := range rd.no.fleet.All() {
		if vw.Service == key.Service && vw.SoftwareVersion != key.To {
			inFlight += vw.TotalLoad().Requests
		}
	}
	// Loads of hosts that are not heard count as zero.
	if inFlight > 0 || !st.IsHeard {
		delete(rd.idleSince, key)
	} else if rd.idleSince[key].IsZero() {
		rd.idleSince[key] = now
	}
	si := canary.Situation{
		Age: st.Age, Responses: st.Responses, AllResponses: st.AllResponses, Rate: st.Rate, Bad: st.Bad, Exposure: st.Exposure, SinceStep: st.SinceStep, HasOld: st.HasOld,
		IsFullEverywhere: st.IsFullEverywhere,
	}
	si.NewEndpoints = rd.no.fleet.CountSoftware(key.Service, key.To)
	if at := rd.idleSince[key]; !at.IsZero() {
		si.OldIdle = now.Sub(at)
	}
	return si
}
