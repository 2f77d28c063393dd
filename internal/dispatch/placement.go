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
	// placement is an endpoint chosen for an attempt, with the slot granted there and the plan for
	// the history.
	placement struct {
		view    endpoint.View
		grantID string
		plan    route.Plan
		startID string
		isCold  bool
		// useDeadline is the time until which a run may start if the endpoint is in cold start.
		useDeadline  time.Time
		stored       storedPieces
		pieceNames   []string
		scope        history.Scope
		promptTokens int
	}

	// storedPieces lists the pieces of a history that a store host holds.
	storedPieces struct {
		host   configuration.StoreHost
		pieces []engine.Piece
	}
)

const (
	// maxSlotRequests limits the slot requests in one round of placement.
	maxSlotRequests = 6
	// slotRefusalBackoff is how long an endpoint is excluded after its owner refused a slot.
	slotRefusalBackoff = 300 * time.Millisecond
	// switchRatio limits switches to another endpoint: its time to first token must be at most
	// switchRatio times that of the current endpoint.
	switchRatio = 0.6
	// BytesPerToken is the size of the KV cache per token on a link, in bytes.
	BytesPerToken = 100_000
	// lookupTimeout bounds the lookup at the store hosts. A store host that does not respond counts
	// as empty.
	lookupTimeout = 100 * time.Millisecond
	// noEndpointRetryAfter is the retry delay sent to the client when no endpoint accepts new work.
	noEndpointRetryAfter = 2 * time.Second
	// placementRetryInterval is the pause between two rounds of placement.
	placementRetryInterval = 50 * time.Millisecond
)

// choosePlacement chooses an endpoint and acquires a slot there. A non-empty version restricts the
// choice to endpoints that run it. An error is a refusal; the attempt has not run.
func (di *Dispatcher) choosePlacement(ctx context.Context, job Job, prompt, version string, failed map[string]bool) (placement, error) {
	deadline := di.Clock.Now().Add(max(job.Class.FirstTokenTarget.Std(), time.Second))
	for {
		pl, ok := di.tryPlacement(ctx, job, prompt, version, failed)
		if ok {
			return pl, nil
		}
		if ctx.Err() != nil || di.Clock.Now().After(deadline) {
			return placement{}, refusal.New(refusal.NoEndpoint, "no endpoint takes new work of model %s", job.Model.Name).
				WithRetryAfter(noEndpointRetryAfter)
		}
		select {
		case <-ctx.Done():
		case <-di.Clock.After(placementRetryInterval):
		}
	}
}

// tryPlacement makes one round of slot requests over the candidates, in the order of their plans.
func (di *Dispatcher) tryPlacement(ctx context.Context, job Job, prompt, version string, failed map[string]bool) (placement, bool) {
	runVersion := version
	if runVersion == "" {
		runVersion = di.versionFor(job, prompt)
	}
	scope := history.Scope{Team: job.Team, Model: job.Model.Name, Version: runVersion}
	root := history.Root(scope, prompt).String()
	views := di.candidates(job, root, runVersion, failed)
	if len(views) == 0 {
		return placement{}, false
	}
	base := placement{scope: scope, promptTokens: history.Tokens(prompt)}
	for _, n := range history.Names(scope, prompt) {
		base.pieceNames = append(base.pieceNames, n.String())
	}
	base.stored = di.lookupPieces(ctx, root, base.pieceNames)
	excluded := make(map[string]bool)
	for range maxSlotRequests {
		plan, ok := di.choosePlan(job, base, views, excluded)
		if !ok {
			return placement{}, false
		}
		pl := base
		pl.plan = plan
		pl.view = views[plan.Endpoint]
		if di.acquireSlot(ctx, job, root, &pl) {
			return di.switchIfFaster(ctx, job, root, pl, views, excluded), true
		}
		excluded[pl.view.Name] = true
	}
	return placement{}, false
}

