// Package rollout brings new weights to the endpoints of a model, a bounded number at a time over
// the whole fleet.
//
// One host at a time does this, under a lease whose fencing number goes with each order. What has
// been done is read from the endpoints' reports, and what is to be done from the configuration,
// so another host can go on at any point.
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
	// Engines reports on endpoints and orders them to load weights.
	Engines interface {
		Load(ctx context.Context, address string) (engine.Load, error)
		LoadWeights(ctx context.Context, address, model, version string, fencing uint64) error
	}

	// Leases holds the lease of the controller.
	Leases interface {
		Hold(ctx context.Context, name string) lease.Lease
	}

	// Editor changes the configuration.
	Editor interface {
		Change(ctx context.Context, change func(*configuration.Document) error) (uint64, error)
	}

	// Parts are what a Controller works with. All are required.
	Parts struct {
		Clock    clock.Clock
		Snapshot func() *configuration.Snapshot
		// IsChosen reports whether this host should try to hold the lease.
		IsChosen func() bool
		Engines  Engines
		Leases   Leases
		Editor   Editor
		Log      logrus.FieldLogger
	}

	// Controller is one host's side. Only the holder of the lease gives orders.
	Controller struct {
		Parts

		mu      sync.Mutex
		ordered map[string]bool
	}

	// DoneError reports a rollout that ended, or was replaced, while it was being concluded.
	DoneError struct {
		model string
	}
)

const (
	leaseName  = "rollout"
	stepPeriod = time.Second
	// reportsAtOnce bounds the endpoints that are asked at a time.
	reportsAtOnce = 16
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds a load order; the engine goes on when it passes.
	orderTimeout = 30 * time.Second
)

// New returns a controller.
func New(parts Parts) *Controller {
	return &Controller{Parts: parts, ordered: make(map[string]bool)}
}

// Error names the model.
func (e *DoneError) Error() string {
	return "rollout: nothing is being rolled out for model " + e.model
}

// Run takes a step each second until ctx ends.
func (co *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		co.Step(ctx)
		select {
		case <-ctx.Done():
		case <-co.Clock.After(stepPeriod):
		}
	}
}

// Step does what can be done now. It is idempotent: a step that was done before, by this host or
// another, is not done again.
func (co *Controller) Step(ctx context.Context) {
	model, ok := co.open()
	if !ok || !co.IsChosen() {
		return
	}
	ls := co.Leases.Hold(ctx, leaseName)
	if !ls.IsSettled(co.Clock.Now()) {
		return
	}
	reports := co.reports(ctx, model)
	loading, pending := co.survey(model, reports)
	if len(pending) == 0 && loading == 0 {
		co.conclude(ctx, model)
		return
	}
	for _, ep := range pending {
		if loading >= co.Snapshot().LoadLimit() {
			return
		}
		if co.order(ctx, model, ep) {
			loading++
		}
	}
}

// open returns the first model that has a version to roll out.
func (co *Controller) open() (configuration.Model, bool) {
	for _, m := range co.Snapshot().Document().Models {
		if m.NextVersion != "" && m.NextVersion != m.Version {
			return m, true
		}
	}
	return configuration.Model{}, false
}

func (co *Controller) reports(ctx context.Context, model configuration.Model) map[string]engine.Load {
	out := make(map[string]engine.Load)
	var mu sync.Mutex
	var eg errgroup.Group
	eg.SetLimit(reportsAtOnce)
	for _, ep := range co.Snapshot().EndpointsOf(model.Name) {
		eg.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if ld, err := co.Engines.Load(ctx, ep.Address); err == nil {
				mu.Lock()
				defer mu.Unlock()
				out[ep.Name] = ld
			}
			return nil
		})
	}
	_ = eg.Wait()
	return out
}

// survey returns how many endpoints load weights now, by their own word or by an order of this
// host that has not ended, and which still need an order. An endpoint that does not report counts
// as pending, but gets no order.
func (co *Controller) survey(model configuration.Model, reports map[string]engine.Load) (loading int, pending []configuration.Endpoint) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, ep := range co.Snapshot().EndpointsOf(model.Name) {
		ld, ok := reports[ep.Name]
		switch {
		case co.ordered[ep.Name] || (ok && ld.Loading):
			loading++
		case !ok && !ep.Leaving:
			pending = append(pending, configuration.Endpoint{})
		case ok && ld.Version != model.NextVersion:
			pending = append(pending, ep)
		}
	}
	return loading, pending
}

// order orders one endpoint to load, in the background. The lease is checked right before.
func (co *Controller) order(ctx context.Context, model configuration.Model, ep configuration.Endpoint) bool {
	if ep.Name == "" {
		return false
	}
	ls := co.Leases.Hold(ctx, leaseName)
	if !ls.IsHeld(co.Clock.Now()) {
		return false
	}
	co.mu.Lock()
	co.ordered[ep.Name] = true
	co.mu.Unlock()
	co.Log.WithFields(logrus.Fields{"endpoint": ep.Name, "version": model.NextVersion}).Info("Load ordered.")
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
		defer cancel()
		err := co.Engines.LoadWeights(ctx, ep.Address, model.Name, model.NextVersion, ls.Fencing())
		if err != nil {
			co.Log.WithField("endpoint", ep.Name).WithError(err).Warn("Load failed.")
		}
		co.mu.Lock()
		defer co.mu.Unlock()
		delete(co.ordered, ep.Name)
	}()
	return true
}

// conclude makes the next version the version. An operator who changed the rollout meanwhile wins.
func (co *Controller) conclude(ctx context.Context, model configuration.Model) {
	_, err := co.Editor.Change(ctx, func(doc *configuration.Document) error {
		for i := range doc.Models {
			m := &doc.Models[i]
			if m.Name == model.Name && m.NextVersion == model.NextVersion {
				m.Version, m.NextVersion = model.NextVersion, ""
				return nil
			}
		}
		return &DoneError{model: model.Name}
	})
	entry := co.Log.WithFields(logrus.Fields{"model": model.Name, "version": model.NextVersion})
	if err != nil {
		entry.WithError(err).Warn("Rollout not concluded.")
		return
	}
	entry.Info("Rollout concluded.")
}
