package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/freshness"
	"github.com/bergamotway/bergamotway/internal/hedge"
	"github.com/bergamotway/bergamotway/internal/lane"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/relay"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/timing"
	"github.com/bergamotway/bergamotway/internal/unread"
)

const (
	// defaultMaxBodyBytes bounds a request body while the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// transientRetryAfter is the Retry-After for refusals whose cause is expected to pass soon.
	transientRetryAfter = 250 * time.Millisecond
	// minAttemptTime is the least remaining time with which an attempt is started.
	minAttemptTime = 15 * time.Millisecond
)

type (
	// Meter records the metrics of the gateway. It must be safe for concurrent use.
	Meter interface {
		// Dispatched counts an attempt at an endpoint, by route.
		Dispatched(route string)
		// LaneUsed counts an attempt in a lane, by route, where the engines of the service are divided.
		LaneUsed(route, lane string)
		// Retried counts a failed attempt by reason and route.
		Retried(reason, route string)
		// ObserveFirstToken records the time from the arrival of a request to the first byte of its response.
		ObserveFirstToken(route string, d time.Duration)
		// ObserveFirstTokenEstimate records how long the first event of an engine took relative to the estimate.
		ObserveFirstTokenEstimate(route string, estimate, actual time.Duration)
		// CacheSeparated counts an attempt with a KV cache of its team's own, since a newer configuration may be in force.
		CacheSeparated(route string)
		// RequestEnded counts a request by its outcome.
		RequestEnded(route, outcome string)
		// Hedged counts a second attempt while the first one is under way: "hedged", "won" if its answer was used, "cancelled"
		// for the attempt that was not, and "withheld-" with a reason.
		Hedged(outcome, route string)
	}

	// Freshness tells whether the configuration of the host may have been replaced. It must be safe for concurrent use.
	Freshness interface {
		// Settle returns what is known of the configuration now. It may wait to learn of it, no longer than patience.
		Settle(ctx context.Context, patience time.Duration) freshness.Basis
		// Age returns the time since it was confirmed; ok is false if it never was.
		Age() (age time.Duration, ok bool)
	}

	// Options configures a Gateway. Fields without a stated zero value are required.
	Options struct {
		Clock  clock.Clock
		Codec  Codec
		Fleet  *fleet.Fleet
		Pool   *attempt.Pool
		Cache  *cachedir.Directory
		Budget *retry.WindowBudget
		// Hedger decides on second attempts while the first one is under way; nil means that there are none.
		Hedger *hedge.Hedger
		// Quarantine tracks the requests that were running on endpoints when they crashed.
		Quarantine *quarantine.Tracker
		// Parts tracks the parts of prompts that were running on endpoints when they crashed.
		Parts *quarantine.PartTracker
		Log   logrus.FieldLogger
		Meter Meter
		// BodyMemoryBytes bounds the memory of all request bodies together, in bytes; zero means no bound.
		BodyMemoryBytes int64
		// Rollouts bounds the requests to software versions that are being rolled out; nil means that there are none.
		Rollouts Rollouts
		// UnreadMemoryBytes bounds what the host holds for all clients together that do not read; zero means no bound.
		UnreadMemoryBytes int64
		// Freshness tells whether the configuration may have been replaced; nil means that it never has.
		Freshness Freshness
		// Neighbours are the hosts through which requests reach services that do not respond to this host, over the connections
		// of RelayPool; nil means that there are none.
		Neighbours *relay.Neighbours
		RelayPool  *attempt.Pool
		// Zone is the availability zone of this host.
		Zone string
		// Policy chooses endpoints; the zero value chooses the lowest expected cost.
		Policy placement.Policy
		// Timing learns the times of engines; nil means that this gateway learns them alone.
		Timing *timing.Book
		// HostCount returns the number of hosts, which share the connection limit of each endpoint.
		HostCount func() int
		// TargetVersion returns the weight version that the operator last set for a model; zero if none.
		TargetVersion func(model string) uint64
		// IsVersionExpired reports whether a weight version of a model may no longer be used.
		IsVersionExpired func(model string, version uint64) bool
		// Origins remembers which software version began each stream; nil means that no stream is told to other hosts, and
		// that each service has one version.
		Origins *origin.Directory
		// IsSoftwareRecorded reports whether all hosts will know, also after a restart, that a software version is in service;
		// nil means always.
		IsSoftwareRecorded func(service, software string) bool
		// ContactFields returns log fields that tell how old what the host knows is; nil means none.
		ContactFields func() logrus.Fields
		// WeightsTimeLeft returns for how long a request may still begin on a weight version of a model; ok is
		// false if that is not limited.
		WeightsTimeLeft func(model string, version uint64) (d time.Duration, ok bool)
	}

	// Gateway is the HTTP handler for clients. It is safe for concurrent use.
	Gateway struct {
		opts    Options
		catalog atomic.Pointer[catalog.Catalog]
		// configureMu is held while catalog changes; formerTeams are those of SetFormerTeams.
		configureMu        sync.Mutex
		formerTeams        []string
		keepAlivesDisabled atomic.Bool
		refusingNew        atomic.Bool
		// stopAt is the time at which a stopping host cuts its requests; nil while it does not stop.
		stopAt   atomic.Pointer[time.Time]
		inFlight atomic.Int64
		// relayed is the number of requests of other hosts in flight.
		relayed    atomic.Int64
		bodyBudget bodyBudget
		unread     *unread.Budget
		lanes      *lane.Tracker
	}
)

