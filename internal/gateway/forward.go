package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/unread"
)

const (
	// maxBufferedResponseBytes is the part of a response that is held back until the response is complete.
	// The rest of a longer response is forwarded as it arrives, so that endless ones take little memory.
	maxBufferedResponseBytes = 128 << 10
	// maxResponseBytes bounds a response that is not a stream.
	maxResponseBytes = 64 << 20
	// maxStaleResponses and maxStaleResponseBytes bound the responses to earlier requests that are skipped
	// on a reused connection.
	maxStaleResponses     = 4
	maxStaleResponseBytes = 1 << 20
	// maxDiscardedBytes and discardTimeout bound how much of a rejection's body is read in order to reuse
	// the connection.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 20 * time.Millisecond
	// maxUnsentAttempts bounds the attempts of which nothing could be sent; one more ends the request.
	// Such attempts cost the endpoints nothing.
	maxUnsentAttempts = 4
	// maxRejectedRetries bounds the retries after an endpoint rejected the request without running it.
	maxRejectedRetries = 2
	// rejectionBackoff is how long an endpoint that rejected a request is avoided. The endpoint is full, or
	// it is loading new weights, which takes some seconds and is reported to this host soon.
	rejectionBackoff = 400 * time.Millisecond
)

type (
	// forwarder holds the state of forwarding one request. Its methods run in one goroutine.
	forwarder struct {
		gw *Gateway
		w  http.ResponseWriter
		rq *Request
		// body is the body of the request, and unread the response of the client as the budget of unread bytes sees it.
		body   *body
		unread *unread.Response

		// cacheOwner is the owner of the KV cache that the current attempt uses.
		cacheOwner cacheOwner
		// mayHaveRun is set once an endpoint may have begun to run the request.
		mayHaveRun bool
		// sent counts attempts that an endpoint may have run, rejected those that an endpoint refused to
		// run, and unsent those of which nothing could be sent.
		sent, rejected, unsent int
		// tried holds the IDs of the endpoints of all attempts.
		tried []string
		// pinnedVersion is the weight version with which a stream must continue; zero means any.
		pinnedVersion uint64
		// begun is what began the stream; nil before its first event. The stream goes on only at the same software version.
		begun *origin.Origin
		// beginning is the attempt that began the stream, until it is asked whether the stream may go on; nil if there is none.
		beginning *beginning
		// response is the last response of an endpoint.
		response *attempt.Response
		// failure is the first failure of its own that an endpoint reported; nil if there is none.
		failure *heldFailure
		// isCounted is set once the request counts as one of its service for a rollout.
		isCounted bool
		// isOnlyVersion is set if the service had only one software version when that was fixed.
		isOnlyVersion bool
		// silent counts the endpoints that did not respond to the request, unless the client or the deadline ended the attempt.
		silent int
		// hasTriedNeighbours is set once neighbours have been tried, and isRelayed once one has a response of an endpoint.
		// refusal is the last refusal of a neighbour that says when the client may come back.
		hasTriedNeighbours, isRelayed bool
		refusal                       *neighbourRefusal
		// headerWritten is set once the response header has been written to the client.
		headerWritten bool
		// resetOnAbort is set if the client uses HTTP/1.0, which has no chunks: there the end of the
		// connection may be the end of a complete response, and only a reset is not.
		resetOnAbort bool
		// order is that of the events that the client received.
		order eventOrder
		// endEvidence is what shows that the last response is whole; empty if nothing does.
		endEvidence attempt.EndEvidence
		// hasUnnumberedEvents is set while the client has received an event without an ID after the last one with an ID. No
		// other endpoint can continue the stream there.
		hasUnnumberedEvents bool
		// wait is the time until the response began; zero before that.
		wait time.Duration
		// events counts the events written to the client.
		events int
		// endpointID is the endpoint of the last attempt.
		endpointID string
		// cachedFingerprint is the result of fingerprint, empty before its first call.
		cachedFingerprint quarantine.Fingerprint
		// hedged is what became of a second attempt while the first one was under way; empty if none was due.
		hedged string
		// partRun is the current attempt as the tracker of parts sees it.
		partRun *quarantine.Run
		// lane is the part of the engines for the request, and usedLane the one that the current attempt uses.
		lane, usedLane engineLane
	}

	// nextStep is the action that follows an attempt.
	nextStep int
)

const (
	stepDone nextStep = iota
	stepRetry
	stepGiveUp
	// stepBreakOff follows a response that could not be written to the client.
	stepBreakOff
)

