package gateway

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/timing"
)

const (
	// maxFreshHosts is the largest number of hosts among which each receives the loads of all others
	// directly.
	maxFreshHosts = 12
	// sampleSizeFresh bounds the endpoints among which a request chooses; sampleSizeStale and
	// sampleSizeStalePlain apply to more than maxFreshHosts hosts, to engines and to plain services.
	// With more hosts the loads are some 60 ms older, and all hosts would send to the few endpoints that
	// were idle then, so each request considers a small sample of its own. A sample of 8 engines does no
	// better than one of 4.
	sampleSizeFresh      = 18
	sampleSizeStale      = 4
	sampleSizeStalePlain = 2
	// crossZoneFactor is the transfer time between zones relative to that within a zone.
	crossZoneFactor = 2
	bitsPerByte     = 8
	// maxFetchPrefillRatio bounds the time to fetch a part relative to its prefill time; fetchSlack is
	// added. A fetch may take longer than the prefill, because prefill delays the other requests at the
	// engine as much as this one.
	maxFetchPrefillRatio = 4
	fetchSlack           = 60 * time.Millisecond
	// fetchTimeoutFactor is the timeout for all fetches of a request relative to their estimated time, and
	// minFetchTimeout its lower bound. The engine abandons the fetches after it.
	fetchTimeoutFactor = 4
	minFetchTimeout    = 200 * time.Millisecond
)

// plan is the chosen endpoint of one attempt, with the estimates and the options of the request to it.
type plan struct {
	view         fleet.View
	load         fleet.Load
	delivery     DeliveryOptions
	expectedTTFT time.Duration
	// leastTTFT is expectedTTFT, or less with the default times of an engine. Requests are refused by it.
	leastTTFT time.Duration
	// expectedEngineTime is the part of expectedTTFT for the engine itself.
	expectedEngineTime time.Duration
	// expectedDuration is the time to the last token of a response that is as long as it may be.
	expectedDuration time.Duration
	candidates       int
	prefillTokens    int
	fetchTime        time.Duration
	sources          []source
	lane             engineLane
	// timing holds the times of the engine.
	timing timing.Engine
	sentAt time.Time
	// wait is the wait for the first event of an engine; nil for other endpoints.
	wait *timing.Wait
	ttft time.Duration
}

// source is a cache store from which a part is fetched. NominalTime is the time of the transfer by the
// store's link rate and queue; EstimatedTime is the nominal time scaled by how slow its recent transfers were.
type source struct {
	Address       string        `json:"address"`
	Tokens        int           `json:"tokens"`
	Queued        int           `json:"queued"`
	NominalTime   time.Duration `json:"-"`
	EstimatedTime time.Duration `json:"-"`
}

// target returns the endpoint of the attempt.
func (pl plan) target() attempt.Target {
	return attempt.Target{ID: pl.view.ID, Address: pl.view.Address, StartTimeMs: pl.view.StartTimeMs}
}

func (pl plan) logFields() logrus.Fields {
	sum := pl.view.TotalLoad()
	return logrus.Fields{
		"endpoint": pl.view.ID, "software": pl.view.SoftwareVersion, "estimate-ms": milliseconds(pl.expectedTTFT), "options": pl.candidates,
		"running": sum.Requests, "tokens": sum.Tokens, "unread": sum.PrefillTokens,
		"read": pl.prefillTokens, "fetch-ms": milliseconds(pl.fetchTime), "first-ms": milliseconds(pl.ttft), "sources": pl.sources,
		"lane": pl.lane.lane.String(), "lane-from": math.Round(100*pl.lane.part.From) / 100, "lane-to": math.Round(100*pl.lane.part.To) / 100,
	}
}