// New returns a gateway without a configuration. It refuses requests until Configure is called.
func New(opts Options) *Gateway {
	if opts.Origins == nil {
		opts.Origins = origin.New(origin.Options{Clock: opts.Clock})
	}
	if opts.Timing == nil {
		opts.Timing = timing.New(opts.Clock)
	}
	if opts.Rollouts == nil {
		opts.Rollouts = noRollouts{}
	}
	if opts.IsSoftwareRecorded == nil {
		opts.IsSoftwareRecorded = func(string, string) bool { return true }
	}
	if opts.Freshness == nil {
		opts.Freshness = alwaysFresh{}
	}
	if opts.ContactFields == nil {
		opts.ContactFields = func() logrus.Fields { return logrus.Fields{} }
	}
	return &Gateway{
		opts: opts, bodyBudget: bodyBudget{limit: opts.BodyMemoryBytes}, unread: unread.New(opts.Clock, opts.UnreadMemoryBytes),
		lanes: lane.NewTracker(opts.Clock),
	}
}

// Configure activates a configuration. It reports false and changes nothing if ct is not newer than
// the active one.
func (gw *Gateway) Configure(ct *catalog.Catalog) bool {
	gw.configureMu.Lock()
	defer gw.configureMu.Unlock()
	if current := gw.catalog.Load(); current != nil && current.Version() >= ct.Version() {
		return false
	}
	gw.catalog.Store(ct.Separating(gw.formerTeams))
	return true
}

// SetFormerTeams sets the teams that were exclusive once, and must not share what they made unless the configuration names them.
func (gw *Gateway) SetFormerTeams(names []string) {
	gw.configureMu.Lock()
	defer gw.configureMu.Unlock()
	gw.formerTeams = names
	if ct := gw.catalog.Load(); ct != nil {
		gw.catalog.Store(ct.Separating(names))
	}
}

// Catalog returns the active configuration, or nil before the first call of Configure.
func (gw *Gateway) Catalog() *catalog.Catalog { return gw.catalog.Load() }

// DisableKeepAlives disables keep-alive: from now on each response closes its connection.
func (gw *Gateway) DisableKeepAlives() { gw.keepAlivesDisabled.Store(true) }

// StopAt states that the host stops, and cuts the requests that are still in flight at the given time. From now on it refuses
// those that may not be repeated and are expected to take longer.
func (gw *Gateway) StopAt(deadline time.Time) { gw.stopAt.Store(&deadline) }

// RefuseNewRequests refuses new requests from now on. Requests in flight continue.
func (gw *Gateway) RefuseNewRequests() { gw.refusingNew.Store(true) }

// InFlight returns the number of requests in flight.
func (gw *Gateway) InFlight() int { return int(gw.inFlight.Load()) }

// ServeHTTP serves one client request.
func (gw *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) { gw.serve(w, hr, nil) }