// run attempts the request at one endpoint after another until it has a response or may not be attempted
// again, and ends it.
func (fw *forwarder) run(clientCtx context.Context) {
	gw, rq := fw.gw, fw.rq
	fw.order = newEventOrder(rq.LastEventID)
	if rq.relayedFrom == nil {
		gw.opts.Budget.RecordRequest(rq.service.Name)
		if gw.opts.Hedger != nil {
			gw.opts.Hedger.RecordRequest(rq.service.Name, rq.route.Name)
		}
	} else {
		// The host that took the request from the client has counted it.
		fw.sent = rq.relayedFrom.attempts
	}
	ctx, cancel := context.WithDeadline(clientCtx, rq.deadline)
	defer cancel()
	if rq.isTakeUp() && !fw.findOrigin(ctx) {
		fw.refuseTakeUp()
		return
	}
	fw.lane = gw.findLane(rq)
	var lastErr error
	for {
		remaining := rq.deadline.Sub(gw.opts.Clock.Now())
		if clientDisconnected(clientCtx) {
			fw.abort("client-left", 0, clientCtx.Err())
		}
		if remaining < minAttemptTime {
			fw.expire(lastErr)
			return
		}
		if fw.isQuarantined() {
			fw.refuseQuarantined(0, lastErr)
			return
		}
		if rq.relayedFrom != nil && gw.opts.Fleet.IsCutOff(rq.service.Name) {
			fw.refuseUnserved()
			return
		}
		var step nextStep
		if fw.takesNeighbour() {
			step, lastErr = fw.tryNeighbours(ctx, clientCtx)
		} else {
			step, lastErr = fw.attempt(ctx, clientCtx, remaining, lastErr)
		}
		switch step {
		case stepDone:
			return
		case stepBreakOff:
			fw.breakOff()
		case stepGiveUp:
			fw.fail(clientCtx, lastErr)
			return
		case stepRetry:
		}
	}
}

// attempt chooses an endpoint and sends the request to it, unless the request has to be refused.
func (fw *forwarder) attempt(ctx, clientCtx context.Context, remaining time.Duration, lastErr error) (nextStep, error) {
	gw, rq := fw.gw, fw.rq
	var err error
	if fw.partRun, err = gw.opts.Parts.Admit(rq.service.Name, rq.sharedPartIDs()); err != nil {
		fw.refuseBlocked(err)
		return stepDone, nil
	}
	defer fw.partRun.End()
	fw.chooseCacheOwner(ctx)
	pl, ok := fw.chooseEndpoint(remaining, endpointFilter{})
	if !ok {
		fw.refuseUnplaced(remaining, lastErr)
		return stepDone, nil
	}
	if fw.isOverdue(pl.leastTTFT, remaining) {
		fw.refuseOverdue(pl, remaining, lastErr)
		return stepDone, nil
	}
	if fw.outlastsHost(pl) {
		fw.refuse("stopping", lastErr)
		return stepDone, nil
	}
	return fw.tryEndpoint(ctx, clientCtx, pl)
}

// isOverdue reports whether a request with the given expected time to first token must be refused instead of sent.
func (fw *forwarder) isOverdue(wait, remaining time.Duration) bool {
	return !fw.headerWritten && fw.rq.Model != "" && placement.IsOverdue(wait, fw.targetLeft(), remaining)
}

// outlastsHost reports whether the host is expected to stop before the response of a request that may not be repeated ends.
func (fw *forwarder) outlastsHost(pl plan) bool {
	stopAt := fw.gw.stopAt.Load()
	if stopAt == nil || fw.headerWritten || fw.rq.route.IsRepeatable() {
		return false
	}
	now := fw.gw.opts.Clock.Now()
	return now.Add(min(pl.expectedDuration, fw.rq.deadline.Sub(now))).After(*stopAt)
}

// tryEndpoint sends the request to one endpoint and relays its response, if any, to the client.
func (fw *forwarder) tryEndpoint(ctx, clientCtx context.Context, pl plan) (nextStep, error) {
	gw, rq := fw.gw, fw.rq
	if (fw.sent > 0 || fw.rejected > 0) && !gw.opts.Budget.TryRetry(rq.service.Name) {
		return stepGiveUp, forwardError("the retry budget of the service is exhausted")
	}
	ex := fw.begin(pl)
	if ex == nil {
		// The endpoint has been removed in the meantime, or is cold and has reached its rate limit.
		fw.unsent++
		if fw.unsent > maxUnsentAttempts {
			return stepGiveUp, forwardError("no endpoint accepts the request at the moment")
		}
		return stepRetry, nil
	}
	if fw.begun != nil && !ex.inFlight.IsAt(pl.view.StartTimeMs, fw.begun.Software) {
		ex.inFlight.End(fleet.Neutral, 0)
		fw.unsent++
		if fw.unsent > maxUnsentAttempts {
			return stepGiveUp, errOtherSoftware
		}
		return stepRetry, errOtherSoftware
	}
	fw.countForRollout()
	if !gw.opts.Rollouts.TrySend(rq.service.Name, pl.view.SoftwareVersion) {
		ex.inFlight.End(fleet.Neutral, 0)
		fw.unsent++
		if fw.unsent > maxUnsentAttempts {
			return stepGiveUp, errVersionHeld
		}
		return stepRetry, errVersionHeld
	}
	fw.prepare(ctx, ex)
	defer ex.cancel()
	if delay, ok := fw.hedgeDelay(ex); ok {
		ex = fw.sendHedged(ctx, clientCtx, ex, delay)
		defer ex.cancel()
	} else {
		fw.send(ex)
	}
	return fw.conclude(clientCtx, ex)
}

