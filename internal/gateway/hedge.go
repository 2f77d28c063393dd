package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/hedge"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	// maxSkippedEvents is the number of events without data after which a stream counts as begun.
	maxSkippedEvents = 8
	// maxSkippedBytes is the length of the events without data after which a stream counts as begun.
	maxSkippedBytes = 16 << 10
)

// endpointFilter restricts the choice of an endpoint. The zero value allows all.
type endpointFilter struct {
	// needsRoom excludes endpoints without room for an extra attempt.
	needsRoom bool
	// maxEstimate is the longest expected time to first token; zero means any.
	maxEstimate time.Duration
	// isUnfilled leaves out of the plan what changes the state of the cache.
	isUnfilled bool
}

func (ef endpointFilter) admits(vw fleet.View) bool { return !ef.needsRoom || hasRoom(vw) }

func (ef endpointFilter) admitsEstimate(d time.Duration) bool {
	return ef.maxEstimate == 0 || d <= ef.maxEstimate
}

// hasRoom reports whether an endpoint can take an extra attempt without delaying other requests.
func hasRoom(vw fleet.View) bool {
	return !vw.Avoided && !vw.Cold && !vw.Loading && !vw.Draining && !vw.Limited && !vw.Waiting && !vw.Brittle && !vw.OtherStart &&
		(vw.Slots <= 0 || vw.TotalLoad().Requests < vw.Slots)
}

// isHedgeable reports whether the request may have a second attempt while the first one is under way.
func (fw *forwarder) isHedgeable() bool {
	he, rq := fw.gw.opts.Hedger, fw.rq
	return he != nil && rq.route.IsRepeatable() && rq.relayedFrom == nil && !rq.isTakeUp() && fw.begun == nil && !fw.headerWritten &&
		!fw.isRelayed && he.IsAllowed(rq.service.Name, rq.route.Name)
}

// latencyClass returns the class of answers to which that of an attempt belongs.
func (fw *forwarder) latencyClass(pl plan) hedge.Class {
	return hedge.Class{Service: fw.rq.service.Name, Route: fw.rq.route.Name, Size: hedge.SizeOf(pl.prefillTokens)}
}

// observeAnswer records how long the answer to an attempt took to begin.
func (fw *forwarder) observeAnswer(pl plan) {
	if fw.isHedgeable() {
		fw.gw.opts.Hedger.Observe(fw.latencyClass(pl), fw.gw.opts.Clock.Now().Sub(pl.sentAt))
	}
}

// hedgeDelay returns the time after which an attempt may be followed by a second one; ok is false if it may not.
func (fw *forwarder) hedgeDelay(ex *exchange) (d time.Duration, ok bool) {
	if !fw.isHedgeable() {
		return 0, false
	}
	return fw.gw.opts.Hedger.Threshold(fw.latencyClass(ex.pl))
}

// sendHedged sends the request of an exchange, and once more to another endpoint if the answer has not begun after delay. It
// returns the exchange whose answer begins first, and ends the other. Of an answer that is not a stream all is read that can be
// held back, so that the other may still win if it breaks off.
func (fw *forwarder) sendHedged(ctx, clientCtx context.Context, first *exchange, delay time.Duration) *exchange {
	arrivals := make(chan *exchange, 2)
	start := func(ex *exchange) {
		go func() {
			defer func() {
				ex.panicked = recover()
				arrivals <- ex
			}()
			fw.send(ex)
			fw.readBeginning(ex)
		}()
	}
	start(first)
	timer := fw.gw.opts.Clock.After(delay)
	var second *exchange
	running := 1
	for {
		select {
		case <-timer:
			if clientDisconnected(clientCtx) || ctx.Err() != nil {
				continue
			}
			if second = fw.hedge(ctx, first, delay); second != nil {
				running++
				start(second)
			}
		case ex := <-arrivals:
			running--
			if ex.panicked != nil {
				// The server of the clients recovers from it.
				panic(ex.panicked)
			}
			isUsable := fw.isUsable(ex)
			if running > 0 && !isUsable {
				fw.setAside(clientCtx, ex)
				continue
			}
			if second != nil {
				fw.recordRace(isUsable && ex == second)
			}
			if running > 0 {
				other := first
				if ex == first {
					other = second
				}
				fw.abandon(other, arrivals)
			}
			return ex
		}
	}
}

