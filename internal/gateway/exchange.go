package gateway

import (
	"context"
	"io"
	"time"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/lane"
)

// exchange is one attempt at an endpoint, up to the end of its response.
type exchange struct {
	pl       plan
	inFlight *fleet.InFlight
	ctx      context.Context
	cancel   context.CancelFunc
	head     []byte
	need     attempt.StartNeed
	limit    int
	// response and err are the result of sending the request.
	response *attempt.Response
	err      error
	// body reads the body of the response.
	body io.Reader
	// bodyErr is the error with which the beginning of the body ended.
	bodyErr error
	// panicked is the value of a panic while the request was sent in a goroutine of its own; nil if there was none.
	panicked any
}

// begin counts an attempt at an endpoint. It returns nil if the endpoint accepts no request now.
func (fw *forwarder) begin(pl plan) *exchange {
	fi := fw.gw.opts.Fleet.Begin(pl.view.ID, pl.load, fw.rq.service.ColdRateLimit)
	fw.tried = append(fw.tried, pl.view.ID)
	if fi == nil {
		return nil
	}
	return &exchange{pl: pl, inFlight: fi}
}

// prepare completes the plan of an attempt and encodes its request.
func (fw *forwarder) prepare(ctx context.Context, ex *exchange) {
	gw, rq, pl := fw.gw, fw.rq, &ex.pl
	fw.endpointID = pl.view.ID
	gw.opts.Meter.Dispatched(rq.route.Name)
	if pl.lane.lane != lane.Shared {
		gw.opts.Meter.LaneUsed(rq.route.Name, pl.lane.lane.String())
	}
	pl.sentAt = gw.opts.Clock.Now()
	pl.wait = fw.beginWait(*pl)
	fw.recordFetches(*pl)
	pl.delivery.Remaining = rq.deadline.Sub(gw.opts.Clock.Now())
	pl.delivery.LastEventID = fw.order.lastID
	ex.ctx, ex.cancel = context.WithCancel(ctx)
	if left, ok := gw.opts.WeightsTimeLeft(rq.Model, pl.delivery.WeightVersion); ok && pl.delivery.WeightVersion > 0 {
		fw.limitWait(ex.ctx, ex.cancel, ex.inFlight, left)
	}
	ex.head = gw.opts.Codec.EncodeRequestHeader(rq, pl.delivery)
	ex.need, ex.limit = fw.startNeed(*pl), fw.connectionLimit()
}

// send sends the request of an exchange and waits for the header of the response. It changes only the exchange, so that two may
// run at a time.
func (fw *forwarder) send(ex *exchange) {
	ex.response, ex.err = fw.gw.opts.Pool.SendToStart(ex.ctx, ex.pl.target(), ex.need, ex.limit, fw.rq.Method, ex.head, fw.rq.Body)
	if ex.err == nil {
		ex.err = fw.skipStaleResponses(ex.response)
	}
	ex.body = ex.response
}

// endWait ends the wait for the first event. Further calls have no effect.
func (ex *exchange) endWait() {
	if ex.pl.wait != nil {
		ex.pl.wait.End()
	}
}

// age returns the time since the request was sent.
func (ex *exchange) age(now time.Time) time.Duration { return now.Sub(ex.pl.sentAt) }

// limitWait cancels an attempt if its first event has not arrived within a duration.
func (fw *forwarder) limitWait(ctx context.Context, cancel context.CancelFunc, fi *fleet.InFlight, d time.Duration) {
	timer := fw.gw.opts.Clock.After(max(0, d))
	go func() {
		select {
		case <-ctx.Done():
		case <-timer:
			if !fi.IsPrefilled() {
				cancel()
			}
		}
	}()
}
