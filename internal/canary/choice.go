package canary

import (
	"maps"
	"slices"
)

// Choice is which endpoints of a service a request may go to, by software version. The zero value allows all.
type Choice struct {
	// Only is the only allowed version; empty if there is no such bound. Except lists those that are not allowed.
	Only   string
	Except []string
	// Canaries limits the endpoints with the version Only to as many; nil means that there is no limit.
	Canaries func(endpoints int) int
	// IsStrict is set if the fallback is not meant for endpoints that would only be late.
	IsStrict bool
	// fallback is the choice of other versions where these endpoints take no request; nil if there is none.
	fallback *Choice
}

// Fallback returns the choice of the other versions; ok is false if it is not allowed.
func (ch Choice) Fallback() (other Choice, ok bool) {
	if ch.fallback == nil {
		return Choice{}, false
	}
	return *ch.fallback, true
}

// Choose returns which endpoints an attempt of a request may go to. AvoidsNew is set if the new version has not
// taken the request before.
func (tr *Tracker) Choose(service, request string, avoidsNew bool) Choice {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	held := tr.heldVersions(service)
	ro := tr.current(service)
	if ro == nil || !tr.opts.Limits().IsEnabled() {
		return Choice{Except: held}
	}
	newer := Choice{Only: ro.order.To}
	older := Choice{Except: append(held, ro.order.To)}
	switch {
	case ro.isCutOff():
		return older
	case ro.outcome == Completed:
		newer.fallback = &older
		return newer
	case !tr.hasOld(ro):
		return Choice{Except: held}
	case ro.exposure == Unjudged:
		li := tr.opts.Limits()
		if avoidsNew || !ro.budget.allows(li, tr.hostCount()) {
			return older
		}
		newer.Canaries, newer.fallback = li.canaries, &older
		return newer
	case ro.exposure == Full:
		// The old endpoints have to become idle.
		newer.IsStrict, newer.fallback = true, &older
		return newer
	case ro.exposure.draws(request, ro.order.Key()) && !avoidsNew:
		newer.fallback = &older
		return newer
	default:
		return older
	}
}

// TrySend reports whether a request may be sent to an endpoint with a software version now, and counts it if so. It has to be
// called right before each send.
func (tr *Tracker) TrySend(service, software string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if slices.Contains(tr.heldVersions(service), software) {
		return false
	}
	ro := tr.current(service)
	if ro == nil || software != ro.order.To || !tr.opts.Limits().IsEnabled() {
		return true
	}
	if ro.isCutOff() {
		return false
	}
	if ro.outcome == Completed || ro.exposure > Unjudged || !tr.hasOld(ro) {
		return true
	}
	if !ro.budget.allows(tr.opts.Limits(), tr.hostCount()) {
		return false
	}
	ro.budget.sent++
	return true
}

// hasOld reports whether the service had endpoints with other versions at any time since the order.
func (tr *Tracker) hasOld(ro *rollout) bool {
	ro.hasOld = ro.hasOld || tr.opts.HasOther(ro.order.Service, ro.order.To)
	return ro.hasOld
}

// hold keeps requests off the version of a rollout that another order overtakes or the operator takes back before it is completed: it
// was not found good at any exposure.
func (tr *Tracker) hold(ro *rollout) {
	if ro.outcome == Completed || !ro.isCutOff() && !tr.hasOld(ro) {
		return
	}
	if tr.held[ro.order.Service] == nil {
		tr.held[ro.order.Service] = make(map[string]bool)
	}
	tr.held[ro.order.Service][ro.order.To] = ro.isCutOff()
}

// heldVersions returns the versions of a service that get no requests whatever is ordered now. Those that are not known to be bad
// are let go for good once the service has no endpoints but those of such versions and of the one that is being rolled out.
func (tr *Tracker) heldVersions(service string) []string {
	held, ro, last := tr.held[service], tr.current(service), tr.rollouts[service]
	out := slices.Collect(maps.Keys(held))
	if last != nil && ro != last && last.order.To != ro.order.To && last.outcome != Completed {
		// A later order that this host has not read overtakes it.
		out = append(out, last.order.To)
	}
	if len(out) == 0 {
		return nil
	}
	unfinished := slices.Clone(out)
	if ro != nil && ro.outcome != Completed {
		unfinished = append(unfinished, ro.order.To)
	}
	if tr.opts.HasOther(service, unfinished...) {
		return out
	}
	maps.DeleteFunc(held, func(_ string, isBad bool) bool { return !isBad })
	return slices.Collect(maps.Keys(held))
}
