package canary

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// Options configures a Tracker. All fields are required.
	Options struct {
		Clock  clock.Clock
		Limits func() Limits
		// HostCount returns the number of hosts that share the slack.
		HostCount func() int
		// HasOther reports whether endpoints of a service have other software versions than the given ones.
		HasOther func(service string, versions ...string) bool
	}

	// Tracker holds the rollouts that a host knows of. It is safe for concurrent use.
	Tracker struct {
		opts Options

		mu sync.Mutex
		// changed is closed when there is an order, or the limits have changed.
		changed  chan struct{}
		rollouts map[string]*rollout
		typicals map[routeKey]*typical
		// times holds how long requests were at endpoints, by service.
		times map[string]*recentTimes
		// unread holds the rollouts whose orders this host has not read, read the highest revision number that it has read, by service.
		unread map[string]*provisional
		read   map[string]uint64
		// held holds, by service and version, the versions of earlier orders that get no requests until they are ordered again, and
		// whether they are bad.
		held map[string]map[string]bool
		// hosts is the highest number of hosts so far.
		hosts int
	}

	// rollout is the rollout of one service.
	rollout struct {
		order     Order
		startedAt time.Time
		// hasOld is set once the service had other versions.
		hasOld   bool
		exposure Exposure
		// raisedAt is when the exposure last rose.
		raisedAt time.Time
		bad      bool
		finding  Finding
		outcome  Outcome
		budget   budget
		own      map[string]Evidence
		// peers holds the evidence of others by sender. The total of an aggregator includes that of this host.
		peers map[string][]Evidence
		// covers holds what others have told of the exposure in force, by sender.
		covers     map[string]coverReport
		judge      judge
		observedAt time.Time
	}

	// Status is a snapshot of a rollout.
	Status struct {
		Order    Order
		Age      time.Duration
		Exposure Exposure
		// SinceStep is the time since the exposure last rose, as this host has heard.
		SinceStep time.Duration
		Bad       bool
		Finding   Finding
		Responses uint64
		// AllResponses is the number of responses of all versions, and Rate the recent number of them in a second.
		AllResponses uint64
		Rate         float64
		// LongestRequest is how long almost all recent requests were at endpoints; zero if this host has seen few.
		LongestRequest time.Duration
		// IsHeard is set if other hosts were heard lately, and IsFullEverywhere if all registered ones said lately that they
		// send to the old endpoints no more.
		IsHeard, IsFullEverywhere bool

		Outcome Outcome
		HasOld  bool
		// Requests is the number of requests that this host took from clients, and Sent that of requests to the unjudged version.
		Requests, Sent int
	}
)

// TotalSender is the sender of evidence that sums up all hosts.
const TotalSender = "total"

// New returns a tracker that knows no rollouts.
func New(opts Options) *Tracker {
	return &Tracker{
		opts: opts, changed: make(chan struct{}), rollouts: make(map[string]*rollout), typicals: make(map[routeKey]*typical), times: make(map[string]*recentTimes),
		held:   make(map[string]map[string]bool),
		unread: make(map[string]*provisional), read: make(map[string]uint64),
	}
}

// Begin records an order. IsNew is set if the host has followed the store until the order came; otherwise it may have
// sent requests to the version before a restart. It reports whether the order was not known.
func (tr *Tracker) Begin(od Order, isNew bool) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ro := tr.rollouts[od.Service]; ro != nil {
		if ro.order.Key() == od.Key() {
			return false
		}
		tr.hold(ro)
	}
	delete(tr.held[od.Service], od.To)
	ro := newRollout(od, tr.opts.Clock.Now())
	ro.budget.hasSlack = isNew
	tr.adoptUnread(ro)
	tr.rollouts[od.Service] = ro
	tr.wake()
	return true
}

// Withdraw records that the operator has taken the order for a service back.
func (tr *Tracker) Withdraw(service string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ro := tr.rollouts[service]; ro != nil {
		tr.hold(ro)
		delete(tr.rollouts, service)
	}
}

// End records how a rollout has ended.
func (tr *Tracker) End(key Key, oc Outcome) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ro := tr.find(key); ro != nil && oc != Running {
		ro.outcome = oc
	}
}

// Raise raises the exposure of a rollout.
func (tr *Tracker) Raise(key Key, ex Exposure) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ro := tr.find(key); ro != nil {
		tr.raise(ro, ex)
	}
}

func (tr *Tracker) raise(ro *rollout, ex Exposure) {
	ex = min(ex, Full)
	if ex > ro.exposure {
		ro.exposure, ro.raisedAt = ex, tr.opts.Clock.Now()
	}
}

// States returns what other hosts should know of the rollouts, sorted by service.
func (tr *Tracker) States() []State {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	out := make([]State, 0, len(tr.rollouts))
	for _, ro := range tr.rollouts {
		if ro.outcome == Completed {
			continue
		}
		out = append(out, State{Key: ro.order.Key(), Age: now.Sub(ro.startedAt), Exposure: ro.exposure, Bad: ro.bad})
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Key.Service, b.Key.Service) })
	return out
}

// MergeState adopts what another host knows of a rollout.
func (tr *Tracker) MergeState(st State) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ro := tr.find(st.Key); ro != nil {
		tr.merge(ro, st)
		return
	}
	tr.mergeUnread(st)
}

func (tr *Tracker) merge(ro *rollout, st State) {
	if at := tr.opts.Clock.Now().Add(-st.Age); at.Before(ro.startedAt) {
		ro.startedAt = at
	}
	tr.raise(ro, st.Exposure)
	ro.bad = ro.bad || st.Bad
}

