// Package upgrade brings the engines of a fleet to the weights that the operator names, a few at a
// time. One host at a time does so; see package leadership.
package upgrade

import (
	"cmp"
	"context"
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
	// tick is how often the controller looks; a load takes about 1.8 s.
	tick = 100 * time.Millisecond
	// parallelShare is the part of the engines that loads weights at a time; beyond that part each
	// load takes longer, on the sheets of the deployments in use.
	parallelShare = 6
	// loadTime is about how long a load takes once the engine is idle.
	loadTime = 1800 * time.Millisecond
	// drainAhead is how long before its turn an engine gets no new requests, so that it is nearly
	// idle when the order arrives.
	drainAhead = 900 * time.Millisecond
	// orderPause is how long an order without any sign of being carried out is waited for before
	// it is sent again. Late orders are told apart by the number of orders they expect.
	orderPause = 2500 * time.Millisecond
	// checkPause is the pause between two reports of an engine that is loading.
	checkPause = 300 * time.Millisecond
	// markFor is how long hosts keep requests away from an engine after the last word on it.
	markFor = time.Second
)

type (
	// Report is what an engine says of itself.
	Report struct {
		// Busy reports that an order is being carried out.
		Busy bool
		// Orders is how many orders the engine has accepted since its start.
		Orders uint64
		// Versions are the versions of its weights by model.
		Versions map[string]uint64
	}

	// Order tells an engine to take other weights once its running requests have ended.
	Order struct {
		Model   string
		Version uint64
		// Holder and Fence identify who gives the order.
		Holder string
		Fence  uint64
		// Orders is how many orders the engine must have accepted before.
		Orders uint64
	}

	// Reply is how an engine took an order.
	Reply int

	// Engines makes the calls to engines. Implementations are safe for concurrent use.
	Engines interface {
		// Report asks the engine with an identifier at an address.
		Report(ctx context.Context, address, id string) (Report, error)
		// Order sends an order. An error means that the order may be carried out, now or later.
		Order(ctx context.Context, address, id string, od Order) (Reply, error)
	}

	// Options configures a Controller. All fields are needed.
	Options struct {
		Clock   clock.Clock
		Fleet   *fleet.Fleet
		Engines Engines
		Holder  string
		// Fence returns the fencing number if this host may give orders now.
		Fence func() (uint64, bool)
		Log   logrus.FieldLogger
	}

	// Controller is safe for concurrent use.
	Controller struct {
		opts Options

		mu     sync.Mutex
		target map[string]uint64
		work   map[string]*job
	}

	job struct {
		address   string
		model     string
		version   uint64
		marked    time.Time
		ordered   time.Time
		asked     time.Time
		confirmed bool
		running   bool
	}
)

const (
	// Accepted orders are being carried out.
	Accepted Reply = iota
	// Holds means that the engine has these weights already.
	Holds
	// Conflict means that another order is under way, or others were accepted meanwhile.
	Conflict
	// Outdated means that a holder with a higher fencing number has given orders.
	Outdated
	// Elsewhere means that another engine has the address.
	Elsewhere
	// Invalid means that the engine does not know the order.
	Invalid
	// Unready means that the engine did not take the call.
	Unready
)

// String returns the word used in log lines.
func (re Reply) String() string {
	return [...]string{"accepted", "holds", "conflict", "outdated", "elsewhere", "invalid", "unready"}[re]
}

// New returns a controller without targets.
func New(opts Options) *Controller {
	return &Controller{opts: opts, target: make(map[string]uint64), work: make(map[string]*job)}
}

// Target names the version that a model's engines should have.
func (co *Controller) Target(model string, version uint64) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.target[model] = max(co.target[model], version)
}

