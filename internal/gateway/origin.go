package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/origin"
)

const (
	// headerOrigin is the header in which a host that passes a take-up on tells what began the stream.
	headerOrigin = "Bergamotway-Origin"
	// originService, originSoftware and originSource are its fields.
	originService  = "service"
	originSoftware = "software"
	originSource   = "source"

	errOtherSoftware = forwardError("the endpoint no longer has the software version that began the stream")
	errOddOrigin     = forwardError("the origin that another host passed on is malformed")
)

// findOrigin finds what began the stream that the client takes up. It reports whether the stream may go on.
func (fw *forwarder) findOrigin(ctx context.Context) bool {
	rq := fw.rq
	var fi origin.Finding
	if from := rq.relayedFrom; from != nil && from.begun.Source != "" {
		fi = from.begun
	} else {
		fi = fw.gw.opts.Origins.Find(ctx, origin.Stream{Team: rq.teamName(), Request: rq.Resumes}, rq.service.Name)
	}
	fw.logTakeUp(fi)
	if !fi.IsKnown() || fi.Origin.Service != rq.service.Name {
		return false
	}
	fw.begun, fw.isOnlyVersion = &fi.Origin, fi.IsSole
	return true
}

// logTakeUp logs what is known of the stream that the client takes up.
func (fw *forwarder) logTakeUp(fi origin.Finding) {
	fields := fw.gw.opts.ContactFields()
	fields["request"], fields["resumes"], fields["after-event"] = fw.rq.ID, fw.rq.Resumes, fw.rq.LastEventID
	fields["service"], fields["software"], fields["known-from"] = fi.Origin.Service, fi.Origin.Software, string(fi.Source)
	fields["known-by"], fields["known-age-ms"] = strings.Join(fi.Hosts, " "), fi.Age.Milliseconds()
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
		fw.isOnlyVersion = fw.gw.opts.Origins.IsSole(rq.service.Name)
	}
	fw.gw.opts.Origins.Record(origin.Stream{Team: rq.teamName(), Request: rq.ID}, *fw.begun)
}

// isOriginKnown reports whether the software version at which a stream must go on is known. Without any versions all endpoints
// of the service count as having the same, if that held when the stream was begun or taken up, and still does.
func (fw *forwarder) isOriginKnown() bool {
	return fw.begun == nil || fw.begun.Software != "" || (fw.isOnlyVersion && fw.gw.opts.Origins.IsUnversioned(fw.begun.Service))
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

// encodeOrigin encodes what began the stream for another host. It is empty, which drops the header of a client, if that is open.
func (fw *forwarder) encodeOrigin() []string {
	if fw.begun == nil {
		return []string{}
	}
	values := url.Values{originService: {fw.begun.Service}, originSoftware: {fw.begun.Software}}
	if fw.isOnlyVersion {
		values.Set(originSource, string(origin.OnlyVersion))
	}
	return []string{values.Encode()}
}

// decodeOrigin decodes what another host knows of the beginning of a stream. The finding has no source if it says nothing.
func decodeOrigin(texts []string) (origin.Finding, error) {
	if len(texts) == 0 {
		return origin.Finding{}, nil
	}
	values, err := url.ParseQuery(texts[0])
	if err != nil || len(texts) > 1 || len(values[originService]) != 1 || len(values[originSoftware]) != 1 || values.Get(originService) == "" {
		return origin.Finding{}, errOddOrigin
	}
	fi := origin.Finding{Origin: origin.Origin{Service: values.Get(originService), Software: values.Get(originSoftware)}, Source: origin.Relayed}
	switch source, ok := values[originSource]; {
	case !ok:
	case len(source) == 1 && source[0] == string(origin.OnlyVersion):
		fi.IsSole = true
	default:
		return origin.Finding{}, errOddOrigin
	}
	return fi, nil
}
