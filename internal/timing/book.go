package timing

import (
	"maps"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// fitHalfLife is the time after which the observations of a service count half, and minFitWeight the weight from which
	// they are used.
	fitHalfLife  = 20 * time.Second
	minFitWeight = 25.0
	// solveInterval is the least time between two solutions.
	solveInterval = 100 * time.Millisecond
	// maxElsewhereRatio is the time expected for other waits, relative to the engine's, above which an observation says
	// little about the engine.
	maxElsewhereRatio = 2.0
	// minObservedMs is the least time of an engine.
	minObservedMs = 1.0
	// maxServices and maxEndpoints bound what a book holds.
	maxServices  = 64
	maxEndpoints = 4096
	// negligibleWeight is the weight below which an engine is forgotten and not reported.
	negligibleWeight = 0.05
)

type (
	// Observation is the first event of a response.
	Observation struct {
		Service, Endpoint string
		// PrefillTokens are those of the request itself, PendingTokens those of other requests that the engine still had to
		// prefill, and Running is the number of requests there, all as the host knew them when it sent the request.
		PrefillTokens, PendingTokens, Running int
		// Elsewhere is the part of the time that was expected for other waits, such as fetches from cache stores.
		Elsewhere time.Duration
		// FirstToken is the measured time from the sending of the request.
		FirstToken time.Duration
	}

	// Book learns the times of the engines of each service from observations. It is safe for concurrent use.
	Book struct {
		ck clock.Clock

		mu        sync.Mutex
		services  map[string]*service
		endpoints map[string]*engineRatio
		peers     map[string]peerReport
	}

	service struct {
		own          Sums
		agedAt       time.Time
		coefficients coefficients
		// isKnown is set while there are enough observations.
		isKnown  bool
		solvedAt time.Time
	}

	engineRatio struct {
		own    Ratio
		agedAt time.Time
		// waits holds the requests of this host that have had no event yet.
		waits map[*Wait]struct{}
	}
)

// New returns an empty book.
func New(ck clock.Clock) *Book {
	return &Book{ck: ck, services: make(map[string]*service), endpoints: make(map[string]*engineRatio), peers: make(map[string]peerReport)}
}

// Engine returns the times of an endpoint. They are the defaults until the service has enough observations.
func (bk *Book) Engine(serviceName, endpointID string) Engine {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	now := bk.ck.Now()
	se := bk.service(serviceName, now)
	if se == nil {
		return Engine{}
	}
	bk.solve(serviceName, se, now)
	if !se.isKnown {
		return Engine{}
	}
	en := se.coefficients.engine()
	en.Slowness = bk.ratio(endpointID, now).slowness()
	return en
}

// Observe records the first event of a response.
func (bk *Book) Observe(ob Observation) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	now := bk.ck.Now()
	se := bk.service(ob.Service, now)
	if se == nil {
		return
	}
	bk.solve(ob.Service, se, now)
	ro := newRow(ob.PrefillTokens, ob.PendingTokens, ob.Running)
	expected := se.coefficients.expect(ro)
	if elsewhere := inMs(ob.Elsewhere); elsewhere > maxElsewhereRatio*expected {
		return
	}
	ms := max(inMs(ob.FirstToken-ob.Elsewhere), minObservedMs)
	se.own.observe(ro, ms, expected)
	if !se.isKnown {
		return
	}
	if er := bk.endpoint(ob.Endpoint, now); er != nil {
		er.own.observe(ms / expected)
	}
}

// endpoint returns what this host has observed of an endpoint, aged; nil if there are too many.
func (bk *Book) endpoint(id string, now time.Time) *engineRatio {
	er := bk.endpoints[id]
	if er == nil {
		if len(bk.endpoints) >= maxEndpoints {
			return nil
		}
		er = &engineRatio{agedAt: now, waits: make(map[*Wait]struct{})}
		bk.endpoints[id] = er
	}
	er.age(now)
	return er
}

// service returns what is known of a service, aged; nil if there are too many.
func (bk *Book) service(name string, now time.Time) *service {
	se := bk.services[name]
	if se == nil {
		if len(bk.services) >= maxServices {
			return nil
		}
		se = &service{agedAt: now, coefficients: defaultCoefficients}
		bk.services[name] = se
	}
	se.own.decay(decayFactor(now.Sub(se.agedAt), fitHalfLife))
	se.agedAt = now
	return se
}

// solve fits the coefficients of a service to the observations of all hosts, unless it was done just now.
func (bk *Book) solve(name string, se *service, now time.Time) {
	if !se.solvedAt.IsZero() && now.Sub(se.solvedAt) < solveInterval {
		return
	}
	se.solvedAt = now
	sum := se.own
	for _, pr := range bk.peers {
		if !pr.isOutdated(now) {
			sum.Add(pr.services[name])
		}
	}
	se.isKnown = sum.Weight >= minFitWeight
	if se.isKnown {
		se.coefficients = sum.solve(se.coefficients)
	} else {
		se.coefficients = defaultCoefficients
	}
}

// ratio returns the ratio of an endpoint over all hosts.
func (bk *Book) ratio(endpointID string, now time.Time) Ratio {
	var sum Ratio
	if er := bk.endpoints[endpointID]; er != nil {
		er.age(now)
		sum = er.current(now)
	}
	for _, pr := range bk.peers {
		if ra, ok := pr.ratio(endpointID); ok && !pr.isOutdated(now) {
			ra.decay(decayFactor(now.Sub(pr.receivedAt), ratioHalfLife))
			sum.Add(ra)
		}
	}
	return sum
}

func (er *engineRatio) age(now time.Time) {
	er.own.decay(decayFactor(now.Sub(er.agedAt), ratioHalfLife))
	er.agedAt = now
}

// forgetOld forgets the endpoints and services without recent observations.
func (bk *Book) forgetOld(now time.Time) {
	maps.DeleteFunc(bk.services, func(name string, _ *service) bool { return bk.service(name, now).own.Weight < negligibleWeight })
	maps.DeleteFunc(bk.endpoints, func(_ string, er *engineRatio) bool {
		er.age(now)
		return er.own.Weight < negligibleWeight && len(er.waits) == 0
	})
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
