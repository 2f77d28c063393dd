package lane

import (
	"math"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// weightDecayTime is the time constant with which requests lose weight.
	weightDecayTime = 60 * time.Second
	// minWeight is the weight from which a class counts, and keptWeight the one below which it no longer does. Hosts are many,
	// so that each meets a class seldom.
	minWeight  = 3.0
	keptWeight = 1.0
	// maxWeight bounds the weight, so that a class that stops is forgotten.
	maxWeight = 30.0
	// forgottenWeight is the weight below which a class is forgotten.
	forgottenWeight = 0.1
	// maxMeanWeight bounds the weight of what was seen before in the mean sizes.
	maxMeanWeight = 400.0
	// shareTime is the time constant with which the share of the engines follows the load.
	shareTime = 400 * time.Millisecond
	// margin is the part of the share in which hosts may differ, and blindMargin that of a host that does not know the load.
	margin      = 0.02
	blindMargin = 0.1
)

type (
	// Key identifies a class.
	Key struct {
		Service, Route string
	}

	// Tracker remembers the classes of requests that the host received lately, and how the engines of each service are divided. It
	// is safe for concurrent use.
	Tracker struct {
		clock clock.Clock

		mu       sync.Mutex
		services map[string]*serviceState
	}

	// Part is a part of the engines of a service: those between two shares of the order on which all hosts agree.
	Part struct {
		From, To float64
	}

	// serviceState is the state of one service.
	serviceState struct {
		classes map[Key]*classState
		share   float64
		// sharedAt is the time of the last change of share; zero if the engines are not divided.
		sharedAt time.Time
	}

	classState struct {
		// class is the class as of seenAt. Its weight is that of its sizes.
		class  Class
		seenAt time.Time
		// weight is the bounded weight by which the class counts, and isCounted is set while it does.
		weight    float64
		isCounted bool
	}
)

// NewTracker returns a tracker that has seen no requests.
func NewTracker(ck clock.Clock) *Tracker {
	return &Tracker{clock: ck, services: make(map[string]*serviceState)}
}

// Observe records a request, whose weight is ignored. It returns the lane of its class, and the mean size of the requests there.
func (tr *Tracker) Observe(key Key, rq Class) (ln Lane, size Class) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.clock.Now()
	ss := tr.services[key.Service]
	if ss == nil {
		ss = &serviceState{classes: make(map[Key]*classState)}
		tr.services[key.Service] = ss
	}
	cs := ss.classes[key]
	if cs == nil {
		cs = &classState{seenAt: now}
		ss.classes[key] = cs
	}
	cs.observe(rq, now)
	all := ss.current(now)
	if !cs.isCounted {
		return Shared, Class{}
	}
	if ln = Of(cs.class, all); ln == Shared {
		return Shared, Class{}
	}
	return ln, mean(all, ln)
}

// Part returns the part of the engines of a service that belong to a lane, as a range of shares. It follows the load. If
// isLoadKnown is false, for instance because the other hosts are silent, it stays as it is, without the engines around the border
// that other hosts may have moved since. ok is false if the engines are not divided.
func (tr *Tracker) Part(service string, ln Lane, lo Load, isLoadKnown bool) (pa Part, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ss := tr.services[service]
	if ss == nil || ln == Shared {
		return Part{}, false
	}
	now := tr.clock.Now()
	width := blindMargin
	if isLoadKnown {
		width = margin
	}
	// Without requests in flight, nothing is known of the demand.
	if isLoadKnown && lo.Requests > 0 {
		share, ok := BulkShare(lo, ss.current(now))
		if !ok {
			ss.sharedAt = time.Time{}
			return Part{}, false
		}
		ss.follow(share, now)
	}
	if ss.sharedAt.IsZero() {
		return Part{}, false
	}
	if ln == Bulk {
		return Part{To: max(ss.share-width, minShare/2)}, true
	}
	return Part{From: min(ss.share+width, 1-minShare/2), To: 1}, true
}

// current returns the classes that count, with their lanes.
func (ss *serviceState) current(now time.Time) []Class {
	counted := make([]*classState, 0, len(ss.classes))
	out := make([]Class, 0, len(ss.classes))
	for key, cs := range ss.classes {
		left := decay(now.Sub(cs.seenAt), weightDecayTime)
		switch weight := cs.weight * left; {
		case weight >= minWeight || cs.isCounted && weight >= keptWeight:
			cs.isCounted = true
			cl := cs.class
			cl.Weight *= left
			counted, out = append(counted, cs), append(out, cl)
		case weight < forgottenWeight:
			delete(ss.classes, key)
		default:
			cs.isCounted, cs.class.Lane = false, Shared
		}
	}
	for i, cs := range counted {
		cs.class.Lane = Of(out[i], out)
	}
	for i, cs := range counted {
		out[i].Lane = cs.class.Lane
	}
	return out
}

func (ss *serviceState) follow(share float64, now time.Time) {
	if ss.sharedAt.IsZero() {
		ss.share, ss.sharedAt = share, now
		return
	}
	ss.share += (share - ss.share) * (1 - decay(now.Sub(ss.sharedAt), shareTime))
	ss.sharedAt = now
}

func (cs *classState) observe(rq Class, now time.Time) {
	left := decay(now.Sub(cs.seenAt), weightDecayTime)
	weight := cs.class.Weight * left
	part := 1 / (min(weight, maxMeanWeight) + 1)
	cs.class = Class{
		Urgency:      rq.Urgency,
		Target:       rq.Target,
		PromptTokens: cs.class.PromptTokens + (rq.PromptTokens-cs.class.PromptTokens)*part,
		MemoryTokens: cs.class.MemoryTokens + (rq.MemoryTokens-cs.class.MemoryTokens)*part,
		UsedTokens:   cs.class.UsedTokens + (rq.UsedTokens-cs.class.UsedTokens)*part,
		Weight:       weight + 1,
		Lane:         cs.class.Lane,
	}
	cs.weight = min(cs.weight*left+1, maxWeight)
	cs.seenAt = now
}

// decay returns the part that is left after a duration, given the time constant.
func decay(d, constant time.Duration) float64 {
	return math.Exp(-float64(max(0, d)) / float64(constant))
}
