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

func (co *Control) rollouts() *rollout.Controller {
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

// pollReports asks the endpoints that this host owns for their reports.
func (co *Control) pollReports(ctx context.Context) {
	for ctx.Err() == nil {
		var eg errgroup.Group
		eg.SetLimit(pollsAtOnce)
		for _, ep := range co.owned() {
			eg.Go(func() error {
				co.pollReport(ctx, ep)
				return nil
			})
		}
		_ = eg.Wait()
		co.wait(ctx, reportPeriod)
	}
}

// owned returns the endpoints that this host owns. It computes them anew only when the hosts or
// the configuration changed. Only the goroutine of pollReports calls it.
func (co *Control) owned() []configuration.Endpoint {
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

func (co *Control) confirm(ctx context.Context, name string) {
	ep, ok := co.Keeper.Snapshot().Endpoint(name)
	if !ok {
		return
	}
	_, _, _ = co.confirming.Do(name, func() (any, error) {
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
		logs.For(co.Log, logs.Endpoint).WithField("endpoint", ep.Name).Warn("Endpoint started anew.")
	}
	if co.Slots.IsCold(ep.Name, co.limits(ep.Name)) {
		co.Leases.Hold(ctx, "endpoint/"+ep.Name)
	}
}

// pollList follows the platform's list. A few hosts read it often and tell the others what
// changed; the others read it seldom.
func (co *Control) pollList(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil && co.HasList {
		isReader := co.Table.View().IsAmongFirst("host-list", listReaders)
		if hosts, err := co.Platform.Hosts(ctx); err == nil {
			changed := co.takeList(hosts)
			for _, h := range changed {
				if isReader {
					co.Gossiper.Announce(ctx, factListed, h.Address, string(h.State))
				}
			}
		}
		period := listPeriod
		if !isReader {
			period = listSlowPeriod/2 + time.Duration(rnd.Int64N(int64(listSlowPeriod)))
		}
		co.wait(ctx, period)
	}
}

// takeList puts the list in force and returns the lines whose state changed.
func (co *Control) takeList(hosts []keyvalue.ListedHost) []keyvalue.ListedHost {
	old := make(map[string]keyvalue.HostState)
	for _, h := range *co.listed.Load() {
		old[h.Address] = h.State
	}
	co.Registry.SetListed(hosts)
	co.listed.Store(&hosts)
	return slices.DeleteFunc(slices.Clone(hosts), func(h keyvalue.ListedHost) bool {
		return old[h.Address] == h.State || (old[h.Address] == "" && h.State == keyvalue.HostLive)
	})
}
