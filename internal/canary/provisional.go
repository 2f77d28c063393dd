package canary

import "time"

// provisionalTime is how long an order that this host has not read counts after a digest told of it. Hosts tell only of orders that they
// have read themselves, so one that was taken back is soon forgotten.
const provisionalTime = 5 * time.Second

// provisional is a rollout whose order this host knows only from other hosts.
type provisional struct {
	rollout *rollout
	heardAt time.Time
}

// mergeUnread adopts what another host knows of an order that this host has not read. It has no part of the slack.
func (tr *Tracker) mergeUnread(st State) {
	key := st.Key
	if key.Revision <= tr.read[key.Service] {
		return
	}
	now := tr.opts.Clock.Now()
	pr := tr.unread[key.Service]
	if pr != nil && now.Sub(pr.heardAt) <= provisionalTime && pr.rollout.order.Revision > key.Revision {
		return
	}
	if pr == nil || pr.rollout.order.Key() != key {
		pr = &provisional{rollout: newRollout(Order{Service: key.Service, To: key.To, Revision: key.Revision}, now)}
		tr.unread[key.Service] = pr
	}
	pr.heardAt = now
	tr.merge(pr.rollout, st)
}

// unreadRollout returns the rollout of an order that this host has not read; nil if there is none.
func (tr *Tracker) unreadRollout(service string) *rollout {
	pr := tr.unread[service]
	if pr == nil || tr.opts.Clock.Now().Sub(pr.heardAt) > provisionalTime {
		return nil
	}
	return pr.rollout
}

// current returns the rollout of a service that is in force; nil if there is none.
func (tr *Tracker) current(service string) *rollout {
	if ro := tr.unreadRollout(service); ro != nil {
		return ro
	}
	return tr.rollouts[service]
}

// adoptUnread lets an order that has been read go on from what was known of it before.
func (tr *Tracker) adoptUnread(ro *rollout) {
	service := ro.order.Service
	tr.read[service] = max(tr.read[service], ro.order.Revision)
	pr := tr.unread[service]
	if pr == nil || pr.rollout.order.Revision > ro.order.Revision {
		return
	}
	delete(tr.unread, service)
	if old := pr.rollout; old.order.Key() == ro.order.Key() {
		ro.startedAt, ro.exposure, ro.raisedAt, ro.bad, ro.hasOld = old.startedAt, old.exposure, old.raisedAt, old.bad, old.hasOld
		ro.budget.requests, ro.budget.sent, ro.own = old.budget.requests, old.budget.sent, old.own
	}
}

func newRollout(od Order, now time.Time) *rollout {
	return &rollout{
		order: od, startedAt: now, raisedAt: now, observedAt: now, own: make(map[string]Evidence), peers: make(map[string][]Evidence),
		covers: make(map[string]coverReport),
	}
}