// Evidence returns what this host has observed of a running rollout, sorted by route.
func (tr *Tracker) Evidence(key Key) []Evidence {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ro := tr.find(key)
	if ro == nil || ro.outcome != Running {
		return nil
	}
	return ro.ownEvidence()
}

// SetEvidence replaces the evidence of another host, or of all hosts if the sender is TotalSender.
func (tr *Tracker) SetEvidence(sender string, key Key, evs []Evidence) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ro := tr.find(key); ro != nil {
		ro.peers[sender] = evs
	}
}

// RecordRequest counts a request that this host took from a client and is about to send for the first time.
func (tr *Tracker) RecordRequest(service string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ro := tr.current(service)
	if ro != nil && (ro.order.Duration == 0 || tr.opts.Clock.Now().Sub(ro.startedAt) < ro.order.Duration) {
		ro.budget.requests++
	}
}

// Observe records a response of an endpoint.
func (tr *Tracker) Observe(re Response) {
	if !tr.opts.Limits().IsEnabled() {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ro := tr.current(re.Service)
	isNew := ro != nil && re.Software == ro.order.To
	key := routeKey{re.Service, re.Route}
	ty := tr.typicals[key]
	isSlow := !re.Failed && !re.Cold && re.FirstByte > 0 && ty.isSlow(re.ratio())
	if re.IsCutShort && !isSlow {
		return
	}
	if !isNew && !re.IsCutShort && !re.Failed && !re.Cold && re.FirstByte > 0 {
		if ty == nil {
			ty = &typical{}
			tr.typicals[key] = ty
		}
		ty.observe(re.ratio())
	}
	if ro == nil {
		return
	}
	ev := ro.own[re.Route]
	ev.Route = re.Route
	if isNew {
		ev.New = ev.New.Add(re.count(isSlow))
	} else {
		ev.Old = ev.Old.Add(re.count(isSlow))
	}
	ro.own[re.Route] = ev
}

// Judge weighs the evidence of all hosts. It returns the rollouts found to be bad by this call. Endpoints returns the number of
// endpoints of a service with a software version.
func (tr *Tracker) Judge(endpoints func(service, software string) int) []Status {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	var out []Status
	for _, ro := range tr.rollouts {
		if ro.outcome != Running {
			continue
		}
		dt := now.Sub(ro.observedAt)
		ro.observedAt = now
		ro.hasOld = ro.hasOld || tr.opts.HasOther(ro.order.Service, ro.order.To)
		fi := ro.judge.observe(now, dt, ro.allEvidence(), endpoints(ro.order.Service, ro.order.To))
		if ro.finding.Reason == "" {
			ro.finding = fi
		}
		if fi.Reason != "" && !ro.bad {
			ro.bad = true
			out = append(out, tr.status(ro, now))
		}
	}
	return out
}

// Statuses returns all rollouts, sorted by service.
func (tr *Tracker) Statuses() []Status {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	out := make([]Status, 0, len(tr.rollouts))
	for _, ro := range tr.rollouts {
		out = append(out, tr.status(ro, now))
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	return out
}

func (tr *Tracker) find(key Key) *rollout {
	if ro := tr.rollouts[key.Service]; ro != nil && ro.order.Key() == key {
		return ro
	}
	return nil
}

// hostCount returns the highest number of hosts so far, since those that are not seen any more may be cut off.
func (tr *Tracker) hostCount() int {
	tr.hosts = max(tr.hosts, tr.opts.HostCount())
	return tr.hosts
}

// isCutOff reports whether the new version gets no requests.
func (ro *rollout) isCutOff() bool {
	return ro.outcome == RolledBack || ro.bad && ro.outcome == Running
}

func (ro *rollout) ownEvidence() []Evidence {
	out := make([]Evidence, 0, len(ro.own))
	for _, ev := range ro.own {
		out = append(out, ev)
	}
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Route, b.Route) })
	return out
}

// allEvidence returns the evidence of all hosts by route: the last total, or the sum of what the hosts have told if there is
// none.
func (ro *rollout) allEvidence() map[string]Evidence {
	direct := [][]Evidence{ro.ownEvidence()}
	for sender, evs := range ro.peers {
		if sender != TotalSender {
			direct = append(direct, evs)
		}
	}
	sum, total := sumEvidence(direct...), sumEvidence(ro.peers[TotalSender])
	for route, ev := range total {
		// A total that is older, or has lost this host's report, says less than the host knows itself.
		if known := sum[route]; ev.New.Responses+ev.Old.Responses >= known.New.Responses+known.Old.Responses {
			sum[route] = ev
		}
	}
	return sum
}

func (tr *Tracker) status(ro *rollout, now time.Time) Status {
	all, isHeard := tr.cover(ro)
	return Status{
		IsHeard: isHeard, IsFullEverywhere: all.Hosts >= tr.opts.HostCount() && all.Lowest >= Full,
		Order: ro.order, Age: now.Sub(ro.startedAt), Exposure: ro.exposure, SinceStep: now.Sub(ro.raisedAt), Bad: ro.bad, Finding: ro.finding,
		Responses: ro.judge.responses, AllResponses: ro.judge.responses + ro.judge.older, Rate: ro.judge.rate,
		LongestRequest: tr.times[ro.order.Service].longest(), Outcome: ro.outcome, HasOld: ro.hasOld, Requests: ro.budget.requests, Sent: ro.budget.sent,
	}
}

// draws reports whether a request belongs to the share of the requests that an exposure gives to the new version.
func (ex Exposure) draws(request string, key Key) bool {
	return Exposure(rendezvous.Score(rendezvous.Hash(request), key.Revision)%uint64(Full)) < ex
}
