// Package upgrade rolls the weights that the operator selects out to the engines of a fleet, a few
// engines at a time. Only one host at a time runs the rollout; see package leadership.
package upgrade

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

const (
	// stepInterval is the interval between two steps of the controller; a load takes about 1.8 s.
	stepInterval = 100 * time.Millisecond
	// idleInterval is the time between two checks whether this host may send orders. A new leader waits longer
	// than that before it may.
	idleInterval = 500 * time.Millisecond
	// parallelDivisor divides the number of engines to get the number that load weights at a time. If
	// more do, each load takes longer, according to the specifications of the deployments in use.
	parallelDivisor = 6
	// typicalLoadTime is the approximate duration of a load once the engine is idle.
	typicalLoadTime = 1800 * time.Millisecond
	// drainLeadTime is how long, at most, an engine receives no new requests before it is sent an order,
	// so that it is nearly idle when the order arrives.
	drainLeadTime = 900 * time.Millisecond
	// orderRetryInterval is the time after which an order that shows no effect is sent again. If
	// the first one arrives only after the second, the engine rejects it, because its ExpectedOrders no
	// longer matches.
	orderRetryInterval = 2500 * time.Millisecond
	// reportInterval is the interval between two reports requested from a loading engine.
	reportInterval = 300 * time.Millisecond
	// loadingMarkTTL is how long an engine is marked as loading after the controller last confirmed it.
	// Hosts send no requests to a marked engine.
	loadingMarkTTL = time.Second
	// unreachableHoldTime is for how long an engine that cannot be reached counts as one that loads, so that not even more are
	// out of use. The entry of a crashed one is removed by then. After that others go first, and it is tried again every
	// unreachableRetryInterval.
	unreachableHoldTime      = 4 * time.Second
	unreachableRetryInterval = time.Second
)

type (
	// Report is the state that an engine reports.
	Report struct {
		// Busy reports whether the engine is executing an order.
		Busy bool
		// AcceptedOrders is the number of orders that the engine has accepted since its start.
		AcceptedOrders uint64
		// Versions holds the loaded weight versions by model.
		Versions map[string]uint64
		// Statement is what the engine says of itself.
		Statement fleet.Statement
	}

	// Order tells an engine to load a version of a model's weights once its running requests have ended.
	Order struct {
		Model   string
		Version uint64
		// Holder is the host that sends the order.
		Holder string
		// FencingToken is the fencing token of the holder.
		FencingToken uint64
		// ExpectedOrders is the number of orders that the engine must have accepted before this one.
		ExpectedOrders uint64
	}

	// Engines calls the engines. Implementations are safe for concurrent use.
	Engines interface {
		// FetchReport requests the state of the engine with the given identifier and address. The statement of the report
		// is set also if the engine refuses the call.
		FetchReport(ctx context.Context, address, id string) (Report, error)
		// SendOrder sends an order and returns the reply and what the engine says of itself. After an error the order may
		// still be executed, now or later.
		SendOrder(ctx context.Context, address, id string, od Order) (Reply, fleet.Statement, error)
	}

	// Options configures a Controller. All fields are required.
	Options struct {
		Clock   clock.Clock
		Fleet   *fleet.Fleet
		Engines Engines
		Holder  string
		// FencingToken returns the fencing token if this host may send orders now.
		FencingToken func() (uint64, bool)
		// UntilActive returns how long it takes until this host may send orders; ok is false if that is not
		// foreseeable.
		UntilActive func() (d time.Duration, ok bool)
		Log         logrus.FieldLogger
	}

	// Controller assigns weights to engines and tracks the loads in progress. It is safe for concurrent
	// use.
	Controller struct {
		opts Options

		mu      sync.Mutex
		targets map[string]uint64
		jobs    map[string]*job
		// unreachable holds the engines without an order that could not be reached.
		unreachable map[string]unreachability
	}

	// unreachability is since when an engine could not be reached, and until when others go first.
	unreachability struct {
		since, passedOverUntil time.Time
	}

	// job is the change of one engine's weights: the engine is drained, gets an order and then loads.
	job struct {
		address   string
		model     string
		version   uint64
		startedAt time.Time
		// startTimeMs is the start time of the engine, in Unix milliseconds.
		startTimeMs int64
		// orderedAt is the time of the latest order; it is zero while the engine is being drained.
		orderedAt time.Time
		// polledAt is the time at which the latest call to the engine returned.
		polledAt time.Time
		// confirmed reports whether the engine has reported the version as loaded.
		confirmed bool
		// isPassedOver reports that others go first, as the engine could not be reached.
		isPassedOver bool
		// callInFlight reports whether advanceJob is running for the job.
		callInFlight bool
	}
)

