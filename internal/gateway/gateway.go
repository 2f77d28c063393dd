package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/retry"
)

const (
	// defaultBodyBytes bounds a body before there is a configuration.
	defaultBodyBytes = 4 << 20
	// soon is when a client that was refused for a moment's trouble may come back.
	soon = 250 * time.Millisecond
	// leastLeft is the least time with which an attempt is worth starting.
	leastLeft = 15 * time.Millisecond
)

type (
	// Meter counts what the gateway does. It must be safe for concurrent use.
	Meter interface {
		// Dispatched counts an attempt at an endpoint, by route.
		Dispatched(route string)
		// Retried counts a further attempt.
		Retried(reason, route string)
		// FirstToken records the time to the first byte of an answer.
		FirstToken(route string, d time.Duration)
		// Ended counts a request by how it ended.
		Ended(route, end string)
	}

	// Options configures a Gateway. All fields are needed.
	Options struct {
		Clock  clock.Clock
		Codec  Codec
		Fleet  *fleet.Fleet
		Pool   *attempt.Pool
		Cache  *cachedir.Directory
		Budget *retry.Windows
		// Board keeps the requests that were running at endpoints that crashed.
		Board *quarantine.Board
		Log   logrus.FieldLogger
		Meter Meter
		// BodyMemory bounds the bodies that are held at a time, in bytes; zero means no bound.
		BodyMemory int64
		// Zone is the availability zone of this host.
		Zone string
		// Policy chooses endpoints.
		Policy placement.Policy
		// Hosts returns how many hosts share the connections to each endpoint.
		Hosts func() int
		// Weights returns the version of a model that the operator named last; zero if none.
		Weights func(model string) uint64
		// Expired reports that a version of a model may not be used any more.
		Expired func(model string, version uint64) bool
	}

	// Gateway is the HTTP handler for clients. It is safe for concurrent use.
	Gateway struct {
		opts     Options
		catalog  atomic.Pointer[catalog.Catalog]
		stopping atomic.Bool
		closed   atomic.Bool
		active   atomic.Int64
		bodies   bodies
	}
)

// New returns a gateway without a configuration; it refuses requests until there is one.
func New(opts Options) *Gateway { return &Gateway{opts: opts, bodies: bodies{most: opts.BodyMemory}} }

// Configure puts a configuration in force. It reports false and changes nothing if ct is not newer
// than the one in force.
func (gw *Gateway) Configure(ct *catalog.Catalog) bool {
	for {
		have := gw.catalog.Load()
		if have != nil && have.Version() >= ct.Version() {
			return false
		}
		if gw.catalog.CompareAndSwap(have, ct) {
			return true
		}
	}
}

// Catalog returns the configuration in force, nil before the first.
func (gw *Gateway) Catalog() *catalog.Catalog { return gw.catalog.Load() }

// Stop makes each answer end its connection from now on.
func (gw *Gateway) Stop() { gw.stopping.Store(true) }

// Close refuses new requests from now on. What is under way goes on.
func (gw *Gateway) Close() { gw.closed.Store(true) }

// Active returns how many requests are being served.
func (gw *Gateway) Active() int { return int(gw.active.Load()) }

// ServeHTTP serves one request of a client.
func (gw *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	gw.active.Add(1)
	defer gw.active.Add(-1)
	arrived := gw.opts.Clock.Now()
	if gw.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	rq, err := gw.opts.Codec.Request(hr)
	rq.arrived = arrived
	if err != nil {
		gw.refuse(w, rq, http.StatusBadRequest, "malformed", 0, err)
		return
	}
	ct := gw.catalog.Load()
	limit := int64(defaultBodyBytes)
	if ct != nil && ct.Limits().BodyBytes > 0 {
		limit = ct.Limits().BodyBytes
	}
	bo, err := gw.readBody(w, hr, rq, limit)
	defer bo.release()
	rq.Body = bo.data
	if err != nil {
		gw.unread(w, rq, err)
		return
	}
	if gw.closed.Load() {
		gw.refuse(w, rq, http.StatusServiceUnavailable, "stopping", soon, nil)
		return
	}
	// The configuration may have changed while the body was on its way.
	if ct = gw.catalog.Load(); ct == nil {
		gw.refuse(w, rq, http.StatusServiceUnavailable, "no-configuration", soon, nil)
		return
	}
	if status, reason := gw.classify(ct, rq); status != 0 {
		gw.refuse(w, rq, status, reason, 0, nil)
		return
	}
	fw := &forwarding{gw: gw, w: w, rq: rq, ct: ct}
	fw.run(hr.Context())
}

// classify finds route, service and team. It returns a status if the request is not allowed.
func (gw *Gateway) classify(ct *catalog.Catalog, rq *Request) (status int, reason string) {
	path := rq.URI
	for i := range path {
		if path[i] == '?' {
			path = path[:i]
			break
		}
	}
	ro, ok := ct.Match(rq.Host, path)
	if !ok {
		return http.StatusNotFound, "no-route"
	}
	rq.route = ro
	if ct.HasTeams() && !ro.Public {
		if rq.team, ok = ct.Team(rq.Key); !ok {
			return http.StatusUnauthorized, "unknown-key"
		}
	}
	name := ro.Pick(rq.ID)
	if rq.service, ok = ct.Service(name); !ok {
		rq.service = &catalog.Service{Name: name}
	}
	wait := rq.Limit
	if ro.Timeout > 0 && (wait == 0 || ro.Timeout < wait) {
		wait = ro.Timeout
	}
	if wait == 0 {
		wait = time.Minute
	}
	rq.until = rq.arrived.Add(wait)
	return 0, ""
}

// unread answers a request whose body did not arrive.
func (gw *Gateway) unread(w http.ResponseWriter, rq *Request, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		gw.refuse(w, rq, http.StatusRequestEntityTooLarge, "body-too-large", 0, err)
		return
	}
	w.Header().Set("Connection", "close")
	var crowded *CrowdedError
	if errors.As(err, &crowded) {
		gw.refuse(w, rq, http.StatusServiceUnavailable, "no-memory", soon, err)
		return
	}
	gw.refuse(w, rq, http.StatusRequestTimeout, "body-incomplete", 0, err)
}

// refuse answers a request that this host does not forward, or not any more.
func (gw *Gateway) refuse(w http.ResponseWriter, rq *Request, status int, reason string, after time.Duration, cause error) {
	gw.opts.Codec.Refuse(w.Header(), rq, after)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A client that is gone does not read the reason.
	_, _ = io.WriteString(w, reason+"\n")
	gw.end(rq, reason, status, cause, nil)
}

func (gw *Gateway) end(rq *Request, end string, status int, cause error, more logrus.Fields) {
	name := ""
	fields := logrus.Fields{
		"request": rq.ID,
		"end":     end,
		"status":  status,
		"ms":      gw.opts.Clock.Now().Sub(rq.arrived).Milliseconds(),
	}
	if rq.route != nil {
		name = rq.route.Name
		fields["route"] = name
	}
	if ct := gw.catalog.Load(); ct != nil {
		fields["configuration"] = ct.Version()
	}
	if rq.team != nil {
		fields["team"] = rq.team.Name
	}
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	for key, value := range more {
		fields[key] = value
	}
	gw.opts.Meter.Ended(name, end)
	gw.opts.Log.WithFields(fields).Info("Request ended.")
}