// planAmong plans the next attempt at an endpoint that a filter selects, or at one with the version that began the stream; ok is
// false if none is available.
func (fw *forwarder) planAmong(sf fleet.SoftwareFilter, remaining time.Duration, ef endpointFilter) (pl plan, ok bool) {
	gw, rq := fw.gw, fw.rq
	homeZone, sampleSize := fw.sampleBounds()
	var views []fleet.View
	if fw.begun == nil {
		views = fw.sampleEngines(sf, homeZone, sampleSize)
	} else {
		fw.usedLane = engineLane{}
		views = gw.opts.Fleet.SampleSoftware(rq.service.Name, fw.begun.Software, homeZone, rq.ID, sampleSize)
	}
	job := fw.newJob()
	cands := fw.newCandidates(job, views, ef)
	ch, ok := gw.opts.Policy.Choose(job, rq.conversationID(), cands)
	if fw.leavesLane(cands, ch, ok) {
		cands = fw.newCandidates(job, gw.opts.Fleet.SampleVersions(rq.service.Name, sf, homeZone, rq.ID, sampleSize), ef)
		ch, ok = gw.opts.Policy.Choose(job, rq.conversationID(), cands)
	}
	if ok && fw.isOverdue(ch.LeastEstimate, remaining) && admitOtherStarts(cands) {
		ch, ok = gw.opts.Policy.Choose(job, rq.conversationID(), cands)
	}
	if !ok || !ef.admitsEstimate(ch.FirstTokenEstimate) {
		return plan{}, false
	}
	ca := cands[ch.Index]
	pl = plan{
		view:               ca.View,
		load:               fleet.Load{Requests: 1, Tokens: job.MemoryTokens, PrefillTokens: ca.PrefillTokens},
		expectedTTFT:       ch.FirstTokenEstimate,
		leastTTFT:          ch.LeastEstimate,
		expectedEngineTime: ch.EngineEstimate,
		expectedDuration:   ch.DurationEstimate,
		candidates:         len(cands),
		prefillTokens:      ca.PrefillTokens,
		fetchTime:          ca.FetchTime,
		lane:               fw.usedLane,
		timing:             ca.Timing,
		delivery:           DeliveryOptions{Instance: ca.ID, Remaining: remaining, Urgency: rq.urgency(), WeightVersion: fw.pinnedVersion},
	}
	if rq.team != nil {
		pl.delivery.Team = rq.team.Name
	}
	if job.Model != "" && !ef.isUnfilled {
		fw.fillDelivery(&pl, false)
	}
	return pl, true
}

// newJob describes the request for the decision.
func (fw *forwarder) newJob() placement.Job {
	gw, rq := fw.gw, fw.rq
	job := placement.Job{ID: rq.ID, Zone: gw.opts.Zone, Tried: fw.tried}
	if rq.service.Engine == nil || rq.Model == "" {
		return job
	}
	job.Model, job.MemoryTokens, job.OutputTokens = rq.Model, rq.memoryTokens(), rq.MaxOutputTokens
	job.Version = gw.opts.TargetVersion(rq.Model)
	if fw.pinnedVersion > 0 {
		job.Version, job.VersionRequired = fw.pinnedVersion, true
	}
	return job
}

// newCandidates returns the endpoints with the work of the request at each.
func (fw *forwarder) newCandidates(job placement.Job, views []fleet.View, ef endpointFilter) []placement.Candidate {
	cands := make([]placement.Candidate, 0, len(views))
	for _, vw := range views {
		if ef.admits(vw) {
			cands = append(cands, placement.Candidate{View: vw, Unrecorded: fw.isUnrecorded(vw)})
		}
	}
	if job.Model != "" {
		fw.estimatePrefillAndFetch(cands)
	}
	return cands
}

// sampleBounds returns the zone that holds the conversation's KV cache, empty if no zone is preferred, and
// the number of endpoints among which to choose.
func (fw *forwarder) sampleBounds() (homeZone string, size int) {
	gw, rq := fw.gw, fw.rq
	if gw.opts.HostCount() <= maxFreshHosts {
		return "", sampleSizeFresh
	}
	if rq.service.Engine == nil || rq.Model == "" {
		return "", sampleSizeStalePlain
	}
	if len(rq.PromptParts) < 2 {
		return "", sampleSizeStale
	}
	pt := rq.PromptParts[len(rq.PromptParts)-2]
	part := cachedir.Part{Salt: fw.cacheSalt(gw.opts.TargetVersion(rq.Model)), ID: pt.ID}
	return gw.opts.Cache.HomeZone(part, pt.Tokens), sampleSizeStale
}

