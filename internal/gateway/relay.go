package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/relay"
)

const (
	// headerAttempts is the header in which a host that passes a request on tells how many endpoints may have run it.
	headerAttempts = "Bergamotway-Attempts"
	// headerNotRun is the header of a refusal that a host has created itself for a request that it has not forwarded.
	headerNotRun = "Bergamotway-Not-Run"
	// headerUnserved is the header of a refusal that holds for the whole service: the host can't serve any request for it.
	headerUnserved = "Bergamotway-Unserved"
	// maxNeighbours is the number of neighbours that are tried for a request. Those that reach no endpoint either answer at once
	// and don't count, up to maxNeighbourTries in all.
	maxNeighbours     = 2
	maxNeighbourTries = 6
	// silentBeforeRelay is the number of silent endpoints after which a request takes the way through a neighbour.
	silentBeforeRelay = 2
	// unservedAvoidance and downAvoidance are how long a neighbour is avoided that can't serve a service, or can't be reached.
	unservedAvoidance = 2 * time.Second
	downAvoidance     = 2 * time.Second
	// maxRelayed bounds the requests of other hosts that a host has in flight. Beyond that its own clients would wait.
	maxRelayed = 256
)

const errNoNeighbour = forwardError("no endpoint responds to this host, and no other host takes the request")

// relayServer serves the requests that other hosts pass on.
type relayServer struct{ gw *Gateway }

// RelayHandler returns the handler for requests that other hosts pass on because they reach no endpoint of a service. Such a
// request is not passed on again.
func (gw *Gateway) RelayHandler() http.Handler { return relayServer{gw: gw} }

// IsRelayed reports whether a request of another host is one that it passes on.
func IsRelayed(hr *http.Request) bool { return hr.Header.Get(headerAttempts) != "" }

// ServeHTTP serves a request that another host passes on.
func (rs relayServer) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	attempts, err := strconv.Atoi(hr.Header.Get(headerAttempts))
	gw := rs.gw
	if err != nil || attempts < 0 {
		gw.refuse(w, &Request{relayedFrom: &relayedFrom{}}, http.StatusBadRequest, "malformed", 0, err)
		return
	}
	begun, err := decodeOrigin(hr.Header[headerOrigin])
	if err != nil {
		gw.refuse(w, &Request{relayedFrom: &relayedFrom{}}, http.StatusBadRequest, "malformed", 0, err)
		return
	}
	hr.Header.Del(headerAttempts)
	hr.Header.Del(headerOrigin)
	defer gw.relayed.Add(-1)
	if gw.relayed.Add(1) > maxRelayed {
		gw.refuse(w, &Request{relayedFrom: &relayedFrom{}}, http.StatusServiceUnavailable, "relay-full", transientRetryAfter, nil)
		return
	}
	gw.serve(w, hr, &relayedFrom{attempts: attempts, begun: begun})
}

// relayedFrom describes a request that another host has passed on.
type relayedFrom struct {
	// attempts is the number of endpoints that may have run it.
	attempts int
	// begun is what began the stream that the client takes up. It has no source if the other host does not say.
	begun origin.Finding
}

// takesNeighbour reports whether the next attempt goes through a neighbour: no endpoint of the service responds to this host, or
// several were silent in turn.
func (fw *forwarder) takesNeighbour() bool {
	if fw.gw.opts.Neighbours == nil || fw.rq.relayedFrom != nil || fw.headerWritten || fw.hasTriedNeighbours {
		return false
	}
	if fw.mayHaveRun && !fw.canRetry() {
		return false
	}
	return fw.silent >= silentBeforeRelay || fw.gw.opts.Fleet.IsCutOff(fw.rq.service.Name)
}

// tryNeighbours passes the request on to one neighbour after the other, until one has a response or may have run it.
func (fw *forwarder) tryNeighbours(ctx, clientCtx context.Context) (nextStep, error) {
	gw, rq := fw.gw, fw.rq
	fw.hasTriedNeighbours = true
	var lastErr error = errNoNeighbour
	tried := 0
	for _, ho := range fw.chooseNeighbours() {
		remaining := rq.deadline.Sub(gw.opts.Clock.Now())
		if remaining < minAttemptTime || clientCtx.Err() != nil || tried == maxNeighbours {
			break
		}
		step, isOver, err := fw.tryNeighbour(ctx, clientCtx, ho, remaining)
		if isOver {
			return step, err
		}
		lastErr = err
		var unserved *unservedError
		if !errors.As(err, &unserved) {
			tried++
		}
	}
	if fw.refusal != nil {
		fw.passOnRefusal()
		return stepDone, nil
	}
	if gw.opts.Fleet.IsCutOff(rq.service.Name) {
		return stepGiveUp, lastErr
	}
	return stepRetry, lastErr
}

// chooseNeighbours returns the neighbours to try. One of an earlier build, which does not read what began a stream, would guess it, and
// takes the end of a connection for the end of a stream.
func (fw *forwarder) chooseNeighbours() []relay.Host {
	if fw.rq.route.IsStream() {
		return fw.gw.opts.Neighbours.ChooseForStream(fw.rq.ID, fw.rq.service.Name, maxNeighbourTries)
	}
	return fw.gw.opts.Neighbours.Choose(fw.rq.ID, fw.rq.service.Name, maxNeighbourTries)
}

