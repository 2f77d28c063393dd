package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

const (
	// eventBytes bounds one event of a stream.
	eventBytes = 1 << 20
	// writeLimit bounds writing one event to a client that does not read.
	writeLimit = 5 * time.Second
)

var (
	idField       = []byte("id:")
	errEventOrder = failure("an event has no place in the stream")
	errEventSize  = failure("an event is too large")
)

// stream returns the events of an answer as they arrive. Only whole events are passed on, so that a
// stream that breaks can go on at another endpoint after its last event.
func (fw *forwarding) stream(ctx, client context.Context, an *attempt.Answer, me Meta, pl plan, ti *fleet.Ticket) (verdict, fleet.Outcome, error) {
	if !me.Sealed || me.Encoded {
		return fw.broken(failure("the stream is not the endpoint's own"))
	}
	br := bufio.NewReader(an)
	flush := http.NewResponseController(fw.w)
	for {
		event, err := readEvent(br)
		switch {
		case errors.Is(err, io.EOF) && len(event) == 0:
			fw.begin(an)
			fw.endStream(pl)
			return finished, fleet.Good, nil
		case err != nil:
			return fw.broken(err)
		}
		ti.Read()
		if pl.first == 0 {
			pl.first = fw.gw.opts.Clock.Now().Sub(pl.sent)
			fw.observe(pl)
		}
		id, has := eventID(event)
		if has && !fw.follows(id) {
			return fw.broken(errEventOrder)
		}
		if !fw.started {
			fw.gw.opts.Meter.FirstToken(fw.rq.route.Name, fw.gw.opts.Clock.Now().Sub(fw.rq.arrived))
		}
		fw.begin(an)
		if fw.pinned == 0 {
			fw.pinned = pl.delivery.Version
		}
		// A writer without deadlines is bounded by the deadline of the request.
		_ = flush.SetWriteDeadline(fw.gw.opts.Clock.Now().Add(writeLimit))
		if _, err := fw.w.Write(event); err != nil {
			fw.end("client-left", an.Status, err)
			return finished, fleet.Neutral, nil
		}
		if err := flush.Flush(); err != nil {
			fw.end("client-left", an.Status, err)
			return finished, fleet.Neutral, nil
		}
		fw.events++
		if has {
			fw.lastEvent = id
		}
		if client.Err() != nil || ctx.Err() != nil {
			return fw.broken(ctx.Err())
		}
	}
}

// begin writes the header of the first endpoint's answer, once.
func (fw *forwarding) begin(an *attempt.Answer) {
	if fw.started {
		return
	}
	fw.started = true
	fw.gw.opts.Codec.Answer(fw.w.Header(), an.Header)
	fw.w.WriteHeader(an.Status)
}

func (fw *forwarding) broken(err error) (verdict, fleet.Outcome, error) {
	if fw.repeats() {
		return again, fleet.Failed, err
	}
	return giveUp, fleet.Failed, err
}

// follows reports whether an event may come next.
func (fw *forwarding) follows(id string) bool {
	if fw.lastEvent == "" {
		return true
	}
	last, err := strconv.ParseUint(fw.lastEvent, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseUint(id, 10, 64)
	return err == nil && next > last
}

func (fw *forwarding) endStream(pl plan) {
	fw.endAt("answered", http.StatusOK, nil, pl)
}

// readEvent reads up to the empty line behind an event. It returns io.EOF without data at the end
// of the stream, and io.ErrUnexpectedEOF if the stream ends within an event.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var event []byte
	start := 0
	for {
		part, err := br.ReadSlice('\n')
		event = append(event, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(event) > eventBytes:
			return nil, errEventSize
		case len(bytes.TrimRight(event[start:], "\r\n")) == 0:
			return event, nil
		}
		start = len(event)
	}
}

// eventID returns the identifier of an event; ok is false if it has none.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if rest, is := bytes.CutPrefix(line, idField); is {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}
