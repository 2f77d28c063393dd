// Package rollout loads a new version of the weights on the endpoints of a model. The number of
// endpoints that load at the same time is bounded over the whole fleet.
//
// One host at a time controls the rollout, under a lease whose fencing token is sent with each
// load request. The progress is read from the endpoints' reports and the target version from the
// configuration, so another host can take over at any point.
package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/lease"
)

type (
	// Engines reads the load reports of endpoints and makes them load weights.
	Engines interface {
		FetchLoad(ctx context.Context, address string) (engine.LoadReport, error)
		LoadWeights(ctx context.Context, address, model, version string, fencing uint64) error
	}

	// Leases acquires and renews the controller's lease.
	Leases interface {
		AcquireOrRenew(ctx context.Context, name string) lease.Lease
	}

	// Editor edits the stored configuration.
	Editor interface {
		Change(ctx context.Context, change func(*configuration.Document) error) (uint64, error)
	}

	// Dependencies holds the dependencies of a Controller. All fields are required.
	Dependencies struct {
		Clock    clock.Clock
		Snapshot func() *configuration.Snapshot
		// IsCandidate reports whether this host should try to acquire the lease.
		IsCandidate func() bool
		Engines     Engines
		Leases      Leases
		Editor      Editor
		Log         logrus.FieldLogger
	}

	// Controller controls rollouts on one host. Only the holder of the lease starts loads.
	Controller struct {
		Dependencies

		mu sync.Mutex
		// activeLoads holds the names of the endpoints with a load request of this host in flight.
		activeLoads map[string]bool
	}

	// NotInProgressError reports a rollout that was ended or replaced before it could be completed.
	NotInProgressError struct {
		model string
	}
)

const (
	leaseName    = "rollout"
	stepInterval = time.Second
	// maxConcurrentReports bounds the number of endpoints polled at the same time.
	maxConcurrentReports = 16
	// reportTimeout bounds one poll of an endpoint.
	reportTimeout = 500 * time.Millisecond
	// loadTimeout bounds a load request; the engine keeps loading after it passes.
	loadTimeout = 30 * time.Second
)

// New returns a Controller with the given dependencies.
func New(deps Dependencies) *Controller {
	return &Controller{Dependencies: deps, activeLoads: make(map[string]bool)}
}

// Error returns the message with the name of the model.
func (e *NotInProgressError) Error() string {
	return "rollout: no rollout in progress for model " + e.model
}

// Run calls Step every second until ctx is done.
func (co *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		co.Step(ctx)
		select {
		case <-ctx.Done():
		case <-co.Clock.After(stepInterval):
		}
	}
}

// Step advances the rollout as far as possible now. It is idempotent: a load that this host or
// another has already started is not started again.
func (co *Controller) Step(ctx context.Context) {
	model, ok := co.nextModel()
	if !ok || !co.IsCandidate() {
		return
	}
	ls := co.Leases.AcquireOrRenew(ctx, leaseName)
	if !ls.IsSettled(co.Clock.Now()) {
		return
	}
	reports := co.fetchReports(ctx, model)
	loading, pending := co.classifyEndpoints(model, reports)
	if len(pending) == 0 && loading == 0 {
		co.complete(ctx, model)
		return
	}
	for _, ep := range pending {
		if loading >= co.Snapshot().LoadLimit() {
			return
		}
		if co.startLoad(ctx, model, ep) {
			loading++
		}
	}
}

// nextModel returns the first model with a rollout in progress.
func (co *Controller) nextModel() (configuration.Model, bool) {
	for _, m := range co.Snapshot().Document().Models {
		if m.NextVersion != "" && m.NextVersion != m.Version {
			return m, true
		}
	}
	return configuration.Model{}, false
}

// fetchReports returns the load reports of the model's endpoints by name, without those of
// endpoints that did not respond.
func (co *Controller) fetchReports(ctx context.Context, model configuration.Model) map[string]engine.LoadReport {
	reports := make(map[string]engine.LoadReport)
	var mu sync.Mutex
	var eg errgroup.Group
	eg.SetLimit(maxConcurrentReports)
	for _, ep := range co.Snapshot().EndpointsOf(model.Name) {
		eg.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if ld, err := co.Engines.FetchLoad(ctx, ep.Address); err == nil {
				mu.Lock()
				defer mu.Unlock()
				reports[ep.Name] = ld
			}
			return nil
		})
	}
	_ = eg.Wait()
	return reports
}

// classifyEndpoints returns the number of endpoints that are loading weights, according to their
// report or to a load request of this host in flight, and the endpoints that still have to load.
// An endpoint without a report, unless it is leaving, counts as pending through an entry without a
// name, for which no load is started.
func (co *Controller) classifyEndpoints(model configuration.Model, reports map[string]engine.LoadReport) (loading int, pending []configuration.Endpoint) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, ep := range co.Snapshot().EndpointsOf(model.Name) {
		ld, ok := reports[ep.Name]
		switch {
		case co.activeLoads[ep.Name] || (ok && ld.Loading):
			loading++
		case !ok && !ep.Leaving:
			pending = append(pending, configuration.Endpoint{})
		case ok && ld.Version != model.NextVersion:
			pending = append(pending, ep)
		}
	}
	return loading, pending
}

// startLoad starts loading the next version on one endpoint, in the background, and reports whether
// the load was started. It checks the lease immediately before.
func (co *Controller) startLoad(ctx context.Context, model configuration.Model, ep configuration.Endpoint) bool {
	if ep.Name == "" {
		return false
	}
	ls := co.Leases.AcquireOrRenew(ctx, leaseName)
	if !ls.IsHeld(co.Clock.Now()) {
		return false
	}
	co.mu.Lock()
	co.activeLoads[ep.Name] = true
	co.mu.Unlock()
	co.Log.WithFields(logrus.Fields{"endpoint": ep.Name, "version": model.NextVersion}).Info("Weight load started.")
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
		defer cancel()
		err := co.Engines.LoadWeights(ctx, ep.Address, model.Name, model.NextVersion, ls.FencingToken())
		if err != nil {
			co.Log.WithField("endpoint", ep.Name).WithError(err).Warn("Weight load failed.")
		}
		co.mu.Lock()
		defer co.mu.Unlock()
		delete(co.activeLoads, ep.Name)
	}()
	return true
}

// complete makes the next version of the model its current one. If an operator has changed the
// rollout in the meantime, the operator's change is kept.
func (co *Controller) complete(ctx context.Context, model configuration.Model) {
	_, err := co.Editor.Change(ctx, func(doc *configuration.Document) error {
		for i := range doc.Models {
			m := &doc.Models[i]
			if m.Name == model.Name && m.NextVersion == model.NextVersion {
				m.Version, m.NextVersion = model.NextVersion, ""
				return nil
			}
		}
		return &NotInProgressError{model: model.Name}
	})
	entry := co.Log.WithFields(logrus.Fields{"model": model.Name, "version": model.NextVersion})
	if err != nil {
		entry.WithError(err).Warn("Rollout could not be completed.")
		return
	}
	entry.Info("Rollout completed.")
}
