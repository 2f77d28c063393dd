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

func (co *Control) newRolloutController() *rollout.Controller {
	return rollout.New(rollout.Parts{
		Clock:    co.Clock,
		Snapshot: co.Keeper.Snapshot,
		IsChosen: func() bool { return co.OwnerOf("rollout") == "" },
		Engines:  co.Reporter,
		Leases:   co.Leases,
		Editor:   configuration.NewEditor(co.Platform, co.Self.Name),
		Log:      logs.For(co.Log, logs.Rollout),
	})
}

// pollReports polls the load reports of the endpoints that this host owns.
func (co *Control) pollReports(ctx context.Context) {
	for ctx.Err() == nil {
		var eg errgroup.Group
		eg.SetLimit(maxConcurrentPolls)
		for _, ep := range co.listOwnedEndpoints() {
			eg.Go(func() error {
				co.pollReport(ctx, ep)
				return nil
			})
		}
		_ = eg.Wait()
		co.sleep(ctx, reportInterval)
	}
}

// listOwnedEndpoints returns the endpoints that this host owns. It recomputes them only when the
// members or the configuration have changed. It must be called only from the goroutine of
// pollReports.
func (co *Control) listOwnedEndpoints() []configuration.Endpoint {
	view, sn := co.Table.View(), co.Keeper.Snapshot()
	if view == co.ownedView && sn == co.ownedSnapshot {
		return co.ownedEndpoints
	}
	names := make(map[string]bool)
	co.ownedView, co.ownedSnapshot, co.ownedEndpoints = view, sn, nil
	for _, ep := range sn.Document().Endpoints {
		if _, isSelf := co.EndpointOwner(ep.Name); isSelf {
			names[ep.Name] = true
			co.ownedEndpoints = append(co.ownedEndpoints, ep)
		}
	}
	co.Slots.Keep(func(name string) bool { return names[name] })
	return co.ownedEndpoints
}

// refreshReport polls an endpoint immediately, without waiting for its turn in pollReports.
func (co *Control) refreshReport(ctx context.Context, name string) {
	ep, ok := co.Keeper.Snapshot().Endpoint(name)
	if !ok {
		return
	}
	_, _, _ = co.reportRefreshes.Do(name, func() (any, error) {
		co.pollReport(context.WithoutCancel(ctx), ep)
		return struct{}{}, nil
	})
}

func (co *Control) pollReport(ctx context.Context, ep configuration.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	ld, err := co.Reporter.Load(ctx, ep.Address)
	if err != nil {
		co.Slots.ObserveFailure(ep.Name)
		return
	}
	if co.Slots.Observe(ep.Name, ld) {
		logs.For(co.Log, logs.Endpoint).WithField("endpoint", ep.Name).Warn("Endpoint restarted.")
	}
	if co.Slots.IsCold(ep.Name, co.slotLimits(ep.Name)) {
		co.Leases.Hold(ctx, "endpoint/"+ep.Name)
	}
}

// pollHostList polls the platform's host list. A few hosts read it often and announce changes to
// the others, which read it rarely.
func (co *Control) pollHostList(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil && co.HasList {
		isReader := co.Table.View().IsAmongFirst("host-list", hostListReaders)
		if hosts, err := co.Platform.Hosts(ctx); err == nil {
			changed := co.updateHostList(hosts)
			for _, h := range changed {
				if isReader {
					co.Gossiper.Announce(ctx, factHostState, h.Address, string(h.State))
				}
			}
		}
		interval := hostListInterval
		if !isReader {
			interval = meanSlowHostListInterval/2 + time.Duration(rnd.Int64N(int64(meanSlowHostListInterval)))
		}
		co.sleep(ctx, interval)
	}
}

// updateHostList applies the list and returns the entries whose state has changed.
func (co *Control) updateHostList(hosts []keyvalue.ListedHost) []keyvalue.ListedHost {
	previous := make(map[string]keyvalue.HostState)
	for _, h := range *co.hostList.Load() {
		previous[h.Address] = h.State
	}
	co.Registry.SetListed(hosts)
	co.hostList.Store(&hosts)
	return slices.DeleteFunc(slices.Clone(hosts), func(h keyvalue.ListedHost) bool {
		return previous[h.Address] == h.State || (previous[h.Address] == "" && h.State == keyvalue.HostLive)
	})
}