// New returns a controller without target versions.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, targets: make(map[string]uint64), jobs: make(map[string]*job), unreachable: make(map[string]unreachability),
	}
}

// SetTarget sets the version that a model's engines should have. It never lowers the version.
func (co *Controller) SetTarget(model string, version uint64) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.targets[model] = max(co.targets[model], version)
}

// LoadingEngines returns the sorted identifiers of the engines that load weights or are being drained
// for a load.
func (co *Controller) LoadingEngines() []string {
	co.mu.Lock()
	defer co.mu.Unlock()
	out := make([]string, 0, len(co.jobs))
	for id := range co.jobs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Run upgrades engines while this host may send orders, until ctx ends. The first engines are drained just before
// it may.
func (co *Controller) Run(ctx context.Context) {
	var eg errgroup.Group
	for ctx.Err() == nil {
		interval := stepInterval
		if token, ok := co.opts.FencingToken(); ok {
			co.step(ctx, &eg, token)
		} else if wait, ok := co.opts.UntilActive(); ok && wait > 0 && wait <= drainLeadTime {
			co.planJobs()
			interval = min(stepInterval, wait)
		} else {
			co.clearJobs()
			interval = idleInterval
			if ok && wait > 0 {
				interval = min(idleInterval, wait-drainLeadTime)
			}
		}
		select {
		case <-ctx.Done():
		case <-co.opts.Clock.After(interval):
		}
	}
	// Calls in flight end with ctx.
	_ = eg.Wait()
}

// clearJobs discards all jobs when this host may no longer send orders. The loading marks of their engines
// expire after loadingMarkTTL.
func (co *Controller) clearJobs() {
	co.mu.Lock()
	defer co.mu.Unlock()
	clear(co.jobs)
}

// planJobs removes finished jobs and creates new ones, whose engines are drained from then on. It returns the
// endpoints by identifier.
func (co *Controller) planJobs() map[string]fleet.View {
	now := co.opts.Clock.Now()
	views := co.opts.Fleet.All()
	co.mu.Lock()
	defer co.mu.Unlock()
	viewByID := make(map[string]fleet.View, len(views))
	engineCount := 0
	for _, vw := range views {
		viewByID[vw.ID] = vw
		if len(vw.Models) > 0 && !vw.Draining {
			engineCount++
		}
	}
	for id, jb := range co.jobs {
		vw, ok := viewByID[id]
		isRefused := jb.orderedAt.IsZero() && vw.Waiting
		if !ok || isRefused || jb.isPassedOver || vw.Draining || vw.Address != jb.address || vw.Models[jb.model] >= jb.version && jb.confirmed {
			delete(co.jobs, id)
			co.opts.Fleet.MarkLoading(id, time.Time{})
		}
	}
	maps.DeleteFunc(co.unreachable, func(id string, _ unreachability) bool {
		_, ok := viewByID[id]
		return !ok
	})
	maxParallel := max(1, engineCount/parallelDivisor)
	// Engines with the oldest versions go first, because their weights expire first.
	slices.SortStableFunc(views, func(a, b fleet.View) int { return cmp.Compare(oldestVersion(a), oldestVersion(b)) })
	for _, vw := range views {
		model, version, ok := co.targetFor(vw)
		if !ok || now.Before(co.unreachable[vw.ID].passedOverUntil) || co.jobs[vw.ID] != nil || !co.canStart(now, maxParallel) {
			continue
		}
		co.jobs[vw.ID] = &job{address: vw.Address, model: model, version: version, startedAt: now, startTimeMs: vw.StartTimeMs}
	}
	for id := range co.jobs {
		co.opts.Fleet.MarkLoading(id, now.Add(loadingMarkTTL))
	}
	return viewByID
}

// step plans jobs and starts the calls that are due in eg.
func (co *Controller) step(ctx context.Context, eg *errgroup.Group, token uint64) {
	viewByID := co.planJobs()
	now := co.opts.Clock.Now()
	co.mu.Lock()
	defer co.mu.Unlock()
	for id, jb := range co.jobs {
		if jb.callInFlight || viewByID[id].Waiting {
			continue
		}
		idle := viewByID[id].TotalLoad().Requests == 0
		switch {
		case jb.orderedAt.IsZero() && (idle || now.Sub(jb.startedAt) >= drainLeadTime),
			!jb.orderedAt.IsZero() && now.Sub(jb.orderedAt) >= typicalLoadTime-reportInterval && now.Sub(jb.polledAt) >= reportInterval:
			jb.callInFlight = true
			eg.Go(func() error {
				co.advanceJob(ctx, id, jb, token)
				return nil
			})
		}
	}
}

// targetFor returns a model of which an engine has an older version than the target, and the target
// version; ok reports whether there is one.
func (co *Controller) targetFor(vw fleet.View) (model string, version uint64, ok bool) {
	if vw.Draining || vw.Retained || vw.Waiting {
		return "", 0, false
	}
	for name, current := range vw.Models {
		if target := co.targets[name]; target > current {
			return name, target, true
		}
	}
	return "", 0, false
}

// oldestVersion returns the lowest version that an engine has of any model.
func oldestVersion(vw fleet.View) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, version := range vw.Models {
		oldest = min(oldest, version)
	}
	return oldest
}

