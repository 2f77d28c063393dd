package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/origin"
)

const errOtherSoftware = forwardError("the endpoint no longer has the software version that began the stream")

// findOrigin finds what began the stream that the client takes up. It reports whether the stream may go on.
func (fw *forwarder) findOrigin(ctx context.Context) bool {
	rq := fw.rq
	or, from := fw.gw.opts.Origins.Find(ctx, origin.Stream{Team: rq.teamName(), Request: rq.Resumes}, rq.service.Name)
	fw.logTakeUp(or, from)
	if from == origin.Unknown || or.Service != rq.service.Name {
		return false
	}
	fw.begun = &or
	return fw.isOriginKnown()
}

// logTakeUp logs what is known of the stream that the client takes up.
func (fw *forwarder) logTakeUp(or origin.Origin, from origin.Source) {
	fields := fw.gw.opts.ContactFields()
	fields["request"], fields["resumes"], fields["after-event"] = fw.rq.ID, fw.rq.Resumes, fw.rq.LastEventID
	fields["service"], fields["software"], fields["known-from"] = or.Service, or.Software, string(from)
	fields["relayed"] = fw.rq.relayedFrom != nil
	fw.gw.opts.Log.WithFields(fields).Info("Stream is taken up.")
}

// recordOrigin remembers which endpoint begins the stream, before its first event is forwarded.
func (fw *forwarder) recordOrigin(pl plan, fi *fleet.InFlight) {
	rq := fw.rq
	// A neighbour has recorded what it forwards.
	if fw.events > 0 || fw.isRelayed || !rq.canBeTakenUp() {
		return
	}
	if fw.begun == nil {
		fw.begun = &origin.Origin{Service: rq.service.Name}
		// An endpoint that has been restarted in the meantime may have another version than the one that was known.
		if fw.response.ConfirmStart() && fi.IsAt(pl.view.StartTimeMs, pl.view.SoftwareVersion) {
			fw.begun.Software = pl.view.SoftwareVersion
		}
		fw.beginning = &beginning{response: fw.response, inFlight: fi}
	}
	fw.gw.opts.Origins.Record(origin.Stream{Team: rq.teamName(), Request: rq.ID}, *fw.begun)
}

// isOriginKnown reports whether the software version at which a stream must go on is known. Without any versions all endpoints
// of the service count as having the same.
func (fw *forwarder) isOriginKnown() bool {
	return fw.begun == nil || fw.begun.Software != "" || fw.gw.opts.Origins.IsUnversioned(fw.begun.Service)
}

// refuseTakeUp refuses to resume a stream of which it is not known which software version began it, or that began at another
// service.
func (fw *forwarder) refuseTakeUp() {
	fw.gw.refuse(fw.w, fw.rq, http.StatusServiceUnavailable, "unknown-origin", 0, nil)
}

// targetLeft returns the time that is left until the first event would be late; zero if it has no target. A client that takes a
// stream up has the first event already.
func (fw *forwarder) targetLeft() time.Duration {
	if fw.rq.isTakeUp() {
		return 0
	}
	return fw.rq.route.TargetLatency - fw.gw.opts.Clock.Now().Sub(fw.rq.arrived)
}
