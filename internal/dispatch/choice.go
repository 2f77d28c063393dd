package dispatch

import (
	"context"
	"time"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/endpoint"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/refusal"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/route"
	"github.com/bergamotway/bergamotway/internal/slot"
)

type (
	// place is an endpoint at which the job has a place.
	place struct {
		view   endpoint.View
		grant  string
		plan   route.Plan
		start  string
		isCold bool
		useBy  time.Time
		kept   kept
		names  []string
		scope  history.Scope
		tokens int
	}

	// kept is what a store host has of a history.
	kept struct {
		host   configuration.StoreHost
		pieces []engine.Piece
	}
)

const (
	// placeAttempts is how many owners are asked for one attempt of a run.
	placeAttempts = 6
	// avoidTime is how long an endpoint is passed over after its owner gave no place.
	avoidTime = 300 * time.Millisecond
	// betterBy is how much quicker another endpoint must be to give a place back for it.
	betterBy = 0.6
	// BytesPerToken is the size of KV cache on a link, in bytes.
	BytesPerToken = 100_000
	// lookupTimeout bounds the question to a store host; a silent one counts as empty.
	lookupTimeout = 100 * time.Millisecond
	// noEndpointRetryAfter is the advice to a caller when no endpoint takes new work.
	noEndpointRetryAfter = 2 * time.Second
	// placeWait is the pause before all owners are asked again.
	placeWait = 50 * time.Millisecond
)

// choose finds an endpoint and takes a place there. version, if not empty, restricts the choice to
// endpoints that run it. A failure is a refusal of a job that this attempt did not run.
func (di *Dispatcher) choose(ctx context.Context, job Job, text, version string, tried map[string]bool) (place, error) {
	deadline := di.Clock.Now().Add(max(job.Class.FirstToken.Of(), time.Second))
	for {
		pl, ok := di.chooseOnce(ctx, job, text, version, tried)
		if ok {
			return pl, nil
		}
		if ctx.Err() != nil || di.Clock.Now().After(deadline) {
			return place{}, refusal.New(refusal.NoEndpoint, "no endpoint takes new work of model %s", job.Model.Name).
				WithRetryAfter(noEndpointRetryAfter)
		}
		select {
		case <-ctx.Done():
		case <-di.Clock.After(placeWait):
		}
	}
}

func (di *Dispatcher) chooseOnce(ctx context.Context, job Job, text, version string, tried map[string]bool) (place, bool) {
	want := version
	if want == "" {
		want = di.versionFor(job, text)
	}
	scope := history.Scope{Team: job.Team, Model: job.Model.Name, Version: want}
	root := history.Root(scope, text).String()
	views := di.candidates(job, root, want, tried)
	if len(views) == 0 {
		return place{}, false
	}
	base := place{scope: scope, tokens: history.Tokens(text)}
	for _, n := range history.Names(scope, text) {
		base.names = append(base.names, n.String())
	}
	base.kept = di.lookup(ctx, root, base.names)
	refused := make(map[string]bool)
	for range placeAttempts {
		plan, ok := di.plan(job, base, views, refused)
		if !ok {
			return place{}, false
		}
		pl := base
		pl.plan = plan
		pl.view = views[plan.Endpoint]
		if di.take(ctx, job, root, &pl) {
			return di.reconsider(ctx, job, root, pl, views, refused), true
		}
		refused[pl.view.Name] = true
	}
	return place{}, false
}

// versionFor returns the weight version that a new run uses. During a rollout the next version
// serves as large a share of histories as the share of endpoints that have loaded it.
func (di *Dispatcher) versionFor(job Job, text string) string {
	mdl := job.Model
	if mdl.NextVersion == "" {
		return mdl.Version
	}
	root := history.Root(history.Scope{Team: job.Team, Model: mdl.Name}, text).String()
	views := di.Registry.Eligible(mdl.Name, root)
	next := 0
	for _, v := range views {
		if v.Version == mdl.NextVersion {
			next++
		}
	}
	if rendezvous.Hash(root)%uint64(max(1, len(views))) < uint64(next) {
		return mdl.NextVersion
	}
	return mdl.Version
}

// candidates returns the endpoints that may be asked, the preferred ones first. Endpoints that
// failed this job are left out while there are others.
func (di *Dispatcher) candidates(job Job, root, version string, tried map[string]bool) []endpoint.View {
	all := di.Registry.Eligible(job.Model.Name, root)
	endpoint.Preferred(all, root)
	var fresh, again []endpoint.View
	for _, v := range all {
		switch {
		case v.Version != "" && v.Version != version:
		case tried[v.Name]:
			again = append(again, v)
		default:
			fresh = append(fresh, v)
		}
	}
	if len(fresh) == 0 {
		return again
	}
	return fresh
}

func (di *Dispatcher) plan(job Job, base place, views []endpoint.View, refused map[string]bool) (route.Plan, bool) {
	eps := make([]route.Endpoint, len(views))
	rate, backlog := di.links.state(base.kept.host.Name, base.kept.host.Link())
	stored := len(base.kept.pieces) * history.PieceTokens
	for i, v := range views {
		if refused[v.Name] {
			continue
		}
		resident := v.Resident
		if i == 0 && resident == 0 {
			resident = int(di.believed() * float64(base.tokens))
		}
		eps[i] = route.Endpoint{
			Resident:    resident,
			Backlog:     v.Backlog,
			Running:     v.Running,
			PrefillRate: job.Model.PrefillRate,
			Link:        route.Link{Stored: stored, Rate: rate, Backlog: backlog},
		}
	}
	return route.Choose(eps, di.work(job, base.tokens), di.random())
}