// canStart reports whether one more job may start. Engines that are being drained count like those
// that load. A load that should end within drainLeadTime no longer counts, so that the next engine can
// be drained in the meantime.
func (co *Controller) canStart(now time.Time, maxParallel int) bool {
	loading, draining := 0, 0
	for _, jb := range co.jobs {
		if jb.orderedAt.IsZero() {
			draining++
		} else if now.Sub(jb.orderedAt) < typicalLoadTime-drainLeadTime {
			loading++
		}
	}
	return draining < maxParallel && loading+draining < maxParallel
}

// advanceJob requests an engine's report. It confirms the job if the weights are loaded, and otherwise
// sends the order if one is due.
func (co *Controller) advanceJob(ctx context.Context, id string, jb *job, token uint64) {
	defer func() {
		co.mu.Lock()
		jb.callInFlight, jb.polledAt = false, co.opts.Clock.Now()
		co.mu.Unlock()
	}()
	co.opts.Fleet.CountCall(id)
	sentAt := co.opts.Clock.Now()
	rp, err := co.opts.Engines.FetchReport(ctx, jb.address, id)
	co.recordStatement(id, jb, rp.Statement, sentAt)
	if err != nil {
		co.opts.Log.WithFields(logrus.Fields{"endpoint": id, "cause": err.Error()}).Warn("Cannot get the engine's report.")
		co.noteUnreachable(id, jb)
		return
	}
	now := co.opts.Clock.Now()
	co.mu.Lock()
	delete(co.unreachable, id)
	due := jb.orderedAt.IsZero() || now.Sub(jb.orderedAt) >= orderRetryInterval
	version := max(jb.version, co.targets[jb.model])
	jb.version = version
	co.mu.Unlock()
	loaded := rp.Versions[jb.model]
	if loaded >= version && !rp.Busy {
		co.opts.Fleet.SetWeights(id, jb.model, loaded)
		co.mu.Lock()
		jb.confirmed = true
		co.mu.Unlock()
		co.opts.Log.WithFields(logrus.Fields{"endpoint": id, "model": jb.model, "version": loaded}).Info("Engine has loaded the target weights.")
		return
	}
	if rp.Busy || !due || rp.Statement.IsLeaving || rp.Statement.Wait > 0 {
		return
	}
	// This host may have lost the leadership during the call.
	if current, ok := co.opts.FencingToken(); !ok || current != token {
		return
	}
	od := Order{Model: jb.model, Version: version, Holder: co.opts.Holder, FencingToken: token, ExpectedOrders: rp.AcceptedOrders}
	co.opts.Fleet.CountCall(id)
	re, st, err := co.opts.Engines.SendOrder(ctx, jb.address, id, od)
	co.recordStatement(id, jb, st, now)
	co.mu.Lock()
	jb.orderedAt = now
	co.mu.Unlock()
	fields := logrus.Fields{
		"endpoint": id, "model": od.Model, "version": od.Version, "fence": token, "orders": od.ExpectedOrders, "reply": re.String(),
	}
	if err != nil {
		fields["reply"], fields["cause"] = "unknown", err.Error()
	}
	co.opts.Log.WithFields(fields).Info("Engine was told to take weights.")
}

// noteUnreachable records a failed call to an engine. Other engines go first if it has no order and could not be reached for long.
func (co *Controller) noteUnreachable(id string, jb *job) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !jb.orderedAt.IsZero() {
		return
	}
	now := co.opts.Clock.Now()
	un := co.unreachable[id]
	if un.since.IsZero() {
		un.since = now
	}
	if now.Sub(un.since) >= unreachableHoldTime {
		jb.isPassedOver, un.passedOverUntil = true, now.Add(unreachableRetryInterval)
	}
	co.unreachable[id] = un
}

// recordStatement records what an engine says of itself in the response to a call that was sent at sentAt.
func (co *Controller) recordStatement(id string, jb *job, st fleet.Statement, sentAt time.Time) {
	if co.opts.Fleet.RecordStatement(id, jb.startTimeMs, st, sentAt, false) {
		co.opts.Log.WithFields(logrus.Fields{"endpoint": id, "field": st.Invalid}).Warn("Endpoint's statement is invalid.")
	}
}