// serve serves a request of a client, or one that another host has passed on.
func (gw *Gateway) serve(w http.ResponseWriter, hr *http.Request, from *relayedFrom) {
	gw.inFlight.Add(1)
	defer gw.inFlight.Add(-1)
	arrived := gw.opts.Clock.Now()
	if gw.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	rq, err := gw.opts.Codec.DecodeRequest(hr)
	rq.arrived, rq.relayedFrom = arrived, from
	if err != nil {
		gw.refuse(w, rq, http.StatusBadRequest, "malformed", 0, err)
		return
	}
	ct := gw.catalog.Load()
	limit := int64(defaultMaxBodyBytes)
	if ct != nil && ct.Limits().BodyBytes > 0 {
		limit = ct.Limits().BodyBytes
	}
	bo, err := gw.readBody(w, hr, rq, limit)
	defer bo.release()
	rq.Body = bo.data
	if err != nil {
		gw.refuseUnreadBody(w, rq, err)
		return
	}
	if gw.refusingNew.Load() {
		gw.refuse(w, rq, http.StatusServiceUnavailable, "stopping", transientRetryAfter, nil)
		return
	}
	// The configuration may have changed while the body arrived, or while the host stood still.
	gw.opts.Freshness.Settle(hr.Context(), defaultPatience)
	if ct = gw.catalog.Load(); ct == nil {
		gw.refuse(w, rq, http.StatusServiceUnavailable, "no-configuration", transientRetryAfter, nil)
		return
	}
	if status, reason := gw.resolveRoute(ct, rq); status != 0 {
		gw.refuse(w, rq, status, reason, 0, nil)
		return
	}
	fw := &forwarder{gw: gw, w: w, rq: rq, body: bo, resetOnAbort: !hr.ProtoAtLeast(1, 1)}
	fw.unread = gw.unread.Begin(rq.teamName(), func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) })
	fw.run(hr.Context())
	// The server still writes the end of the response.
	gw.setWriteDeadline(w)
}

// resolveRoute sets the route, service, team and deadline of a request. If the request is not allowed, it
// returns the status and the reason of the refusal; otherwise the status is zero.
func (gw *Gateway) resolveRoute(ct *catalog.Catalog, rq *Request) (status int, reason string) {
	path := rq.URI
	for i := range path {
		if path[i] == '?' {
			path = path[:i]
			break
		}
	}
	ro, ok := ct.MatchRoute(rq.Host, path)
	if !ok {
		return http.StatusNotFound, "no-route"
	}
	rq.route = ro
	if ct.NeedsKeys() && !ro.Public {
		if rq.team, ok = ct.Team(rq.APIKey); !ok {
			return http.StatusUnauthorized, "unknown-key"
		}
	}
	// A stream that is taken up stays at its service.
	name := ro.PickService(cmp.Or(rq.Resumes, rq.ID))
	if rq.service, ok = ct.Service(name); !ok {
		rq.service = &catalog.Service{Name: name}
	}
	timeout := rq.Timeout
	if ro.Timeout > 0 && (timeout == 0 || ro.Timeout < timeout) {
		timeout = ro.Timeout
	}
	if timeout == 0 {
		timeout = time.Minute
	}
	rq.deadline = rq.arrived.Add(timeout)
	return 0, ""
}

// refuseUnreadBody refuses a request whose body could not be read.
func (gw *Gateway) refuseUnreadBody(w http.ResponseWriter, rq *Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		gw.refuse(w, rq, http.StatusRequestEntityTooLarge, "body-too-large", 0, err)
		return
	}
	w.Header().Set("Connection", "close")
	var noMemory *BodyMemoryError
	if errors.As(err, &noMemory) {
		gw.unread.Check()
		gw.refuse(w, rq, http.StatusServiceUnavailable, "no-memory", transientRetryAfter, err)
		return
	}
	gw.refuse(w, rq, http.StatusRequestTimeout, "body-incomplete", 0, err)
}

// refuse responds to a request that this host does not forward, or no longer retries.
func (gw *Gateway) refuse(w http.ResponseWriter, rq *Request, status int, reason string, retryAfter time.Duration, cause error) {
	gw.opts.Codec.WriteRefusalHeader(w.Header(), rq, retryAfter)
	markNotRun(w, rq, status)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	gw.setWriteDeadline(w)
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(w, reason+"\n")
	gw.recordEnd(rq, reason, status, cause, nil)
}

// recordEnd counts and logs the end of a request.
func (gw *Gateway) recordEnd(rq *Request, outcome string, status int, cause error, extra logrus.Fields) {
	routeName := ""
	fields := logrus.Fields{
		"request": rq.ID,
		"end":     outcome,
		"status":  status,
		"ms":      gw.opts.Clock.Now().Sub(rq.arrived).Milliseconds(),
	}
	if rq.route != nil {
		routeName = rq.route.Name
		fields["route"] = routeName
	}
	if ct := gw.catalog.Load(); ct != nil {
		fields["configuration"] = ct.Version()
	}
	if rq.team != nil {
		fields["team"] = rq.team.Name
	}
	if rq.LastEventID != "" {
		fields["after-event"], fields["resumes"] = rq.LastEventID, rq.Resumes
	}
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	for key, value := range extra {
		fields[key] = value
	}
	gw.opts.Meter.RequestEnded(routeName, outcome)
	gw.opts.Log.WithFields(fields).Info("Request ended.")
}