// estimatePrefillAndFetch sets for each candidate the prompt tokens to prefill and the time to fetch the
// others.
func (fw *forwarder) estimatePrefillAndFetch(cands []placement.Candidate) {
	rq, en := fw.rq, fw.rq.service.Engine
	locationsByVersion := make(map[uint64][][]cachedir.Location)
	for i := range cands {
		ca := &cands[i]
		ca.CapacityTokens = fw.usedLane.capacityTokens(en.CapacityTokens)
		ca.Timing = fw.gw.opts.Timing.Engine(rq.service.Name, ca.ID)
		version, _ := ca.Version(rq.Model)
		ca.Expired = fw.gw.opts.IsVersionExpired(rq.Model, version)
		if left, ok := fw.gw.opts.WeightsTimeLeft(rq.Model, version); ok {
			ca.TimeLeft = max(left, time.Nanosecond)
		}
		if _, ok := locationsByVersion[version]; !ok {
			salt := fw.cacheSalt(version)
			locations := make([][]cachedir.Location, len(rq.PromptParts))
			for k := range max(0, len(rq.PromptParts)-1) {
				locations[k] = fw.gw.opts.Cache.Find(cachedir.Part{Salt: salt, ID: rq.PromptParts[k].ID})
			}
			locationsByVersion[version] = locations
		}
		locations := locationsByVersion[version]
		ca.PrefillTokens = rq.PromptTokens
		for k := range max(0, len(rq.PromptParts)-1) {
			pt := rq.PromptParts[k]
			if fw.gw.opts.Fleet.IsResident(ca.ID, fw.cacheSalt(version)+pt.ID) {
				ca.PrefillTokens -= pt.Tokens
				continue
			}
			if len(locations[k]) == 0 {
				// All parts after one that must be prefilled are prefilled as well.
				break
			}
			_, estimated, _ := fastestStore(locations[k], ca.Zone, rq.ID, pt.Tokens, en.TokenBytes)
			if !worthFetching(estimated, ca.Timing, pt.Tokens) {
				break
			}
			ca.FetchTime += estimated
			ca.PrefillTokens -= pt.Tokens
		}
		ca.PrefillTokens = max(0, ca.PrefillTokens)
	}
}

// fillDelivery sets the salt, the weight version, and the stores from which parts are fetched and to
// which they are saved.
func (fw *forwarder) fillDelivery(pl *plan, isSecond bool) {
	rq, en, ca := fw.rq, fw.rq.service.Engine, pl.view
	version, _ := ca.Version(rq.Model)
	pl.delivery.WeightVersion = version
	salt := fw.cacheSalt(version)
	pl.delivery.CacheSalt = salt
	if len(rq.PromptParts) < 2 {
		return
	}
	fetch := make([]string, len(rq.PromptParts))
	save := make([]string, len(rq.PromptParts))
	hasFetch, hasSave := false, false
	var (
		totalEstimate time.Duration
		storeClock    int64
	)
	for k, pt := range rq.PromptParts[:len(rq.PromptParts)-1] {
		cp := cachedir.Part{Salt: salt, ID: pt.ID}
		locs := fw.gw.opts.Cache.Find(cp)
		shared := k < len(rq.PromptParts)-2
		if shared && !isSecond {
			fw.gw.opts.Cache.CountUse(cp)
		}
		if lo, estimated, nominal := fastestStore(locs, ca.Zone, rq.ID, pt.Tokens, en.TokenBytes); len(locs) > 0 && worthFetching(estimated, pl.timing, pt.Tokens) {
			fetch[k], hasFetch = lo.Address, true
			pl.sources = append(pl.sources, source{
				Address: lo.Address, Tokens: pt.Tokens, Queued: lo.QueuedTokens, NominalTime: nominal, EstimatedTime: estimated,
			})
			totalEstimate += estimated
			storeClock = lo.Clock
		} else if version < fw.gw.opts.TargetVersion(rq.Model) || fw.cacheOwner.isSeparate() {
			// Parts of outdated weights, and those of a separate cache, soon become useless in a store.
			continue
		} else if !isSecond {
			if address := fw.gw.opts.Cache.Claim(cp, pt.Tokens, shared); address != "" {
				save[k], hasSave = address, true
			}
		}
		fw.gw.opts.Fleet.MarkResident(ca.ID, salt+pt.ID, pt.Tokens, en.CapacityTokens)
	}
	if hasFetch {
		pl.delivery.FetchFrom = fetch
		timeout := min(max(fetchTimeoutFactor*totalEstimate, minFetchTimeout), cachedir.MaxFetchTime)
		pl.delivery.FetchDeadlineMs = storeClock + timeout.Milliseconds()
	}
	if hasSave {
		pl.delivery.SaveTo = save
	}
}