// conclude relays the response of an exchange, if any, to the client, and records its outcome.
func (fw *forwarder) conclude(clientCtx context.Context, ex *exchange) (nextStep, error) {
	gw, rq := fw.gw, fw.rq
	defer ex.endWait()
	fw.unread.ResetLongestWrite()
	ctx, pl, fi, rs, err := ex.ctx, ex.pl, ex.inFlight, ex.response, ex.err
	defer fw.observeEnd(pl)
	target := pl.target()
	fw.response, fw.endpointID = rs, pl.view.ID
	var (
		unsent  *attempt.NotSentError
		coldFor = rq.service.ColdDuration
	)
	switch {
	case errors.As(err, &unsent):
		outcome := fleet.Unreachable
		var otherStart *attempt.OtherStartError
		switch {
		case errors.As(err, &otherStart):
			// Each endpoint is found to be another start once at most.
			fw.noteOtherStart(pl)
			fi.End(fleet.Neutral, coldFor)
			fw.recordFailedAttempt(pl, "other-start", err)
			return stepRetry, err
		case unsent.IsConnectionLimit() || unsent.IsUnverified() || ctx.Err() != nil:
			outcome = fleet.Neutral
		default:
			gw.opts.Pool.CloseIdle(target)
			fi.Silent()
			fw.silent++
		}
		fi.End(outcome, coldFor)
		fw.recordFailedAttempt(pl, "not-sent", err)
		fw.unsent++
		if fw.unsent > maxUnsentAttempts {
			return stepGiveUp, err
		}
		return stepRetry, err
	case err != nil:
		fw.sent++
		fw.mayHaveRun = true
		outcome := fw.healthOutcome(ctx, clientCtx, fleet.Failed, err)
		var broken *attempt.BrokenError
		if errors.As(err, &broken) && broken.IsUnacknowledged() {
			outcome = fleet.Unreachable
			gw.opts.Pool.CloseIdle(target)
		}
		if ctx.Err() == nil {
			fi.Silent()
			fw.silent++
		}
		fw.observeCutShort(ctx, pl)
		fi.End(outcome, coldFor)
		fw.recordCrash(ctx, target, pl.sentAt, err)
		fw.recordFailedAttempt(pl, "broken", err)
		if fw.canRetry() {
			return stepRetry, err
		}
		return stepGiveUp, err
	}
	defer rs.Close()
	me := fw.noteResponse(ex)
	if me.NotExecuted {
		fw.rejected++
		fi.End(fleet.Neutral, coldFor)
		fw.recordFailedAttempt(pl, "rejected", &StatusError{status: rs.Status})
		rs.DiscardBody(maxDiscardedBytes, discardTimeout)
		if !me.Misdirected {
			gw.opts.Fleet.MarkRejecting(pl.view.ID, rejectionBackoff)
		}
		// A rejected attempt has not run, so it does not count as one of the route's attempts.
		if fw.rejected <= maxRejectedRetries && fw.sent < rq.route.MaxAttempts {
			return stepRetry, nil
		}
		return stepGiveUp, &RejectedError{endpoint: pl.view.ID}
	}
	fw.sent++
	fw.mayHaveRun = true
	if rs.Status >= http.StatusInternalServerError {
		fw.observeFailure(pl)
	}
	var (
		step nextStep
		oc   fleet.Outcome
	)
	switch {
	case promisesNotRun(rs.Status):
		step, oc, err = fw.withholdPromise(rs.Status)
	case rq.route.Kind == catalog.Streaming && rs.Status == http.StatusOK:
		step, oc, err = fw.relayStream(ctx, clientCtx, rs, ex.body, me, pl, fi)
	default:
		step, oc, err = fw.relayResponse(ctx, rs, ex.body, me, pl)
	}
	fi.End(fw.healthOutcome(ctx, clientCtx, oc, err), coldFor)
	if step == stepRetry || step == stepGiveUp {
		fw.recordCrash(ctx, target, pl.sentAt, err)
		fw.recordFailedAttempt(pl, "broken", err)
		return step, err
	}
	if oc == fleet.Succeeded {
		fw.clearSuspicion()
		if rq.route.Kind != catalog.Streaming && rs.Status < http.StatusMultipleChoices {
			fw.partRun.Succeeded()
		}
	}
	return step, nil
}

// noteResponse records what the header of a response says about its endpoint.
func (fw *forwarder) noteResponse(ex *exchange) ResponseMeta {
	ex.inFlight.Responded()
	for _, hd := range ex.response.Interim {
		fw.recordStatement(ex.pl, fw.gw.opts.Codec.DecodeResponseMeta(http.StatusContinue, hd).Statement, false)
	}
	me := fw.gw.opts.Codec.DecodeResponseMeta(ex.response.Status, ex.response.Header)
	fw.updateFleet(ex.pl, me)
	return me
}

// canRetry reports whether the request may run again at another endpoint.
func (fw *forwarder) canRetry() bool {
	fw.confirmOrigin()
	return fw.rq.route.IsRepeatable() && !fw.isRelayed && !fw.hasUnnumberedEvents && fw.sent < fw.rq.route.MaxAttempts &&
		fw.rq.deadline.Sub(fw.gw.opts.Clock.Now()) > minAttemptTime && fw.isOriginKnown()
}
