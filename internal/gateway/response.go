package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

// skipStaleResponses discards responses on the connection that belong to earlier requests.
func (fw *forwarder) skipStaleResponses(rs *attempt.Response) error {
	for {
		me := fw.gw.opts.Codec.DecodeResponseMeta(rs.Status, rs.Header)
		if me.RequestID == fw.rq.ID || (me.RequestID == "" && !rs.Reused) {
			return nil
		}
		if me.RequestID == "" {
			rs.Close()
			return forwardError("the response carries no request ID on a reused connection")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(rs, maxBufferedResponseBytes)); err != nil {
			rs.Close()
			return err
		}
		if err := rs.Next(); err != nil {
			rs.Close()
			return err
		}
	}
}

// relayBuffered reads the response to its end and then writes it to the client.
func (fw *forwarder) relayBuffered(rs *attempt.Response, me ResponseMeta, pl plan) (nextStep, fleet.Outcome, error) {
	rq := fw.rq
	body, err := io.ReadAll(io.LimitReader(rs, maxBufferedResponseBytes))
	success := rs.Status >= 200 && rs.Status < 300
	if err == nil && ((success && !me.Sealed) || me.ContentEncoded) {
		err = forwardError("the response is not sealed by the endpoint or has been re-encoded")
	}
	if err != nil {
		if fw.canRetry() {
			return stepRetry, fleet.Failed, err
		}
		return stepGiveUp, fleet.Failed, err
	}
	outcome := fleet.Succeeded
	if rs.Status >= http.StatusInternalServerError {
		outcome = fleet.Neutral
		if rq.route.Kind == catalog.Idempotent && fw.canRetry() {
			return stepRetry, outcome, &StatusError{status: rs.Status}
		}
	}
	fw.gw.opts.Meter.ObserveFirstToken(rq.route.Name, fw.gw.opts.Clock.Now().Sub(rq.arrived))
	hd := fw.w.Header()
	fw.gw.opts.Codec.CopyResponseHeader(hd, rs.Header)
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	fw.w.WriteHeader(rs.Status)
	if rq.Method != http.MethodHead {
		if _, err := fw.w.Write(body); err != nil {
			fw.recordEnd("client-left", rs.Status, err)
			return stepDone, outcome, nil
		}
	}
	fw.recordEndWithPlan("answered", rs.Status, nil, pl)
	return stepDone, outcome, nil
}
