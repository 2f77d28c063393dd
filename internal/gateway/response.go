package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

var errResponseSize = forwardError("the response exceeds the size limit")

// skipStaleResponses discards responses on the connection that belong to earlier requests.
func (fw *forwarder) skipStaleResponses(rs *attempt.Response) error {
	for range maxStaleResponses {
		me := fw.gw.opts.Codec.DecodeResponseMeta(rs.Status, rs.Header)
		if me.RequestID == fw.rq.ID || (me.RequestID == "" && !rs.Reused) {
			return nil
		}
		if me.RequestID == "" {
			rs.Close()
			return forwardError("the response carries no request ID on a reused connection")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(rs, maxStaleResponseBytes))
		if err == nil && n == maxStaleResponseBytes {
			err = errResponseSize
		}
		if err != nil {
			rs.Close()
			return errors.Wrap(err, "gateway: response to an earlier request")
		}
		if err := rs.Next(); err != nil {
			rs.Close()
			return err
		}
	}
	rs.Close()
	return forwardError("the connection carries too many responses to earlier requests")
}

// copyHeader copies the header of a response, but for the fields by which hosts tell each other of refusals.
func (fw *forwarder) copyHeader(header http.Header) {
	hd := fw.w.Header()
	fw.gw.opts.Codec.CopyResponseHeader(hd, header)
	hd.Del(headerNotRun)
	hd.Del(headerUnserved)
}

// relayResponse forwards a response that is not a stream. It holds back the first maxBufferedResponseBytes:
// if the response breaks off within them, the request can still be retried. They are read from body.
func (fw *forwarder) relayResponse(ctx context.Context, rs *attempt.Response, body io.Reader, me ResponseMeta, pl plan) (nextStep, fleet.Outcome, error) {
	rq := fw.rq
	if fw.headerWritten {
		// The client has the first events of a stream, to which only events may be added.
		step, _, err := fw.retryOrGiveUp(&StatusError{status: rs.Status})
		return step, fleet.Neutral, err
	}
	head, err := readHead(body, rs.BodyLength(), rs.Hold)
	success := rs.Status >= 200 && rs.Status < 300
	if err == nil && ((success && !me.Sealed) || me.ContentEncoded) {
		err = forwardError("the response is not sealed by the endpoint or has been re-encoded")
	}
	if err != nil {
		return fw.retryOrGiveUp(err)
	}
	outcome := fleet.Succeeded
	if rs.Status < http.StatusInternalServerError {
		fw.observeFirstByte(pl)
	}
	if rs.Status >= http.StatusInternalServerError {
		outcome = fleet.Neutral
		if rq.route.Kind == catalog.Idempotent && fw.canRetry() {
			if len(head) < maxBufferedResponseBytes {
				fw.holdFailure(rs, head, pl)
			}
			return stepRetry, outcome, &StatusError{status: rs.Status}
		}
	}
	isLong := len(head) == maxBufferedResponseBytes
	if !isLong {
		if err := fw.confirmEnd(ctx, rs); err != nil {
			return fw.retryOrGiveUp(err)
		}
	}
	fw.observeWait()
	if success {
		fw.observeAnswer(pl)
	}
	if isLong {
		fw.copyHeader(rs.Header)
		return fw.relayLongResponse(ctx, rs, body, head, pl, outcome)
	}
	if err := fw.writeWhole(rs.Status, rs.Header, head, rs.BodyLength()); err != nil {
		fw.setClientLinger(ctx, resetOnClose)
		fw.recordUnwritten(rs, err)
		return stepBreakOff, outcome, nil
	}
	fw.recordEndWithPlan("answered", rs.Status, nil, pl)
	return stepDone, outcome, nil
}

// relayLongResponse forwards a response that is longer than head, its first bytes, as the rest arrives from body. If the
// response breaks off, may have, or exceeds maxResponseBytes, the client's connection is cut, so that the client does
// not take it for complete.
func (fw *forwarder) relayLongResponse(ctx context.Context, rs *attempt.Response, body io.Reader, head []byte, pl plan, outcome fleet.Outcome) (nextStep, fleet.Outcome, error) {
	if length := rs.BodyLength(); length >= 0 {
		fw.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	fw.headerWritten = true
	fw.setClientLinger(ctx, resetOnClose)
	fw.w.WriteHeader(rs.Status)
	fw.releaseBody()
	if err := fw.writeToClient(head, cap(head)); err != nil {
		fw.recordUnwritten(rs, err)
		return stepBreakOff, outcome, nil
	}
	// Giving bytes back does not fail.
	_ = rs.Hold(copyBufferBytes)
	// The response must end before the limit, so one byte more is an error.
	limited := &io.LimitedReader{R: body, N: maxResponseBytes + 1 - int64(len(head))}
	_, err := io.CopyBuffer(clientWriter{fw: fw, held: copyBufferBytes}, limited, make([]byte, copyBufferBytes))
	var broken *attempt.BrokenError
	switch {
	case errors.As(err, &broken):
		return stepGiveUp, fleet.Failed, err
	case err != nil:
		fw.recordUnwritten(rs, err)
		return stepBreakOff, outcome, nil
	case limited.N <= 0:
		return stepGiveUp, fleet.Failed, errResponseSize
	}
	if err := fw.confirmEnd(ctx, rs); err != nil {
		return stepGiveUp, fleet.Failed, err
	}
	if err := fw.writeToClient(nil, 0); err != nil {
		fw.recordUnwritten(rs, err)
		return stepBreakOff, outcome, nil
	}
	fw.setClientLinger(ctx, endOnClose)
	fw.recordEndWithPlan("answered", rs.Status, nil, pl)
	return stepDone, outcome, nil
}