// tryNeighbour passes the request on to a neighbour. The result isOver reports that no other may be tried.
func (fw *forwarder) tryNeighbour(ctx, clientCtx context.Context, ho relay.Host, remaining time.Duration) (step nextStep, isOver bool, err error) {
	gw, rq := fw.gw, fw.rq
	pl := plan{view: fleet.View{Entry: fleet.Entry{ID: ho.Name, Address: ho.Address.String()}}, sentAt: gw.opts.Clock.Now()}
	fw.endpointID = ho.Name
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head := gw.opts.Codec.EncodeRelayHeader(rq, remaining, http.Header{headerAttempts: {strconv.Itoa(fw.sent)}, headerOrigin: fw.encodeOrigin()})
	rs, err := gw.opts.RelayPool.Send(ctx, pl.target(), 0, rq.Method, head, rq.Body)
	var unsent *attempt.NotSentError
	switch {
	case errors.As(err, &unsent):
		if ctx.Err() == nil {
			gw.opts.Neighbours.Avoid(ho.Name, "", downAvoidance)
		}
		fw.recordFailedAttempt(pl, "neighbour-not-sent", err)
		return stepRetry, false, err
	case err != nil:
		fw.sent++
		fw.mayHaveRun = true
		if ctx.Err() == nil {
			gw.opts.Neighbours.Avoid(ho.Name, "", downAvoidance)
		}
		fw.recordFailedAttempt(pl, "neighbour-broken", err)
		return stepGiveUp, !fw.canRetry(), err
	}
	defer rs.Close()
	if rs.Header.Get(headerNotRun) != "" {
		return stepRetry, false, fw.handleNeighbourRefusal(rs, pl)
	}
	me := gw.opts.Codec.DecodeResponseMeta(rs.Status, rs.Header)
	fw.sent++
	fw.mayHaveRun = true
	fw.isRelayed = true
	switch {
	case promisesNotRun(rs.Status):
		step, _, err = fw.withholdPromise(rs.Status)
	case rq.route.IsStream() && rs.Status == http.StatusOK:
		step, _, err = fw.relayStream(ctx, clientCtx, rs, rs, me, pl, nil)
	default:
		step, _, err = fw.relayResponse(ctx, rs, rs, me, pl)
	}
	if step == stepRetry || step == stepGiveUp {
		fw.recordFailedAttempt(pl, "neighbour-broken", err)
		return stepGiveUp, true, err
	}
	return step, true, nil
}

// handleNeighbourRefusal handles a refusal of a neighbour, which has not forwarded the request.
func (fw *forwarder) handleNeighbourRefusal(rs *attempt.Response, pl plan) error {
	var err error = &StatusError{status: rs.Status}
	if rs.Header.Get(headerUnserved) != "" {
		fw.gw.opts.Neighbours.Avoid(pl.view.ID, fw.rq.service.Name, unservedAvoidance)
		err = &unservedError{host: pl.view.ID}
	}
	fw.recordFailedAttempt(pl, "neighbour-refused", err)
	if text := rs.Header.Get("Retry-After"); text != "" && rs.Status == http.StatusServiceUnavailable {
		fw.refusal = &neighbourRefusal{retryAfter: text, cause: err}
	}
	rs.DiscardBody(maxDiscardedBytes, discardTimeout)
	return err
}

// unservedError reports a neighbour that reaches no endpoint of the service either.
type unservedError struct{ host string }

// Error returns a message with the name of the host.
func (e *unservedError) Error() string {
	return "gateway: host " + e.host + " reaches no endpoint of the service either"
}

// neighbourRefusal is a refusal that says when the client may come back.
type neighbourRefusal struct {
	retryAfter string
	cause      error
}

// passOnRefusal refuses the request as a neighbour did.
func (fw *forwarder) passOnRefusal() {
	if fw.mayHaveRun {
		fw.refuse("overloaded", fw.refusal.cause)
		return
	}
	seconds, err := strconv.ParseFloat(fw.refusal.retryAfter, 64)
	retryAfter := transientRetryAfter
	if err == nil && seconds >= 0 {
		left := fw.rq.deadline.Sub(fw.gw.opts.Clock.Now())
		// The smaller number is converted, since a duration can't hold all others.
		retryAfter = time.Duration(min(seconds, left.Seconds()/3) * float64(time.Second))
	}
	fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, "neighbour-refused", retryAfter, fw.refusal.cause)
}

// refuseUnserved refuses a request that another host has passed on although this one reaches no endpoint either.
func (fw *forwarder) refuseUnserved() {
	fw.w.Header().Set(headerUnserved, "1")
	fw.refuse("no-endpoint", nil)
}

// markNotRun tells a host that has passed a request on that it has not been forwarded. Outcomes that are not known have the
// statuses 502 and 504.
func markNotRun(w http.ResponseWriter, rq *Request, status int) {
	if rq.relayedFrom != nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		w.Header().Set(headerNotRun, "1")
	}
}
