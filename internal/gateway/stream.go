package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

const (
	// maxEventBytes bounds one event of a stream; some hundred endless events must fit into the memory of a
	// host.
	maxEventBytes = 128 << 10
)

var (
	eventIDField     = []byte("id:")
	dataField        = []byte("data:")
	errEventOrder    = forwardError("the event ID does not follow the last one of the stream")
	errEventMissing  = forwardError("the event that continues the stream is not the next one")
	errEventRepeated = forwardError("the event that continues the stream is the last one again")
	errNoEventID     = forwardError("the event that continues the stream has no ID")
	errEventSize     = forwardError("the event exceeds the size limit")
	errNoEvent       = forwardError("the stream ended before its first event, and the endpoint has stopped")
	errEventEnd      = forwardError("the stream ended within an event")
)

// relayStream forwards the events of a response as they arrive. It forwards only whole events, so that a
// broken stream can resume at another endpoint after the last one. The events are read from body.
func (fw *forwarder) relayStream(ctx, clientCtx context.Context, rs *attempt.Response, body io.Reader, me ResponseMeta, pl plan, fi *fleet.InFlight) (nextStep, fleet.Outcome, error) {
	if !me.Sealed || me.ContentEncoded {
		return fw.retryOrGiveUp(forwardError("the stream is not sealed by the endpoint or has been re-encoded"))
	}
	br := bufio.NewReader(body)
	begun, continues := false, fw.headerWritten
	var idle idleEvents
	for {
		event, err := readEvent(br, rs.Hold)
		switch {
		case errors.Is(err, io.EOF) && len(event) == 0:
			if err := fw.confirmStreamEnd(ctx, rs, pl, begun); err != nil {
				return fw.retryOrGiveUp(err)
			}
			fw.writeHeader(rs)
			fw.setClientLinger(clientCtx, endOnClose)
			fw.recordStreamEnd(pl)
			return stepDone, fleet.Succeeded, nil
		case errors.Is(err, errEventEnd):
			return fw.retryOrGiveUp(rs.BrokenError(err))
		case err != nil:
			if pl.ttft == 0 {
				fw.observeCutShort(ctx, pl)
			}
			return fw.retryOrGiveUp(err)
		}
		if fi != nil {
			fi.MarkPrefilled()
		}
		if pl.ttft == 0 {
			pl.ttft = fw.gw.opts.Clock.Now().Sub(pl.sentAt)
			fw.observeAnswer(pl)
			fw.observeFetches(pl)
			fw.observeFirstByte(pl)
		}
		id, hasID := eventID(event)
		if hasID {
			if err := fw.order.Check(id, !begun); err != nil {
				return fw.retryOrGiveUp(err)
			}
		}
		if !hasID && continues && !begun && !isComment(event) {
			return fw.retryOrGiveUp(errNoEventID)
		}
		if hasID || hasData(event) {
			if !begun {
				fw.observeFirstToken(pl)
			}
			begun = true
			fw.partRun.Succeeded()
			idle.reset()
		} else if idle.isFlood(event, fw.gw.opts.Clock.Now()) {
			return fw.retryOrGiveUp(errIdleEvents)
		}
		if !fw.headerWritten {
			fw.observeWait()
		}
		fw.recordOrigin(pl, fi)
		if !fw.headerWritten {
			fw.setClientLinger(clientCtx, resetOnClose)
		}
		fw.writeHeader(rs)
		if fw.pinnedVersion == 0 {
			fw.pinnedVersion = pl.delivery.WeightVersion
		}
		if !fw.rq.route.IsRepeatable() {
			fw.releaseBody()
		}
		if err := fw.writeToClient(event, cap(event)); err != nil {
			fw.recordUnwritten(rs, err)
			return stepBreakOff, fleet.Neutral, nil
		}
		fw.events++
		switch {
		case hasID:
			fw.order.Record(id)
			fw.hasUnnumberedEvents = false
		case hasData(event) || (fw.order.lastID == "" && !isComment(event)):
			fw.hasUnnumberedEvents = true
		}
		if clientCtx.Err() != nil || ctx.Err() != nil {
			return fw.retryOrGiveUp(ctx.Err())
		}
	}
}

// writeHeader writes the response header of the first endpoint that streams, once.
func (fw *forwarder) writeHeader(rs *attempt.Response) {
	if fw.headerWritten {
		return
	}
	fw.headerWritten = true
	fw.copyHeader(rs.Header)
	fw.w.WriteHeader(rs.Status)
}

// retryOrGiveUp returns the next step, the outcome and the error of a stream that failed with err.
func (fw *forwarder) retryOrGiveUp(err error) (nextStep, fleet.Outcome, error) {
	if fw.canRetry() {
		return stepRetry, fleet.Failed, err
	}
	return stepGiveUp, fleet.Failed, err
}

func (fw *forwarder) recordStreamEnd(pl plan) {
	fw.recordEndWithPlan("answered", http.StatusOK, nil, pl)
}

// readEvent reads an event up to and including the empty line that ends it. It returns io.EOF without
// data at the end of the stream, and errEventEnd if the stream ends within an event. Hold is told how many bytes it holds.
func readEvent(br *bufio.Reader, hold func(n int) error) ([]byte, error) {
	var event []byte
	lineStart := 0
	// Giving bytes back does not fail.
	_ = hold(0)
	for {
		chunk, err := br.ReadSlice('\n')
		event = append(event, chunk...)
		if herr := hold(cap(event)); herr != nil {
			return nil, herr
		}
		switch {
		case len(event) > maxEventBytes:
			return nil, errEventSize
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, errEventEnd
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0:
			return event, nil
		}
		lineStart = len(event)
	}
}

// hasData reports whether an event has a data field. Empty events and comments only keep a connection alive.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

// isComment reports whether an event has no fields.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event; ok is false if it has none, or an empty one, after which no stream can resume.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, eventIDField); found {
			id = string(bytes.TrimSpace(rest))
			return id, id != ""
		}
	}
	return "", false
}
