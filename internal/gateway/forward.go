package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	// answerBytes bounds an answer that is read whole before it is returned.
	answerBytes = 16 << 20
	// unsentMost is how many endpoints in a row may accept no connection before the request is
	// refused; such attempts cost nothing at the endpoints.
	unsentMost = 4
	// rejectedMost bounds attempts that endpoints rejected without running them.
	rejectedMost = 2
	// shunFor is how long an endpoint that rejected a request gets no others: it is full, or takes
	// new weights, which lasts some seconds and is known soon.
	shunFor = 400 * time.Millisecond
)

type (
	// forwarding is one request on its way. Its methods run in one goroutine.
	forwarding struct {
		gw *Gateway
		w  http.ResponseWriter
		rq *Request
		ct *catalog.Catalog

		// mayHaveRun reports that an endpoint may have begun to run the request.
		mayHaveRun bool
		// sent counts attempts that reached an endpoint; rejected those that it did not run.
		sent, rejected, unsent int
		tried                  []string
		// pinned is the version of the weights that a stream must go on with; zero means any.
		pinned uint64
		// started reports that the header of the answer has been written.
		started   bool
		lastEvent string
		events    int
		endpoint  string
		mark      quarantine.Fingerprint
	}

	// verdict is what to do after an attempt.
	verdict int
)

const (
	finished verdict = iota
	again
	giveUp
)

func (fw *forwarding) run(client context.Context) {
	gw, rq := fw.gw, fw.rq
	fw.lastEvent = rq.LastEvent
	gw.opts.Budget.Request(rq.service.Name)
	ctx, cancel := context.WithDeadline(client, rq.until)
	defer cancel()
	var last error
	for {
		left := rq.until.Sub(gw.opts.Clock.Now())
		if hasLeft(client) {
			fw.end("client-left", 0, client.Err())
			return
		}
		if left < leastLeft {
			fw.expire(last)
			return
		}
		if fw.isCrasher() {
			fw.refuseCrasher(last)
			return
		}
		pl, ok := fw.choose(left)
		if !ok {
			fw.refuse("no-endpoint", last)
			return
		}
		if !fw.started && rq.Model != "" && placement.Overdue(pl.estimate, rq.route.Target-gw.opts.Clock.Now().Sub(rq.arrived), left) {
			fw.overdue(pl, left, last)
			return
		}
		var vd verdict
		vd, last = fw.try(ctx, client, pl)
		switch vd {
		case finished:
			return
		case giveUp:
			fw.fail(client, last)
			return
		case again:
		}
	}
}

// try sends the request to one endpoint and returns its answer if there is one.
func (fw *forwarding) try(ctx, client context.Context, pl plan) (verdict, error) {
	gw, rq := fw.gw, fw.rq
	if (fw.sent > 0 || fw.rejected > 0) && !gw.opts.Budget.Take(rq.service.Name) {
		return giveUp, failure("the budget for repeats is used up")
	}
	ti := gw.opts.Fleet.Begin(pl.view.ID, pl.load, rq.service.ColdRate)
	if ti == nil {
		// The endpoint has left meanwhile, or is cold and has got what it bears.
		fw.tried = append(fw.tried, pl.view.ID)
		fw.unsent++
		if fw.unsent > unsentMost {
			return giveUp, failure("no endpoint takes the request now")
		}
		return again, nil
	}
	fw.tried = append(fw.tried, pl.view.ID)
	fw.endpoint = pl.view.ID
	gw.opts.Meter.Dispatched(rq.route.Name)
	pl.sent = gw.opts.Clock.Now()
	fw.beginFetch(pl)
	pl.delivery.Left = rq.until.Sub(gw.opts.Clock.Now())
	pl.delivery.LastEvent = fw.lastEvent
	target := attempt.Target{ID: pl.view.ID, Address: pl.view.Address, Born: pl.view.Born}
	head := gw.opts.Codec.Head(rq, pl.delivery)
	an, err := gw.opts.Pool.Send(ctx, target, fw.connections(), rq.Method, head, rq.Body)
	if err == nil {
		err = fw.own(an)
	}
	var (
		unsent *attempt.NotSentError
		coldIn = rq.service.ColdFor
	)
	switch {
	case errors.As(err, &unsent):
		outcome := fleet.Unreachable
		if unsent.IsFull() || ctx.Err() != nil {
			outcome = fleet.Neutral
		} else {
			gw.opts.Pool.Forget(target)
		}
		ti.End(outcome, coldIn)
		fw.note(pl, "not-sent", err)
		fw.unsent++
		if fw.unsent > unsentMost {
			return giveUp, err
		}
		return again, err
	case err != nil:
		fw.sent++
		fw.mayHaveRun = true
		outcome := fw.health(ctx, client, fleet.Failed)
		var broken *attempt.BrokenError
		if errors.As(err, &broken) && broken.IsSilent() {
			outcome = fleet.Unreachable
			gw.opts.Pool.Forget(target)
		}
		ti.End(outcome, coldIn)
		fw.suspect(ctx, target, pl.sent, err)
		fw.note(pl, "broken", err)
		if fw.repeats() {
			return again, err
		}
		return giveUp, err
	}
	defer an.Close()
	me := gw.opts.Codec.Meta(an.Status, an.Header)
	fw.learn(pl, me)
	if me.NotRun {
		fw.rejected++
		ti.End(fleet.Neutral, coldIn)
		fw.note(pl, "rejected", &StatusError{status: an.Status})
		drain(an)
		if !me.Misdirected {
			gw.opts.Fleet.Shun(pl.view.ID, shunFor)
		}
		// What was rejected has not run, and so does not count as one of the route's attempts.
		if fw.rejected <= rejectedMost && fw.sent < rq.route.Attempts {
			return again, nil
		}
		return giveUp, &RejectedError{endpoint: pl.view.ID}
	}
	fw.sent++
	fw.mayHaveRun = true
	var (
		vd verdict
		oc fleet.Outcome
	)
	if rq.route.Kind == catalog.Stream && an.Status == http.StatusOK {
		vd, oc, err = fw.stream(ctx, client, an, me, pl, ti)
	} else {
		vd, oc, err = fw.whole(an, me, pl)
	}
	ti.End(fw.health(ctx, client, oc), coldIn)
	if vd != finished {
		fw.suspect(ctx, target, pl.sent, err)
		fw.note(pl, "broken", err)
		return vd, err
	}
	if oc == fleet.Good {
		fw.clear()
	}
	return vd, nil
}

