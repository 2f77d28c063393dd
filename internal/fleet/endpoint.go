// Package fleet holds what a host knows of the endpoints: their entries in the metadata store, the outcome
// of requests to them, and the load on them from this host and its peers.
package fleet

import (
	"slices"
	"time"
)

type (
	// Entry is what an endpoint registers about itself in the metadata store.
	Entry struct {
		// ID identifies the endpoint; a restarted endpoint usually has a new one.
		ID string
		// Service is the name of the service that the endpoint belongs to.
		Service string
		// Address is an IP address and a port.
		Address string
		// Zone is the availability zone.
		Zone string
		// Slots is the number of requests that the endpoint runs at a time.
		Slots int
		// Draining endpoints accept no new requests.
		Draining bool
		// ColdFor is the remaining time for which the endpoint is cold, counted from the writing of the entry.
		ColdFor time.Duration
		// StartTimeMs is the start time of the endpoint in Unix milliseconds; zero if it is not reported.
		StartTimeMs int64
		// SoftwareVersion is the version of the endpoint's software, not of its weights; empty if it is not reported.
		SoftwareVersion string
		// Models maps the names of the models that it serves to the versions of their weights.
		Models map[string]uint64
	}

	// Load is the load on an endpoint from the in-flight requests of one or more hosts.
	Load struct {
		// Requests is the number of in-flight requests.
		Requests int
		// Tokens is the KV cache memory that they take, in tokens.
		Tokens int
		// PrefillTokens is the number of prompt tokens that are not prefilled yet.
		PrefillTokens int
	}

	// View is a snapshot of what the host knows of an endpoint.
	View struct {
		Entry
		// OwnLoad and PeerLoad are the loads from this host and from all others.
		OwnLoad, PeerLoad Load
		// Avoided marks an endpoint that recently was unreachable or rejected a request, or that several
		// peers report as down.
		Avoided bool
		// FailureShare is the moving average of the share of failed requests, 0 to 1.
		FailureShare float64
		// Cold marks an endpoint that started recently.
		Cold bool
		// Loading marks an endpoint that loads new weights or is about to.
		Loading bool
		// Limited marks an endpoint that names a limit of requests, and Waiting one that wants no requests from this host now.
		Limited, Waiting bool
		// Brittle marks an endpoint that says that requests which it turns away do harm.
		Brittle bool
		// OtherStart marks an endpoint of which another start answers than the entry describes. Its software version is not known.
		OtherStart bool
		// Retained marks an endpoint whose entry disappeared during or soon after an outage of the metadata store.
		Retained bool
	}

	endpoint struct {
		hash              uint64
		entry             Entry
		weightsReportedAt time.Time
		ownLoad           Load
		peerLoads         []peerLoad
		avoidUntil        time.Time
		rejectingUntil    time.Time
		backoff           time.Duration
		failureShare      float64
		coldUntil         time.Time
		loadingUntil      time.Time
		retainedUntil     time.Time
		drainingSince     time.Time
		otherStart        bool
		coldBucket        rateBucket
		said              statements
		residentParts     residentSet
		// zoneRank is the position in the order of the service's zoneCount endpoints in the availability zone, if the
		// service is ordered.
		zoneRank, zoneCount int
	}

	peerLoad struct {
		peer       string
		load       Load
		reportedAt time.Time
	}
)

// TotalLoad returns the load from all hosts.
func (vw View) TotalLoad() Load {
	return Load{
		Requests:      vw.OwnLoad.Requests + vw.PeerLoad.Requests,
		Tokens:        vw.OwnLoad.Tokens + vw.PeerLoad.Tokens,
		PrefillTokens: vw.OwnLoad.PrefillTokens + vw.PeerLoad.PrefillTokens,
	}
}

func (fl *Fleet) view(ep *endpoint, now time.Time) View {
	vw := View{
		Entry:        ep.entry,
		OwnLoad:      ep.ownLoad,
		Avoided:      now.Before(ep.avoidUntil),
		FailureShare: ep.failureShare,
		Cold:         now.Before(ep.coldUntil),
		Loading:      now.Before(ep.loadingUntil),
		Limited:      fl.hasLimit(ep, now),
		Waiting:      ep.said.wait.isHeld(now),
		Brittle:      ep.said.brittle.holds(now),
		OtherStart:   ep.otherStart,
		Retained:     !ep.retainedUntil.IsZero(),
	}
	for _, pl := range ep.peerLoads {
		if now.Sub(pl.reportedAt) > maxPeerLoadAge {
			continue
		}
		vw.PeerLoad.Requests += pl.load.Requests
		vw.PeerLoad.Tokens += pl.load.Tokens
		vw.PeerLoad.PrefillTokens += pl.load.PrefillTokens
	}
	return vw
}

// Version returns the version of a model's weights; ok is false if the endpoint does not serve the model.
func (en Entry) Version(model string) (version uint64, ok bool) {
	version, ok = en.Models[model]
	return version, ok
}

// sameStart reports whether two entries belong to the same start of an endpoint.
func (en Entry) sameStart(other Entry) bool {
	return en.Address == other.Address && en.StartTimeMs == other.StartTimeMs
}

// residentSet is an estimate of the prompt parts that are in the memory of an endpoint. The least recently
// used part comes first and is evicted first.
type residentSet struct {
	parts  []residentPart
	tokens int
}

type residentPart struct {
	key    string
	tokens int
}

func (rs *residentSet) add(key string, tokens, capacity int) {
	if i := slices.IndexFunc(rs.parts, func(rp residentPart) bool { return rp.key == key }); i >= 0 {
		rs.tokens -= rs.parts[i].tokens
		rs.parts = slices.Delete(rs.parts, i, i+1)
	}
	rs.parts = append(rs.parts, residentPart{key: key, tokens: tokens})
	rs.tokens += tokens
	for rs.tokens > capacity && len(rs.parts) > 0 {
		rs.tokens -= rs.parts[0].tokens
		rs.parts = rs.parts[1:]
	}
}

func (rs *residentSet) contains(key string) bool {
	return slices.ContainsFunc(rs.parts, func(rp residentPart) bool { return rp.key == key })
}