// recordRace records whether the answer of the second attempt is used.
func (fw *forwarder) recordRace(hasWon bool) {
	fw.hedged = "lost"
	if hasWon {
		fw.hedged = "won"
		fw.gw.opts.Meter.Hedged("won", fw.rq.route.Name)
	}
}

// hedge begins a second attempt. It returns nil if there is to be none.
func (fw *forwarder) hedge(ctx context.Context, first *exchange, threshold time.Duration) *exchange {
	ex, verdict := fw.planHedge(threshold)
	outcome := "hedged"
	if ex == nil {
		outcome = "withheld-" + string(verdict)
	}
	fw.gw.opts.Meter.Hedged(outcome, fw.rq.route.Name)
	if ex == nil {
		fw.hedged = outcome
		return nil
	}
	fw.prepare(ctx, ex)
	fw.gw.opts.Log.WithField("request", fw.rq.ID).WithField("endpoint", first.pl.view.ID).WithField("second", ex.pl.view.ID).
		WithField("threshold-ms", milliseconds(threshold)).Debug("Request was hedged.")
	return ex
}

// planHedge decides on a second attempt, and counts it in all limits.
func (fw *forwarder) planHedge(threshold time.Duration) (*exchange, hedge.Verdict) {
	gw, rq := fw.gw, fw.rq
	he := gw.opts.Hedger
	remaining := rq.deadline.Sub(gw.opts.Clock.Now())
	si := hedge.Situation{
		Attempts: fw.sent + 1, MaxAttempts: rq.route.MaxAttempts, Remaining: remaining, Threshold: threshold, IsSuspected: fw.isSuspected(),
		CountRoom: fw.countRoom,
	}
	if verdict := he.Decide(rq.service.Name, rq.route.Name, si); verdict != hedge.Due {
		return nil, verdict
	}
	pl, ok := fw.chooseEndpoint(remaining, endpointFilter{needsRoom: true, maxEstimate: threshold, isUnfilled: true})
	switch {
	case !ok:
		return nil, hedge.NoEndpoint
	case !he.Take(rq.service.Name, rq.route.Name):
		return nil, hedge.Share
	case !gw.opts.Budget.TrySpare(rq.service.Name):
		return nil, hedge.RetryBudget
	}
	ex := fw.begin(pl)
	if ex == nil {
		return nil, hedge.NoEndpoint
	}
	if !gw.opts.Rollouts.TrySend(rq.service.Name, pl.view.SoftwareVersion) {
		ex.inFlight.End(fleet.Neutral, 0)
		return nil, hedge.NoEndpoint
	}
	if rq.Model != "" && rq.service.Engine != nil {
		fw.fillDelivery(&ex.pl, true)
	}
	return ex, hedge.Due
}

// countRoom counts the endpoints of the service, and those of them with room. Samples leave out those without.
func (fw *forwarder) countRoom() (endpoints, withRoom int) {
	views := fw.gw.opts.Fleet.Views(fw.rq.service.Name)
	for _, vw := range views {
		if hasRoom(vw) {
			withRoom++
		}
	}
	return len(views), withRoom
}

// isSuspected reports whether the request, or a part of its prompt, may be one that crashes endpoints.
func (fw *forwarder) isSuspected() bool {
	if fw.gw.opts.Parts.SuspectCount() > 0 && len(fw.rq.PromptParts) > 1 {
		return true
	}
	tr := fw.gw.opts.Quarantine
	return tr.SuspectCount() > 0 && tr.State(fw.fingerprint()) != quarantine.Clear
}

