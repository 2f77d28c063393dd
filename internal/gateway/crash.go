package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

// fingerprint returns the fingerprint of the request, which equal requests of one team share.
func (fw *forwarder) fingerprint() quarantine.Fingerprint {
	if fw.cachedFingerprint == "" {
		team := ""
		if fw.rq.team != nil {
			team = fw.rq.team.Name
		}
		fw.cachedFingerprint = quarantine.NewFingerprint(team, fw.rq.Method+" "+fw.rq.Host+" "+fw.rq.URI, fw.rq.Body)
	}
	return fw.cachedFingerprint
}

// isQuarantined reports whether the request has been running during so many crashes that it must not run
// again.
func (fw *forwarder) isQuarantined() bool {
	tr := fw.gw.opts.Quarantine
	return tr.SuspectCount() > 0 && tr.State(fw.fingerprint()) == quarantine.Refused
}

// recordCrash records that the request was running at an endpoint that crashed. A broken exchange counts
// as a crash if the endpoint refuses connections afterwards.
func (fw *forwarder) recordCrash(ctx context.Context, target attempt.Target, sentAt time.Time, err error) {
	var broken *attempt.BrokenError
	if !errors.As(err, &broken) || broken.IsUnacknowledged() || ctx.Err() != nil {
		return
	}
	detectedAt := fw.gw.opts.Clock.Now()
	if fw.gw.opts.Fleet.IsCutOff(fw.rq.service.Name) {
		return
	}
	if !fw.gw.opts.Pool.RefusesConnections(ctx, target) {
		return
	}
	crashID := target.String()
	fw.partRun.Crashed(crashID, detectedAt)
	fw.gw.opts.Quarantine.RecordReport(quarantine.Report{Fingerprint: fw.fingerprint(), CrashID: crashID, RunStart: sentAt, DetectedAt: detectedAt})
	fw.gw.opts.Log.WithFields(logrus.Fields{
		"request": fw.rq.ID, "fingerprint": fw.fingerprint(), "crash": crashID,
		"ran-ms": milliseconds(detectedAt.Sub(sentAt)), "refused": fw.isQuarantined(),
	}).Info("Endpoint crashed under a request.")
}

// clearSuspicion clears the request after an endpoint has responded to it without crashing.
func (fw *forwarder) clearSuspicion() {
	if fw.gw.opts.Quarantine.SuspectCount() > 0 {
		fw.gw.opts.Quarantine.ClearSuspect(fw.fingerprint())
	}
}

// refuseBlocked refuses a request because of a part of its prompt.
func (fw *forwarder) refuseBlocked(cause error) {
	retryAfter := time.Duration(0)
	var blocked *quarantine.BlockedError
	if errors.As(cause, &blocked) && blocked.IsTransient() {
		retryAfter = transientRetryAfter
	}
	fw.refuseQuarantined(retryAfter, cause)
}

// refuseQuarantined refuses a request that is expected to crash another endpoint.
func (fw *forwarder) refuseQuarantined(retryAfter time.Duration, cause error) {
	if fw.headerWritten || fw.mayHaveRun {
		fw.refuse("crashes-endpoints", cause)
		return
	}
	fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, "crashes-endpoints", retryAfter, cause)
}