// repeats reports whether the request may run once more elsewhere.
func (fw *forwarding) repeats() bool {
	return fw.rq.route.Repeats() && fw.sent < fw.rq.route.Attempts &&
		fw.rq.until.Sub(fw.gw.opts.Clock.Now()) > leastLeft
}

// health corrects the outcome of an attempt that this side ended.
func (fw *forwarding) health(ctx, client context.Context, oc fleet.Outcome) fleet.Outcome {
	if oc == fleet.Failed && (client.Err() != nil || ctx.Err() != nil) {
		return fleet.Neutral
	}
	return oc
}

// learn records what an answer says of the endpoint.
func (fw *forwarding) learn(pl plan, me Meta) {
	fl := fw.gw.opts.Fleet
	if me.Misdirected && me.Instance != "" && me.Instance != pl.view.ID {
		fl.Leave(pl.view.ID)
		return
	}
	if fw.rq.Model != "" && me.Version > 0 {
		fl.Weights(pl.view.ID, fw.rq.Model, me.Version)
	}
	if me.ColdFor > 0 {
		fl.Cool(pl.view.ID, me.ColdFor)
	}
}

// connections returns how many connections this host may open to each endpoint.
func (fw *forwarding) connections() int {
	if fw.rq.service.Connections <= 0 {
		return 0
	}
	return max(1, fw.rq.service.Connections/max(1, fw.gw.opts.Hosts()))
}

// expire answers a request whose time has run out.
func (fw *forwarding) expire(cause error) {
	if fw.started {
		fw.abort("expired", cause)
	}
	if fw.mayHaveRun {
		fw.gw.refuse(fw.w, fw.rq, http.StatusGatewayTimeout, "expired", 0, cause)
		return
	}
	fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, "expired-unsent", soon, cause)
}

// fail answers a request that is not tried any more.
func (fw *forwarding) fail(client context.Context, cause error) {
	switch {
	case client.Err() != nil:
		fw.end("client-left", 0, cause)
	case fw.started:
		fw.abort("broken", cause)
	case !fw.gw.opts.Clock.Now().Before(fw.rq.until):
		fw.expire(cause)
	case fw.mayHaveRun:
		fw.gw.refuse(fw.w, fw.rq, http.StatusBadGateway, "outcome-unknown", 0, cause)
	default:
		fw.refuse("rejected", cause)
	}
}

// refuse answers that the request has not run, or that nobody knows.
func (fw *forwarding) refuse(reason string, cause error) {
	switch {
	case fw.started:
		fw.abort(reason, cause)
	case fw.mayHaveRun:
		fw.gw.refuse(fw.w, fw.rq, http.StatusBadGateway, "outcome-unknown", 0, cause)
	default:
		fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, reason, soon, cause)
	}
}

// overdue refuses a request that would be late, while it can be said that it has not run.
func (fw *forwarding) overdue(pl plan, left time.Duration, cause error) {
	if fw.mayHaveRun {
		fw.refuse("overloaded", cause)
		return
	}
	after := placement.Return(fw.rq.ID, pl.estimate, fw.rq.route.Target, left)
	fw.gw.opts.Codec.Refuse(fw.w.Header(), fw.rq, after)
	fw.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fw.w.WriteHeader(http.StatusServiceUnavailable)
	// A client that is gone does not read the reason.
	_, _ = io.WriteString(fw.w, "overloaded\n")
	fields := pl.fields()
	fields["retry-after-ms"] = after.Milliseconds()
	fw.gw.end(fw.rq, "overloaded", http.StatusServiceUnavailable, cause, fields)
}

// abort cuts an answer that has begun, so that it does not look complete.
func (fw *forwarding) abort(reason string, cause error) {
	fw.end(reason, http.StatusOK, cause)
	panic(http.ErrAbortHandler)
}

func (fw *forwarding) end(end string, status int, cause error) {
	fw.gw.end(fw.rq, end, status, cause, fw.fields())
}

func (fw *forwarding) endAt(end string, status int, cause error, pl plan) {
	fields := fw.fields()
	for key, value := range pl.fields() {
		fields[key] = value
	}
	fw.gw.end(fw.rq, end, status, cause, fields)
}

func (fw *forwarding) fields() logrus.Fields {
	return logrus.Fields{"endpoint": fw.endpoint, "sent": fw.sent, "rejected": fw.rejected, "unsent": fw.unsent}
}

// note logs an attempt that did not end the request.
func (fw *forwarding) note(pl plan, outcome string, err error) {
	fw.gw.opts.Meter.Retried(outcome, fw.rq.route.Name)
	fields := pl.fields()
	fields["request"] = fw.rq.ID
	fields["outcome"] = outcome
	fields["ms"] = fw.gw.opts.Clock.Now().Sub(fw.rq.arrived).Milliseconds()
	if err != nil {
		fields["cause"] = err.Error()
	}
	fw.gw.opts.Log.WithFields(fields).Info("Attempt failed.")
}

func drain(an *attempt.Answer) {
	// What is left unread only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(an, 1<<16))
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