// readBeginning reads the first event of a stream, or all of another response that can be held back. It changes only the exchange.
func (fw *forwarder) readBeginning(ex *exchange) {
	if ex.err != nil || !fw.isAnswer(ex) {
		return
	}
	re := &replay{source: ex.response}
	defer re.rewind()
	ex.body = re
	hold := func(n int) error { return ex.response.Hold(len(re.kept) + n) }
	if fw.rq.route.Kind != catalog.Streaming || ex.response.Status != http.StatusOK {
		_, ex.bodyErr = readHead(re, ex.response.BodyLength(), hold)
		return
	}
	br := bufio.NewReader(re)
	for i := 0; i < maxSkippedEvents && len(re.kept) < maxSkippedBytes; i++ {
		event, err := readEvent(br, hold)
		if err != nil {
			ex.bodyErr = err
			return
		}
		if _, hasID := eventID(event); hasID || hasData(event) {
			return
		}
	}
}

// isAnswer reports whether the header of a response is that of an answer, and not of a failure or a rejection.
func (fw *forwarder) isAnswer(ex *exchange) bool {
	rs := ex.response
	me := fw.gw.opts.Codec.DecodeResponseMeta(rs.Status, rs.Header)
	isSuccess := rs.Status >= http.StatusOK && rs.Status < http.StatusMultipleChoices
	return !me.NotExecuted && !promisesNotRun(rs.Status) && !me.ContentEncoded && (me.Sealed || !isSuccess) && rs.Status < http.StatusInternalServerError
}

// isUsable reports whether the response of an exchange can be relayed, as far as it has been read.
func (fw *forwarder) isUsable(ex *exchange) bool {
	return ex.err == nil && ex.bodyErr == nil && fw.isAnswer(ex)
}

// setAside ends an exchange without a usable response while the other one is under way.
func (fw *forwarder) setAside(clientCtx context.Context, ex *exchange) {
	defer ex.cancel()
	rs, pl := ex.response, ex.pl
	if ex.err != nil || fw.gw.opts.Codec.DecodeResponseMeta(rs.Status, rs.Header).NotExecuted {
		// Without a response to relay nothing is written to the client. The other exchange is the retry.
		_, _ = fw.conclude(clientCtx, ex)
		return
	}
	defer rs.Close()
	defer ex.endWait()
	fw.noteResponse(ex)
	fw.sent++
	fw.mayHaveRun = true
	outcome, err := fleet.Neutral, ex.bodyErr
	if err != nil && !errors.Is(err, io.EOF) {
		outcome = fw.healthOutcome(ex.ctx, clientCtx, fleet.Failed, err)
		fw.recordCrash(ex.ctx, pl.target(), pl.sentAt, err)
	} else if err == nil {
		err = &StatusError{status: rs.Status}
		if rs.Status >= http.StatusInternalServerError && !promisesNotRun(rs.Status) {
			fw.readFailure(ex)
		}
	}
	ex.inFlight.End(outcome, fw.rq.service.ColdDuration)
	fw.recordFailedAttempt(pl, "broken", err)
}

// readFailure reads and holds the failure that an endpoint reports, unless it is long or takes longer than discardTimeout.
func (fw *forwarder) readFailure(ex *exchange) {
	rs := ex.response
	if !rs.IsDelimited() || rs.BodyLength() > maxHeldFailureBytes {
		return
	}
	timer := time.AfterFunc(discardTimeout, ex.cancel)
	defer timer.Stop()
	if body, err := io.ReadAll(io.LimitReader(rs, maxHeldFailureBytes+1)); err == nil {
		fw.holdFailure(rs, body, ex.pl)
	}
}

// abandon cancels the exchange that has not won, which closes its connection. It may have run, and says nothing about its endpoint.
func (fw *forwarder) abandon(ex *exchange, arrivals <-chan *exchange) {
	ex.cancel()
	ex.endWait()
	fw.sent++
	fw.mayHaveRun = true
	fw.gw.opts.Hedger.Observe(fw.latencyClass(ex.pl), ex.age(fw.gw.opts.Clock.Now()))
	fw.gw.opts.Meter.Hedged("cancelled", fw.rq.route.Name)
	ex.inFlight.End(fleet.Neutral, fw.rq.service.ColdDuration)
	go func() {
		if late := <-arrivals; late.response != nil {
			late.response.Close()
		}
	}()
}
