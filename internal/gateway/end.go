package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/placement"
)

// expire ends a request whose deadline has passed or is too close for another attempt.
func (fw *forwarder) expire(cause error) {
	if fw.headerWritten {
		fw.abort("expired", http.StatusOK, cause)
	}
	if fw.passOnFailure(cause) {
		return
	}
	if fw.mayHaveRun {
		fw.gw.refuse(fw.w, fw.rq, http.StatusGatewayTimeout, "expired", 0, cause)
		return
	}
	fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, "expired-unsent", transientRetryAfter, cause)
}

// fail ends a request that is not retried any further.
func (fw *forwarder) fail(clientCtx context.Context, cause error) {
	switch {
	case clientCtx.Err() != nil:
		fw.abort("client-left", 0, cause)
	case fw.headerWritten:
		fw.abort("broken", http.StatusOK, cause)
	case !fw.gw.opts.Clock.Now().Before(fw.rq.deadline):
		fw.expire(cause)
	case fw.passOnFailure(cause):
	case fw.mayHaveRun:
		fw.gw.refuse(fw.w, fw.rq, http.StatusBadGateway, "outcome-unknown", 0, cause)
	default:
		fw.refuse("rejected", cause)
	}
}

// refuse responds that the request has not run, or that its outcome is unknown. It aborts a response that
// has already begun.
func (fw *forwarder) refuse(reason string, cause error) {
	switch {
	case fw.headerWritten:
		fw.abort(reason, http.StatusOK, cause)
	case fw.passOnFailure(cause):
	case fw.mayHaveRun:
		fw.gw.refuse(fw.w, fw.rq, http.StatusBadGateway, "outcome-unknown", 0, cause)
	default:
		fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, reason, transientRetryAfter, cause)
	}
}

// refuseUnplaced refuses a request for which there is no endpoint.
func (fw *forwarder) refuseUnplaced(remaining time.Duration, cause error) {
	wait, isLimited := fw.gw.opts.Fleet.UntilAvailable(fw.rq.service.Name)
	if !isLimited || fw.headerWritten || fw.mayHaveRun {
		fw.refuse("no-endpoint", cause)
		return
	}
	fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, "limited", placement.RetryAfterWait(fw.rq.ID, wait, remaining), cause)
}

// refuseOverdue refuses a request that is expected to miss its target or deadline. If an endpoint may
// have run it already, its outcome is reported as unknown.
func (fw *forwarder) refuseOverdue(pl plan, remaining time.Duration, cause error) {
	if fw.mayHaveRun {
		fw.refuse("overloaded", cause)
		return
	}
	retryAfter := placement.RetryAfter(fw.rq.ID, pl.expectedTTFT, fw.rq.route.TargetLatency, remaining)
	fw.gw.opts.Codec.WriteRefusalHeader(fw.w.Header(), fw.rq, retryAfter)
	markNotRun(fw.w, fw.rq, http.StatusServiceUnavailable)
	fw.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fw.gw.setWriteDeadline(fw.w)
	fw.w.WriteHeader(http.StatusServiceUnavailable)
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(fw.w, "overloaded\n")
	fields := pl.logFields()
	fields["retry-after-ms"] = retryAfter.Milliseconds()
	fw.gw.recordEnd(fw.rq, "overloaded", http.StatusServiceUnavailable, cause, fields)
}

// abort ends the request without a complete response.
func (fw *forwarder) abort(reason string, status int, cause error) {
	fw.recordEnd(reason, status, cause)
	fw.breakOff()
}

// breakOff breaks the connection to the client, so that the client cannot take the response for complete. A
// client may have closed only its sending side, and still reads.
func (fw *forwarder) breakOff() {
	if fw.resetOnAbort {
		fw.resetClient()
	}
	panic(http.ErrAbortHandler)
}

// resetClient resets the connection to the client.
func (fw *forwarder) resetClient() {
	conn, _, err := http.NewResponseController(fw.w).Hijack()
	if err != nil {
		fw.gw.opts.Log.WithError(err).WithField("request", fw.rq.ID).Warn("Cannot reset the connection to a client.")
		return
	}
	if tc, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tc.SetLinger(0)
	}
	_ = conn.Close()
}

func (fw *forwarder) recordEnd(outcome string, status int, cause error) {
	fw.gw.recordEnd(fw.rq, outcome, status, cause, fw.logFields())
}

func (fw *forwarder) recordEndWithPlan(outcome string, status int, cause error, pl plan) {
	fields := fw.logFields()
	for key, value := range pl.logFields() {
		fields[key] = value
	}
	fw.gw.recordEnd(fw.rq, outcome, status, cause, fields)
}

func (fw *forwarder) logFields() logrus.Fields {
	fields := logrus.Fields{"endpoint": fw.endpointID, "sent": fw.sent, "rejected": fw.rejected, "unsent": fw.unsent}
	if fw.endEvidence != "" {
		fields["whole-by"] = string(fw.endEvidence)
	}
	if fw.wait > 0 {
		fields["wait-ms"] = milliseconds(fw.wait)
	}
	if fw.hedged != "" {
		fields["hedged"] = fw.hedged
	}
	if fw.rq.service.Engine != nil && fw.rq.Model != "" {
		fw.cacheOwner.addLogFields(fields, fw.gw.opts.Freshness)
	}
	if fw.order.steps > 0 {
		fields["id-gaps"] = fw.order.gaps
	}
	return fields
}

// recordFailedAttempt counts and logs a failed attempt.
func (fw *forwarder) recordFailedAttempt(pl plan, outcome string, err error) {
	fw.gw.opts.Meter.Retried(outcome, fw.rq.route.Name)
	fields := pl.logFields()
	fields["request"] = fw.rq.ID
	fields["outcome"] = outcome
	fields["ms"] = fw.gw.opts.Clock.Now().Sub(fw.rq.arrived).Milliseconds()
	if err != nil {
		fields["cause"] = err.Error()
	}
	if fw.rq.relayedFrom != nil {
		fields["relayed"] = true
	}
	fw.gw.opts.Log.WithFields(fields).Info("Attempt failed.")
}