// versionFor returns the weight version for a new run. During a rollout the share of histories
// served by the next version equals the share of endpoints that have loaded it.
func (di *Dispatcher) versionFor(job Job, prompt string) string {
	mdl := job.Model
	if mdl.NextVersion == "" {
		return mdl.Version
	}
	root := history.Root(history.Scope{Team: job.Team, Model: mdl.Name}, prompt).String()
	views := di.Registry.Eligible(mdl.Name, root)
	nextCount := 0
	for _, v := range views {
		if v.Version == mdl.NextVersion {
			nextCount++
		}
	}
	if rendezvous.Hash(root)%uint64(max(1, len(views))) < uint64(nextCount) {
		return mdl.NextVersion
	}
	return mdl.Version
}

// candidates returns the eligible endpoints in order of preference. Endpoints on which the job has
// already failed are returned only if there are no others.
func (di *Dispatcher) candidates(job Job, root, version string, failed map[string]bool) []endpoint.View {
	eligible := di.Registry.Eligible(job.Model.Name, root)
	endpoint.SortByPreference(eligible, root)
	var untried, failedBefore []endpoint.View
	for _, v := range eligible {
		switch {
		case v.Version != "" && v.Version != version:
		case failed[v.Name]:
			failedBefore = append(failedBefore, v)
		default:
			untried = append(untried, v)
		}
	}
	if len(untried) == 0 {
		return failedBefore
	}
	return untried
}

// choosePlan returns the best plan for one of the endpoints that are not excluded.
func (di *Dispatcher) choosePlan(job Job, base placement, views []endpoint.View, excluded map[string]bool) (route.Plan, bool) {
	eps := make([]route.Endpoint, len(views))
	linkRate, queuedBytes := di.links.estimate(base.stored.host.Name, base.stored.host.LinkRateOrDefault())
	storedTokens := len(base.stored.pieces) * history.PieceTokens
	for i, v := range views {
		if excluded[v.Name] {
			// The zero Endpoint has no prefill rate, so that route.Choose skips it.
			continue
		}
		resident := v.Resident
		if i == 0 && resident == 0 {
			// All hosts prefer this endpoint, so that it may have the history cached from a run of
			// another host.
			resident = int(di.expectedHitRate() * float64(base.promptTokens))
		}
		eps[i] = route.Endpoint{
			ResidentTokens: resident,
			BacklogTokens:  v.Backlog,
			Running:        v.Running,
			PrefillRate:    job.Model.PrefillRate,
			Link:           route.Link{StoredTokens: storedTokens, Rate: linkRate, BacklogBytes: queuedBytes},
		}
	}
	return route.Choose(eps, di.routeWork(job, base.promptTokens), di.randomUint64())
}

func (di *Dispatcher) routeWork(job Job, tokens int) route.Work {
	return route.Work{
		Tokens:           tokens,
		PieceTokens:      history.PieceTokens,
		BytesPerToken:    BytesPerToken,
		FirstTokenTarget: job.Class.FirstTokenTarget.Std().Seconds(),
		CostTarget:       job.Class.CostTarget,
		CanSplit:         job.Model.CanSplitPrefill,
	}
}

// acquireSlot requests a slot from the owner of the endpoint. If the owner does not respond, the
// endpoint is not used, because it may have restarted and be in cold start.
func (di *Dispatcher) acquireSlot(ctx context.Context, job Job, root string, pl *placement) bool {
	requestedAt := di.Clock.Now()
	res, err := di.Slots.Acquire(ctx, slot.AcquireRequest{
		Endpoint:  pl.view.Name,
		Host:      di.Host,
		Root:      slot.ShortRoot(root),
		Tokens:    pl.promptTokens,
		IsSuspect: di.Quarantine.State(job.Fingerprint) == quarantine.Suspected,
	})
	pl.useDeadline = requestedAt.Add(slot.UseTimeout)
	if err != nil || res.Reason == slot.NotOwner {
		return false
	}
	di.Registry.RecordResponse(pl.view.Name, res)
	isOtherVersion := res.Version != "" && res.Version != pl.scope.Version
	if isOtherVersion {
		// The registry now has the version, so that the next round excludes the endpoint.
		di.releaseSlot(ctx, placement{view: pl.view, grantID: res.GrantID})
		return false
	}
	if res.Reason != slot.Granted {
		di.Registry.Avoid(pl.view.Name, slotRefusalBackoff)
		return false
	}
	pl.grantID = res.GrantID
	pl.startID = res.StartID
	pl.isCold = res.IsCold
	pl.view.Backlog = res.Backlog
	pl.view.Running = res.Running
	pl.view.Resident = max(pl.view.Resident, res.Resident)
	di.updatePlan(job, pl)
	return true
}

