package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// freshHosts is up to how many hosts each hears of the loads of all others at first hand.
	freshHosts = 12
	// sampleFresh bounds the endpoints that are weighed for a request. Between more hosts loads are
	// some 60 ms older, and all hosts would send to the few endpoints that were idle then; each
	// request weighs a few of its own, of which 8 do no better than 4.
	sampleFresh      = 18
	sampleStale      = 4
	sampleStalePlain = 2
	// crossZoneFactor is how much longer a transfer between zones takes.
	crossZoneFactor = 2
	bitsPerByte     = 8
	// readPerMs is about how many tokens engines read in a millisecond, as their sheets say.
	readPerMs = 112
	// fetchPatience is how much longer than reading a part fetching it may take. Reading costs the
	// other requests at the engine as much time as this one.
	fetchPatience = 4
	fetchSlack    = 60 * time.Millisecond
	// fetchWithin is how many times its expected length a transfer may take before the engine gives
	// it up, and fetchLeast the least time that it gets.
	fetchWithin = 4
	fetchLeast  = 200 * time.Millisecond
)

// plan is an endpoint with what the request is sent with.
type plan struct {
	view     fleet.View
	load     fleet.Load
	delivery Delivery
	estimate time.Duration
	options  int
	read     int
	fetch    time.Duration
	sources  []source
	sent     time.Time
	first    time.Duration
}

// source is a store from which a part is fetched, with the time that this should take by its link and
// what waits there, and as transfers go lately.
type source struct {
	Address  string        `json:"address"`
	Tokens   int           `json:"tokens"`
	Queued   int           `json:"queued"`
	Expected time.Duration `json:"-"`
	Took     time.Duration `json:"-"`
}

func (pl plan) fields() logrus.Fields {
	sum := pl.view.Sum()
	return logrus.Fields{
		"endpoint": pl.view.ID, "estimate-ms": milliseconds(pl.estimate), "options": pl.options,
		"running": sum.Requests, "tokens": sum.Tokens, "unread": sum.Unread,
		"read": pl.read, "fetch-ms": milliseconds(pl.fetch), "first-ms": milliseconds(pl.first), "sources": pl.sources,
	}
}

// choose finds the endpoint for the next attempt; ok is false if there is none.
func (fw *forwarding) choose(left time.Duration) (pl plan, ok bool) {
	gw, rq := fw.gw, fw.rq
	near, most := fw.sample()
	views := gw.opts.Fleet.Sample(rq.service.Name, near, rq.ID, most)
	job := placement.Job{ID: rq.ID, Zone: gw.opts.Zone, Tried: fw.tried, Model: rq.Model}
	if rq.service.Engine == nil {
		job.Model = ""
	}
	cands := make([]placement.Candidate, len(views))
	for i, vw := range views {
		cands[i] = placement.Candidate{View: vw}
	}
	if job.Model != "" {
		job.Tokens, job.Output = rq.tokens(), rq.OutputTokens
		job.Version = gw.opts.Weights(rq.Model)
		if fw.pinned > 0 {
			job.Version, job.Only = fw.pinned, true
		}
		fw.weigh(cands)
	}
	ch, ok := gw.opts.Policy.Choose(job, rq.session(), cands)
	if !ok {
		return plan{}, false
	}
	ca := cands[ch.Index]
	pl = plan{
		view:     ca.View,
		load:     fleet.Load{Requests: 1, Tokens: job.Tokens, Unread: ca.Read},
		estimate: ch.Estimate,
		options:  len(cands),
		read:     ca.Read,
		fetch:    ca.Fetch,
		delivery: Delivery{Instance: ca.ID, Left: left, Urgency: rq.urgency(), Version: fw.pinned},
	}
	if rq.team != nil {
		pl.delivery.Team = rq.team.Name
	}
	if job.Model != "" {
		fw.prepare(&pl, ca)
	}
	return pl, true
}

// sample returns the zone in which the engine should be, because the conversation's KV cache lies
// there, and among how many endpoints to choose.
func (fw *forwarding) sample() (near string, most int) {
	gw, rq := fw.gw, fw.rq
	if gw.opts.Hosts() <= freshHosts {
		return "", sampleFresh
	}
	if rq.service.Engine == nil || rq.Model == "" {
		return "", sampleStalePlain
	}
	if len(rq.Parts) < 2 {
		return "", sampleStale
	}
	pt := rq.Parts[len(rq.Parts)-2]
	part := cachedir.Part{Salt: fw.salt(gw.opts.Weights(rq.Model)), ID: pt.ID}
	return gw.opts.Cache.Home(part, pt.Tokens), sampleStale
}