// fastestStore returns the store with the shortest estimated time to fetch a part, that estimate, and
// the nominal time, which ignores how slow recent transfers were. A store runs its transfers one after
// another, so its queue adds to both.
//
// A hash of the request ID breaks ties between stores, so that the load spreads over all links.
func fastestStore(locs []cachedir.Location, zone, request string, tokens, tokenBytes int) (best cachedir.Location, estimated, nominal time.Duration) {
	var bestScore uint64
	key := rendezvous.Hash(request)
	for i, lo := range locs {
		secondsPerToken := float64(tokenBytes) * bitsPerByte / (lo.LinkMbps * 1e6)
		seconds := float64(tokens) * secondsPerToken
		if lo.Zone != zone {
			seconds *= crossZoneFactor
		}
		seconds += float64(lo.QueuedTokens) * secondsPerToken
		nominalTime := lo.SetupLatency + time.Duration(seconds*float64(time.Second))
		estimatedTime := time.Duration(float64(nominalTime) * lo.Slowness)
		score := uint64(0)
		if len(locs) > 1 {
			score = rendezvous.Score(key, rendezvous.Hash(lo.Address))
		}
		if i == 0 || estimatedTime < estimated || (estimatedTime == estimated && score > bestScore) {
			best, estimated, nominal, bestScore = lo, estimatedTime, nominalTime, score
		}
	}
	return best, estimated, nominal
}

// worthFetching reports whether a part should be fetched rather than prefilled by an engine.
func worthFetching(fetchTime time.Duration, en timing.Engine, tokens int) bool {
	prefillTime := time.Duration(en.PrefillMs(tokens) * float64(time.Millisecond))
	return fetchTime <= maxFetchPrefillRatio*prefillTime+fetchSlack
}

// recordFetches counts the transfers of an attempt as load of their stores.
func (fw *forwarder) recordFetches(pl plan) {
	var untilDone time.Duration
	for _, so := range pl.sources {
		untilDone += so.EstimatedTime
		fw.gw.opts.Cache.BeginTransfer(so.Address, so.Tokens, untilDone)
	}
}

// beginWait tells the book of engines' times that the request has been sent; it returns nil if no engine is to stream.
func (fw *forwarder) beginWait(pl plan) *timing.Wait {
	if fw.rq.service.Engine == nil || fw.rq.Model == "" || fw.rq.route.Kind != catalog.Streaming || pl.expectedTTFT <= 0 {
		return nil
	}
	load := pl.view.TotalLoad()
	return fw.gw.opts.Timing.Begin(timing.Observation{
		Service: fw.rq.service.Name, Endpoint: pl.view.ID,
		PrefillTokens: pl.prefillTokens, PendingTokens: load.PrefillTokens, Running: load.Requests,
		Elsewhere: pl.expectedTTFT - pl.expectedEngineTime,
	})
}

// observeFirstToken compares the time to the first token with the estimate, and learns the times of the engine from it.
func (fw *forwarder) observeFirstToken(pl plan) {
	if pl.wait == nil {
		return
	}
	// Comments may have come before.
	first := fw.gw.opts.Clock.Now().Sub(pl.sentAt)
	fw.gw.opts.Meter.ObserveFirstTokenEstimate(fw.rq.route.Name, pl.expectedTTFT, first)
	pl.wait.FirstEvent(first)
}

// observeFetches derives the stores' transfer times from the time to the first token.
func (fw *forwarder) observeFetches(pl plan) {
	var nominal time.Duration
	for _, so := range pl.sources {
		nominal += so.NominalTime
	}
	if nominal == 0 {
		return
	}
	measured := pl.ttft - (pl.expectedTTFT - pl.fetchTime)
	for _, so := range pl.sources {
		fw.gw.opts.Cache.ObserveTransfer(so.Address, nominal, measured)
	}
}
