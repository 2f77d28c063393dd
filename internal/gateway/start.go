package gateway

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/placement"
)

// beginning is the attempt that began a stream.
type beginning struct {
	response *attempt.Response
	inFlight *fleet.InFlight
}

// startNeed returns what an attempt needs of the start that its endpoint is known by. Only streams that may be taken up depend on it.
func (fw *forwarder) startNeed(pl plan) attempt.StartNeed {
	switch {
	case pl.view.SoftwareVersion == "":
		return attempt.AnyStart
	case fw.begun != nil:
		return attempt.VerifiedStart
	case !fw.rq.canBeTakenUp() || pl.view.OtherStart:
		return attempt.AnyStart
	case fw.gw.opts.Origins.IsSole(fw.rq.service.Name):
		return attempt.KnownStart
	}
	// Endpoints are being replaced. One that has started again in place may answer before its entry is read.
	return attempt.VerifiedStart
}

// isUnrecorded reports whether a stream that begins at an endpoint may not be able to go on, since its software version is not known
// to all hosts.
func (fw *forwarder) isUnrecorded(vw fleet.View) bool {
	return fw.rq.canBeTakenUp() && (vw.OtherStart || !fw.gw.opts.IsSoftwareRecorded(fw.rq.service.Name, vw.SoftwareVersion))
}

// admitOtherStarts makes candidates of which another start answers equal to the others. It reports whether there are any.
func admitOtherStarts(cands []placement.Candidate) bool {
	found := false
	for i := range cands {
		if cands[i].OtherStart {
			cands[i].Unrecorded, found = false, true
		}
	}
	return found
}

// noteOtherStart notes that another start of an endpoint answers than the known one. A stream may still begin there, as the last
// choice.
func (fw *forwarder) noteOtherStart(pl plan) {
	if fw.begun == nil {
		fw.tried = slices.DeleteFunc(fw.tried, func(id string) bool { return id == pl.view.ID })
	}
	if fw.gw.opts.Fleet.MarkOtherStart(pl.view.ID, pl.view.StartTimeMs) {
		fw.gw.opts.Log.WithFields(logrus.Fields{
			"endpoint": pl.view.ID, "service": pl.view.Service, "born": pl.view.StartTimeMs, "software": pl.view.SoftwareVersion,
		}).Warn("Another start of an endpoint answers.")
	}
}

// confirmOrigin compares what was known when the stream began with what is known when it breaks off. If its endpoint has another
// software version by then, and did not say on the connection which start it is, the version that began the stream is not known.
func (fw *forwarder) confirmOrigin() {
	be := fw.beginning
	fw.beginning = nil
	if be == nil || fw.begun.Software == "" || be.response.IsStartVerified() || be.inFlight.IsSoftware(fw.begun.Software) {
		return
	}
	fw.begun = &origin.Origin{Service: fw.begun.Service}
	fw.gw.opts.Origins.Record(origin.Stream{Team: fw.rq.teamName(), Request: fw.rq.ID}, *fw.begun)
}
