package timing

import (
	"math"
	"time"
)

// overdueRatio is the ratio of the time since a request was sent to the expected time from which the request counts although
// it has had no event yet.
const overdueRatio = 2.0

// Wait is a request that has had no event yet.
type Wait struct {
	bk         *Book
	ob         Observation
	expectedMs float64
	sentAt     time.Time
}

// Begin records that a request has been sent. Its end has to be recorded, too.
func (bk *Book) Begin(ob Observation) *Wait {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	now := bk.ck.Now()
	wt := &Wait{bk: bk, ob: ob, sentAt: now}
	se := bk.service(ob.Service, now)
	if se == nil || !se.isKnown {
		return wt
	}
	wt.expectedMs = se.coefficients.expect(newRow(ob.PrefillTokens, ob.PendingTokens, ob.Running))
	if er := bk.endpoint(ob.Endpoint, now); er != nil {
		er.waits[wt] = struct{}{}
	}
	return wt
}

// End records that the request waits no longer. If it has waited too long, the engine counts as that slow for a while: the engine may
// hang. Further calls have no effect.
func (wt *Wait) End() {
	wt.bk.mu.Lock()
	defer wt.bk.mu.Unlock()
	er := wt.bk.endpoints[wt.ob.Endpoint]
	if er == nil {
		return
	}
	now := wt.bk.ck.Now()
	if _, ok := er.waits[wt]; ok && wt.ratio(now) > overdueRatio {
		er.age(now)
		er.own.observe(wt.ratio(now))
	}
	delete(er.waits, wt)
}

// FirstEvent records that the first event has arrived after a time, and ends the wait.
func (wt *Wait) FirstEvent(d time.Duration) {
	wt.bk.mu.Lock()
	if er := wt.bk.endpoints[wt.ob.Endpoint]; er != nil {
		delete(er.waits, wt)
	}
	wt.bk.mu.Unlock()
	ob := wt.ob
	ob.FirstToken = d
	wt.bk.Observe(ob)
}

// ratio returns the time since the request was sent relative to the expected time.
func (wt *Wait) ratio(now time.Time) float64 {
	return inMs(now.Sub(wt.sentAt)-wt.ob.Elsewhere) / wt.expectedMs
}

// current returns the ratio with the requests that are overdue by now. They count as if their events arrived now, unless
// the engine is known to be slower.
func (er *engineRatio) current(now time.Time) Ratio {
	out := er.own
	for wt := range er.waits {
		if ratio := wt.ratio(now); ratio > overdueRatio && math.Log(ratio)*out.Weight >= out.Sum {
			out.observe(ratio)
		}
	}
	return out
}