// Loading returns the identifiers of the engines that are taking weights now, or are about to.
func (co *Controller) Loading() []string {
	co.mu.Lock()
	defer co.mu.Unlock()
	out := make([]string, 0, len(co.work))
	for id := range co.work {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Run works until ctx ends.
func (co *Controller) Run(ctx context.Context) {
	var eg errgroup.Group
	for ctx.Err() == nil {
		if fence, ok := co.opts.Fence(); ok {
			co.step(ctx, &eg, fence)
		} else {
			co.drop()
		}
		select {
		case <-ctx.Done():
		case <-co.opts.Clock.After(tick):
		}
	}
	// Calls end with ctx.
	_ = eg.Wait()
}

func (co *Controller) drop() {
	co.mu.Lock()
	defer co.mu.Unlock()
	clear(co.work)
}

// step starts, checks and ends work. It sends nothing itself.
func (co *Controller) step(ctx context.Context, eg *errgroup.Group, fence uint64) {
	now := co.opts.Clock.Now()
	views := co.opts.Fleet.All()
	co.mu.Lock()
	defer co.mu.Unlock()
	present := make(map[string]fleet.View, len(views))
	engines := 0
	for _, vw := range views {
		present[vw.ID] = vw
		if len(vw.Models) > 0 && !vw.Draining {
			engines++
		}
	}
	for id, jb := range co.work {
		vw, ok := present[id]
		if !ok || vw.Draining || vw.Address != jb.address || vw.Models[jb.model] >= jb.version && jb.confirmed {
			delete(co.work, id)
			co.opts.Fleet.Loading(id, time.Time{})
		}
	}
	atOnce := max(1, engines/parallelShare)
	// Engines that are furthest behind go first, because their weights expire first.
	slices.SortStableFunc(views, func(a, b fleet.View) int { return cmp.Compare(oldest(a), oldest(b)) })
	for _, vw := range views {
		model, version, ok := co.wanted(vw)
		if !ok || co.work[vw.ID] != nil || !co.room(now, atOnce) {
			continue
		}
		co.work[vw.ID] = &job{address: vw.Address, model: model, version: version, marked: now}
	}
	for id, jb := range co.work {
		co.opts.Fleet.Loading(id, now.Add(markFor))
		if jb.running {
			continue
		}
		idle := present[id].Sum().Requests == 0
		switch {
		case jb.ordered.IsZero() && (idle || now.Sub(jb.marked) >= drainAhead),
			!jb.ordered.IsZero() && now.Sub(jb.ordered) >= loadTime-checkPause && now.Sub(jb.asked) >= checkPause:
			jb.running = true
			eg.Go(func() error {
				co.attend(ctx, id, jb, fence)
				return nil
			})
		}
	}
}

// wanted returns the weights that an engine should take, if it has others.
func (co *Controller) wanted(vw fleet.View) (model string, version uint64, ok bool) {
	if vw.Draining || vw.Held {
		return "", 0, false
	}
	for name, have := range vw.Models {
		if want := co.target[name]; want > have {
			return name, want, true
		}
	}
	return "", 0, false
}

func oldest(vw fleet.View) uint64 {
	least := uint64(math.MaxUint64)
	for _, version := range vw.Models {
		least = min(least, version)
	}
	return least
}

// room reports whether one more engine may begin. Engines that are emptied ahead of their turn
// count besides those that load.
func (co *Controller) room(now time.Time, atOnce int) bool {
	loading, emptying := 0, 0
	for _, jb := range co.work {
		if jb.ordered.IsZero() {
			emptying++
		} else if now.Sub(jb.ordered) < loadTime-drainAhead {
			loading++
		}
	}
	return emptying < atOnce && loading+emptying < atOnce
}

// attend asks an engine for its state, and sends the order if it is due.
func (co *Controller) attend(ctx context.Context, id string, jb *job, fence uint64) {
	defer func() {
		co.mu.Lock()
		jb.running, jb.asked = false, co.opts.Clock.Now()
		co.mu.Unlock()
	}()
	rp, err := co.opts.Engines.Report(ctx, jb.address, id)
	if err != nil {
		co.opts.Log.WithFields(logrus.Fields{"endpoint": id, "cause": err.Error()}).Warn("Engine did not report.")
		return
	}
	now := co.opts.Clock.Now()
	co.mu.Lock()
	due := jb.ordered.IsZero() || now.Sub(jb.ordered) >= orderPause
	version := max(jb.version, co.target[jb.model])
	jb.version = version
	co.mu.Unlock()
	have := rp.Versions[jb.model]
	if have >= version && !rp.Busy {
		co.opts.Fleet.Weights(id, jb.model, have)
		co.mu.Lock()
		jb.confirmed = true
		co.mu.Unlock()
		co.opts.Log.WithFields(logrus.Fields{"endpoint": id, "model": jb.model, "version": have}).Info("Engine has the weights.")
		return
	}
	if rp.Busy || !due {
		return
	}
	// The right to give orders may have ended while the engine was asked.
	if current, ok := co.opts.Fence(); !ok || current != fence {
		return
	}
	od := Order{Model: jb.model, Version: version, Holder: co.opts.Holder, Fence: fence, Orders: rp.Orders}
	re, err := co.opts.Engines.Order(ctx, jb.address, id, od)
	co.mu.Lock()
	jb.ordered = now
	co.mu.Unlock()
	fields := logrus.Fields{
		"endpoint": id, "model": od.Model, "version": od.Version, "fence": fence, "orders": od.Orders, "reply": re.String(),
	}
	if err != nil {
		fields["reply"], fields["cause"] = "unknown", err.Error()
	}
	co.opts.Log.WithFields(fields).Info("Engine was told to take weights.")
}