// updatePlan estimates the plan again with the load that the owner reported.
func (di *Dispatcher) updatePlan(job Job, pl *placement) {
	linkRate, queuedBytes := di.links.estimate(pl.stored.host.Name, pl.stored.host.LinkRateOrDefault())
	ep := route.Endpoint{
		ResidentTokens: pl.view.Resident,
		BacklogTokens:  pl.view.Backlog,
		Running:        pl.view.Running,
		PrefillRate:    job.Model.PrefillRate,
		Link:           route.Link{StoredTokens: len(pl.stored.pieces) * history.PieceTokens, Rate: linkRate, BacklogBytes: queuedBytes},
	}
	if plan, ok := route.Estimate(ep, di.routeWork(job, pl.promptTokens)); ok {
		pl.plan = plan
	}
}

// switchIfFaster moves to another endpoint, at most once, if the load reported by the owner puts
// the time to first token beyond its target and another endpoint is faster by switchRatio.
func (di *Dispatcher) switchIfFaster(ctx context.Context, job Job, root string, pl placement, views []endpoint.View, excluded map[string]bool) placement {
	if pl.plan.FirstToken <= job.Class.FirstTokenTarget.Std().Seconds() {
		return pl
	}
	excluded[pl.view.Name] = true
	next, ok := di.choosePlan(job, pl, views, excluded)
	if !ok || next.FirstToken > switchRatio*pl.plan.FirstToken {
		return pl
	}
	other := pl
	other.plan = next
	other.view = views[next.Endpoint]
	other.grantID = ""
	if !di.acquireSlot(ctx, job, root, &other) || other.plan.FirstToken >= pl.plan.FirstToken {
		di.releaseSlot(ctx, other)
		return pl
	}
	di.releaseSlot(ctx, pl)
	return other
}

func (di *Dispatcher) releaseSlot(ctx context.Context, pl placement) {
	if pl.grantID != "" {
		di.Slots.Release(ctx, slot.ReleaseRequest{Endpoint: pl.view.Name, GrantID: pl.grantID})
	}
}

// lookupPieces queries the store hosts to which rendezvous hashing assigns the history for its
// pieces.
func (di *Dispatcher) lookupPieces(ctx context.Context, root string, names []string) storedPieces {
	hosts := di.storeHosts(root)
	if len(names) == 0 || len(hosts) == 0 {
		return storedPieces{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for _, sh := range hosts[:min(storeReplicas+1, len(hosts))] {
		pieces, err := di.Stores.Lookup(ctx, sh.Address, names)
		if err != nil {
			di.links.recordFailure(sh.Name)
			continue
		}
		if len(pieces) > 0 {
			return storedPieces{host: sh, pieces: pieces}
		}
	}
	return storedPieces{}
}

// storeHosts returns the available store hosts in rendezvous order for the history.
func (di *Dispatcher) storeHosts(root string) []configuration.StoreHost {
	sn := di.Snapshot()
	byName := make(map[string]configuration.StoreHost)
	var names []string
	for _, sh := range sn.StoreHosts() {
		if !sh.Leaving && !sn.Zone(sh.Zone).OutOfService {
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
