package gateway

import (
	"context"
	"time"

	"github.com/bergamotway/bergamotway/internal/canary"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

const errVersionHeld = forwardError("the software version of the endpoint gets no more requests at the moment")

type (
	// Rollouts bounds the requests to software versions that are being rolled out, and learns from their responses. It must be safe
	// for concurrent use.
	Rollouts interface {
		// RecordRequest counts a request of a client that is about to be sent for the first time.
		RecordRequest(service string)
		// Choose returns which endpoints an attempt may go to. AvoidsNew is set for all attempts but the first.
		Choose(service, request string, avoidsNew bool) canary.Choice
		// TrySend reports whether a request may be sent to an endpoint with a software version now, and counts it if so.
		TrySend(service, software string) bool
		// Observe records a response of an endpoint.
		Observe(re canary.Response)
		// ObserveEnd records how long a request was at an endpoint of a service.
		ObserveEnd(service string, took time.Duration)
	}

	// noRollouts allows everything.
	noRollouts struct{}
)

var _ Rollouts = (*canary.Tracker)(nil)

func (noRollouts) RecordRequest(string) {}

func (noRollouts) Choose(string, string, bool) canary.Choice { return canary.Choice{} }

func (noRollouts) TrySend(string, string) bool { return true }

func (noRollouts) Observe(canary.Response) {}

func (noRollouts) ObserveEnd(string, time.Duration) {}

// chooseEndpoint plans the next attempt; ok is false if no endpoint that the filter admits is available.
func (fw *forwarder) chooseEndpoint(remaining time.Duration, ef endpointFilter) (pl plan, ok bool) {
	ch := fw.gw.opts.Rollouts.Choose(fw.rq.service.Name, fw.rq.ID, len(fw.tried) > 0)
	pl, ok = fw.planAmong(softwareFilter(ch), remaining, ef)
	isLate := ok && !ch.IsStrict && fw.isOverdue(pl.leastTTFT, remaining)
	if other, has := ch.Fallback(); has && fw.begun == nil && (!ok || isLate) {
		return fw.planAmong(softwareFilter(other), remaining, ef)
	}
	return pl, ok
}

// countForRollout counts the request before it is sent for the first time, since one that is refused never reaches the service. The
// host that took it from the client counts it if it sends it itself.
func (fw *forwarder) countForRollout() {
	if fw.isCounted || fw.rq.relayedFrom != nil {
		return
	}
	fw.isCounted = true
	fw.gw.opts.Rollouts.RecordRequest(fw.rq.service.Name)
}

func softwareFilter(ch canary.Choice) fleet.SoftwareFilter {
	return fleet.SoftwareFilter{Only: ch.Only, Except: ch.Except, Limit: ch.Canaries}
}

// observeFirstByte records the time to the first byte of a response.
func (fw *forwarder) observeFirstByte(pl plan) { fw.observe(pl, canary.Response{}) }

// observeFailure records a response that is an error.
func (fw *forwarder) observeFailure(pl plan) { fw.observe(pl, canary.Response{Failed: true}) }

// observeCutShort records an attempt that the client or the deadline has ended before the first byte.
func (fw *forwarder) observeCutShort(ctx context.Context, pl plan) {
	if ctx.Err() != nil {
		fw.observe(pl, canary.Response{IsCutShort: true})
	}
}

// observeEnd records how long an attempt has taken. The endpoints behind a neighbour are not known.
func (fw *forwarder) observeEnd(pl plan) {
	if pl.view.Service != "" {
		fw.gw.opts.Rollouts.ObserveEnd(pl.view.Service, fw.gw.opts.Clock.Now().Sub(pl.sentAt))
	}
}

// observe records a response as of now. The endpoints behind a neighbour are not known.
func (fw *forwarder) observe(pl plan, re canary.Response) {
	if pl.view.Service == "" {
		return
	}
	re.Service, re.Software, re.Route, re.Endpoint = pl.view.Service, pl.view.SoftwareVersion, fw.rq.route.Name, pl.view.ID
	re.Cold, re.FirstByte, re.Estimate = pl.view.Cold, fw.gw.opts.Clock.Now().Sub(pl.sentAt), pl.expectedTTFT
	fw.gw.opts.Rollouts.Observe(re)
}
