package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/logs"
	"github.com/bergamotway/bergamotway/internal/rollout"
)

func (cp *ControlPlane) newRolloutController() *rollout.Controller {
	return rollout.New(rollout.Dependencies{
		Clock:       cp.Clock,
		Snapshot:    cp.Configuration.Snapshot,
		IsCandidate: func() bool { return cp.OwnerOf("rollout") == "" },
		Engines:     cp.Engines,
		Leases:      cp.Leases,
		Editor:      configuration.NewEditor(cp.Platform, cp.Self.Name),
		Log:         logs.WithComponent(cp.Log, logs.Rollout),
	})
}

// pollReports polls the load reports of the endpoints that this host owns.
func (cp *ControlPlane) pollReports(ctx context.Context) {
	for ctx.Err() == nil {
		var eg errgroup.Group
		eg.SetLimit(maxConcurrentPolls)
		for _, ep := range cp.listOwnedEndpoints() {
			eg.Go(func() error {
				cp.pollReport(ctx, ep)
				return nil
			})
		}
		_ = eg.Wait()
		cp.sleep(ctx, reportInterval)
	}
}

// listOwnedEndpoints returns the endpoints that this host owns. It recomputes them, and removes all
// others from the slot table, only when the members or the configuration have changed. It must be
// called only from the goroutine of pollReports.
func (cp *ControlPlane) listOwnedEndpoints() []configuration.Endpoint {
	view, sn := cp.Membership.View(), cp.Configuration.Snapshot()
	if view == cp.ownedView && sn == cp.ownedSnapshot {
		return cp.ownedEndpoints
	}
	names := make(map[string]bool)
	cp.ownedView, cp.ownedSnapshot, cp.ownedEndpoints = view, sn, nil
	for _, ep := range sn.Document().Endpoints {
		if _, isSelf := cp.EndpointOwner(ep.Name); isSelf {
			names[ep.Name] = true
			cp.ownedEndpoints = append(cp.ownedEndpoints, ep)
		}
	}
	cp.SlotTable.Retain(func(name string) bool { return names[name] })
	return cp.ownedEndpoints
}

// refreshReport polls an endpoint immediately, without waiting for its turn in pollReports.
func (cp *ControlPlane) refreshReport(ctx context.Context, name string) {
	ep, ok := cp.Configuration.Snapshot().Endpoint(name)
	if !ok {
		return
	}
	_, _, _ = cp.reportRefreshes.Do(name, func() (any, error) {
		cp.pollReport(context.WithoutCancel(ctx), ep)
		return struct{}{}, nil
	})
}

// pollReport fetches the load report of one endpoint and updates the slot table. For an endpoint in
// cold start it also acquires or renews the lease.
func (cp *ControlPlane) pollReport(ctx context.Context, ep configuration.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	ld, err := cp.Engines.FetchLoad(ctx, ep.Address)
	if err != nil {
		cp.SlotTable.ObserveFailure(ep.Name)
		return
	}
	if cp.SlotTable.Observe(ep.Name, ld) {
		logs.WithComponent(cp.Log, logs.Endpoint).WithField("endpoint", ep.Name).Warn("Endpoint restarted.")
	}
	if cp.SlotTable.IsCold(ep.Name, cp.slotLimits(ep.Name)) {
		cp.Leases.AcquireOrRenew(ctx, "endpoint/"+ep.Name)
	}
}

// pollHostList polls the platform's host list. A few hosts read it often and announce changes to
// the others, which read it rarely.
func (cp *ControlPlane) pollHostList(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil && cp.HasHostList {
		isReader := cp.Membership.View().IsAmongFirst("host-list", hostListReaders)
		if hosts, err := cp.Platform.Hosts(ctx); err == nil {
			changed := cp.updateHostList(hosts)
			for _, h := range changed {
				if isReader {
					cp.Gossiper.Announce(ctx, factHostState, h.Address, string(h.State))
				}
			}
		}
		interval := hostListInterval
		if !isReader {
			interval = meanSlowHostListInterval/2 + time.Duration(rnd.Int64N(int64(meanSlowHostListInterval)))
		}
		cp.sleep(ctx, interval)
	}
}

// updateHostList applies the list and returns the entries whose state has changed.
func (cp *ControlPlane) updateHostList(hosts []keyvalue.ListedHost) []keyvalue.ListedHost {
	previous := make(map[string]keyvalue.HostState)
	for _, h := range *cp.hostList.Load() {
		previous[h.Address] = h.State
	}
	cp.Endpoints.SetListedStates(hosts)
	cp.hostList.Store(&hosts)
	return slices.DeleteFunc(slices.Clone(hosts), func(h keyvalue.ListedHost) bool {
		return previous[h.Address] == h.State || (previous[h.Address] == "" && h.State == keyvalue.HostLive)
	})
}