func (di *Dispatcher) work(job Job, tokens int) route.Work {
	return route.Work{
		Tokens:        tokens,
		PieceTokens:   history.PieceTokens,
		BytesPerToken: BytesPerToken,
		Target:        job.Class.FirstToken.Of().Seconds(),
		CostTarget:    job.Class.CostTarget,
		CanSplit:      job.Model.CanSplit,
	}
}

// take asks the owner of the endpoint for a place. Without an answer from the owner the endpoint is
// not used, since it may have turned cold.
func (di *Dispatcher) take(ctx context.Context, job Job, root string, pl *place) bool {
	asked := di.Clock.Now()
	ans, err := di.Slots.Take(ctx, slot.Ask{
		Endpoint:  pl.view.Name,
		Host:      di.Host,
		Root:      slot.ShortRoot(root),
		Tokens:    pl.tokens,
		IsSuspect: di.Board.Standing(job.Fingerprint) == quarantine.Suspected,
	})
	pl.useBy = asked.Add(slot.UseBy)
	if err != nil || ans.Reason == slot.NotOwner {
		return false
	}
	di.Registry.Answered(pl.view.Name, ans)
	isOther := ans.Version != "" && ans.Version != pl.scope.Version
	if isOther {
		// The registry knows the version now: the next choice leaves the endpoint out.
		di.giveBack(ctx, place{view: pl.view, grant: ans.Grant})
		return false
	}
	if ans.Reason != slot.Granted {
		di.Registry.Avoid(pl.view.Name, avoidTime)
		return false
	}
	pl.grant = ans.Grant
	pl.start = ans.StartID
	pl.isCold = ans.IsCold
	pl.view.Backlog = ans.Backlog
	pl.view.Running = ans.Running
	pl.view.Resident = max(pl.view.Resident, ans.Resident)
	di.replan(job, pl)
	return true
}

// replan estimates the place anew from what its owner said.
func (di *Dispatcher) replan(job Job, pl *place) {
	rate, backlog := di.links.state(pl.kept.host.Name, pl.kept.host.Link())
	ep := route.Endpoint{
		Resident:    pl.view.Resident,
		Backlog:     pl.view.Backlog,
		Running:     pl.view.Running,
		PrefillRate: job.Model.PrefillRate,
		Link:        route.Link{Stored: len(pl.kept.pieces) * history.PieceTokens, Rate: rate, Backlog: backlog},
	}
	if plan, ok := route.Estimate(ep, di.work(job, pl.tokens)); ok {
		pl.plan = plan
	}
}

// reconsider gives a place back once, if the owner's answer shows that the endpoint is busy and
// another one looks much quicker.
func (di *Dispatcher) reconsider(ctx context.Context, job Job, root string, pl place, views []endpoint.View, refused map[string]bool) place {
	if pl.plan.FirstToken <= job.Class.FirstToken.Of().Seconds() {
		return pl
	}
	refused[pl.view.Name] = true
	next, ok := di.plan(job, pl, views, refused)
	if !ok || next.FirstToken > betterBy*pl.plan.FirstToken {
		return pl
	}
	other := pl
	other.plan = next
	other.view = views[next.Endpoint]
	other.grant = ""
	if !di.take(ctx, job, root, &other) || other.plan.FirstToken >= pl.plan.FirstToken {
		di.giveBack(ctx, other)
		return pl
	}
	di.giveBack(ctx, pl)
	return other
}

func (di *Dispatcher) giveBack(ctx context.Context, pl place) {
	if pl.grant != "" {
		di.Slots.Release(ctx, slot.Release{Endpoint: pl.view.Name, Grant: pl.grant})
	}
}

// lookup asks the store hosts that keep the history, by rendezvous hashing, what they have of it.
func (di *Dispatcher) lookup(ctx context.Context, root string, names []string) kept {
	hosts := di.storeHosts(root)
	if len(names) == 0 || len(hosts) == 0 {
		return kept{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for _, sh := range hosts[:min(copies+1, len(hosts))] {
		pieces, err := di.Stores.Lookup(ctx, sh.Address, names)
		if err != nil {
			di.links.failed(sh.Name)
			continue
		}
		if len(pieces) > 0 {
			return kept{host: sh, pieces: pieces}
		}
	}
	return kept{}
}

// storeHosts returns the store hosts that serve, in the order in which they keep the history.
func (di *Dispatcher) storeHosts(root string) []configuration.StoreHost {
	sn := di.Snapshot()
	byName := make(map[string]configuration.StoreHost)
	var names []string
	for _, sh := range sn.StoreHosts() {
		if !sh.Leaving && !sn.Zone(sh.Zone).Out {
			byName[sh.Name] = sh
			names = append(names, sh.Name)
		}
	}
	var out []configuration.StoreHost
	for _, name := range rendezvous.Order(root, names) {
		out = append(out, byName[name])
	}
	return out
}
