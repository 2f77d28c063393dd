package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

// healthOutcome returns the outcome for the endpoint's health. A failure after the client left or the
// deadline passed does not count against the endpoint, nor one after the client did not read for long, since endpoints cut responses that
// remain unread, nor that this host has no memory left for the response.
func (fw *forwarder) healthOutcome(ctx, clientCtx context.Context, oc fleet.Outcome, err error) fleet.Outcome {
	var noMemory *attempt.MemoryError
	if errors.As(err, &noMemory) {
		fw.gw.unread.Check()
	}
	if oc == fleet.Failed && (clientCtx.Err() != nil || ctx.Err() != nil || fw.unread.LongestWrite() >= slowWriteTime || errors.As(err, &noMemory)) {
		return fleet.Neutral
	}
	return oc
}

// observeWait records the time from the arrival of the request to the beginning of its response.
func (fw *forwarder) observeWait() {
	fw.wait = fw.gw.opts.Clock.Now().Sub(fw.rq.arrived)
	fw.gw.opts.Meter.ObserveFirstToken(fw.rq.route.Name, fw.wait)
}

// updateFleet records the state of the endpoint that the response header reports.
func (fw *forwarder) updateFleet(pl plan, me ResponseMeta) {
	fl := fw.gw.opts.Fleet
	if me.Misdirected && me.Instance != "" && me.Instance != pl.view.ID {
		fl.MarkDraining(pl.view.ID)
		return
	}
	if fw.rq.Model != "" && me.WeightVersion > 0 {
		fl.SetWeights(pl.view.ID, fw.rq.Model, me.WeightVersion)
	}
	if me.ColdFor > 0 {
		fl.MarkCold(pl.view.ID, me.ColdFor)
	}
	fw.recordStatement(pl, me.Statement, !me.NotExecuted)
}

// recordStatement records what an endpoint says of itself in a response to a request that has run or not.
func (fw *forwarder) recordStatement(pl plan, st fleet.Statement, hasRun bool) {
	if fw.gw.opts.Fleet.RecordStatement(pl.view.ID, pl.view.StartTimeMs, st, pl.sentAt, hasRun) {
		fw.gw.opts.Log.WithFields(logrus.Fields{"endpoint": pl.view.ID, "field": st.Invalid}).Warn("Endpoint's statement is invalid.")
	}
}

// connectionLimit returns how many connections this host may open to each endpoint; zero means no bound.
func (fw *forwarder) connectionLimit() int {
	if fw.rq.service.MaxConnections <= 0 {
		return 0
	}
	return max(1, fw.rq.service.MaxConnections/max(1, fw.gw.opts.HostCount()))
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