// weigh works out for each candidate what it would read and fetch.
func (fw *forwarding) weigh(cands []placement.Candidate) {
	rq, en := fw.rq, fw.rq.service.Engine
	known := make(map[uint64][][]cachedir.Location)
	for i := range cands {
		ca := &cands[i]
		ca.Capacity = en.CapacityTokens
		version, _ := ca.Version(rq.Model)
		ca.Expired = fw.gw.opts.Expired(rq.Model, version)
		if _, ok := known[version]; !ok {
			salt := fw.salt(version)
			located := make([][]cachedir.Location, len(rq.Parts))
			for k := range max(0, len(rq.Parts)-1) {
				located[k] = fw.gw.opts.Cache.Find(cachedir.Part{Salt: salt, ID: rq.Parts[k].ID})
			}
			known[version] = located
		}
		located := known[version]
		ca.Read = rq.PromptTokens
		for k := range max(0, len(rq.Parts)-1) {
			pt := rq.Parts[k]
			if fw.gw.opts.Fleet.Resident(ca.ID, fw.salt(version)+pt.ID) {
				ca.Read -= pt.Tokens
				continue
			}
			if len(located[k]) == 0 {
				// Parts behind one that has to be read are read as well.
				break
			}
			_, took, _ := nearest(located[k], ca.Zone, rq.ID, pt.Tokens, en.TokenBytes)
			if !worthFetching(took, pt.Tokens) {
				break
			}
			ca.Fetch += took
			ca.Read -= pt.Tokens
		}
		ca.Read = max(0, ca.Read)
	}
}

// prepare names salt, version, and where parts are fetched from and saved to.
func (fw *forwarding) prepare(pl *plan, ca placement.Candidate) {
	rq, en := fw.rq, fw.rq.service.Engine
	version, _ := ca.Version(rq.Model)
	pl.delivery.Version = version
	salt := fw.salt(version)
	pl.delivery.Salt = salt
	if len(rq.Parts) < 2 {
		return
	}
	fetch := make([]string, len(rq.Parts))
	save := make([]string, len(rq.Parts))
	fetches, saves := false, false
	var (
		expected time.Duration
		now      int64
	)
	for k, pt := range rq.Parts[:len(rq.Parts)-1] {
		cp := cachedir.Part{Salt: salt, ID: pt.ID}
		locs := fw.gw.opts.Cache.Find(cp)
		wide := k < len(rq.Parts)-2
		if wide {
			fw.gw.opts.Cache.Use(cp)
		}
		if lo, took, byLink := nearest(locs, ca.Zone, rq.ID, pt.Tokens, en.TokenBytes); len(locs) > 0 && worthFetching(took, pt.Tokens) {
			fetch[k], fetches = lo.Address, true
			pl.sources = append(pl.sources, source{
				Address: lo.Address, Tokens: pt.Tokens, Queued: lo.Queued, Expected: byLink, Took: took,
			})
			expected += took
			now = lo.Clock
		} else if version < fw.gw.opts.Weights(rq.Model) {
			// What is kept of older weights is of no use soon.
			continue
		} else if address := fw.gw.opts.Cache.Claim(cp, pt.Tokens, wide); address != "" {
			save[k], saves = address, true
		}
		fw.gw.opts.Fleet.Used(ca.ID, salt+pt.ID, pt.Tokens, en.CapacityTokens)
	}
	if fetches {
		pl.delivery.Fetch = fetch
		within := min(max(fetchWithin*expected, fetchLeast), cachedir.FetchMost)
		pl.delivery.FetchUntil = now + within.Milliseconds()
	}
	if saves {
		pl.delivery.Save = save
	}
}

// salt returns the text that separates KV cache of other versions and of exclusive teams.
func (fw *forwarding) salt(version uint64) string {
	team := ""
	if fw.rq.team != nil && fw.rq.team.Exclusive {
		team = fw.rq.team.Name
	}
	return cachedir.Salt(fw.rq.Model, version, team)
}

// nearest returns the store from which a part is fetched soonest, how long that takes lately, and
// how long it should take by the link and what waits for it. A store's transfers run one after another.
//
// Equal stores are taken by the identifier of the request, so that all links carry their part.
func nearest(locs []cachedir.Location, zone, request string, tokens, tokenBytes int) (best cachedir.Location, least, byLink time.Duration) {
	var chosen uint64
	key := rendezvous.Hash(request)
	for i, lo := range locs {
		each := float64(tokenBytes) * bitsPerByte / (lo.LinkMbps * 1e6)
		seconds := float64(tokens) * each
		if lo.Zone != zone {
			seconds *= crossZoneFactor
		}
		seconds += float64(lo.Queued) * each
		plain := lo.Setup + time.Duration(seconds*float64(time.Second))
		took := time.Duration(float64(plain) * lo.Slow)
		score := uint64(0)
		if len(locs) > 1 {
			score = rendezvous.Score(key, rendezvous.Hash(lo.Address))
		}
		if i == 0 || took < least || (took == least && score > chosen) {
			best, least, byLink, chosen = lo, took, plain, score
		}
	}
	return best, least, byLink
}

// worthFetching reports whether a part should be fetched rather than read.
func worthFetching(took time.Duration, tokens int) bool {
	read := time.Duration(tokens) * time.Millisecond / readPerMs
	return took <= fetchPatience*read+fetchSlack
}

// beginFetch counts the transfers that a request asks for.
func (fw *forwarding) beginFetch(pl plan) {
	var ahead time.Duration
	for _, so := range pl.sources {
		ahead += so.Took
		fw.gw.opts.Cache.Begin(so.Address, so.Tokens, ahead)
	}
}

// observe learns from the time to the first token how long the stores took.
func (fw *forwarding) observe(pl plan) {
	var expected time.Duration
	for _, so := range pl.sources {
		expected += so.Expected
	}
	if expected == 0 {
		return
	}
	took := pl.first - (pl.estimate - pl.fetch)
	for _, so := range pl.sources {
		fw.gw.opts.Cache.Observe(so.Address, expected, took)
	}
}
