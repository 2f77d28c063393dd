package canary

import "time"

// maxCoverAge is how long what other hosts have told of their exposure counts. Their loads lapse as fast.
const maxCoverAge = time.Second

type (
	// Cover is how many hosts carry a rollout out, and the lowest exposure in force at any of them.
	Cover struct {
		Hosts  int
		Lowest Exposure
	}

	// coverReport is what a host has told.
	coverReport struct {
		cover Cover
		at    time.Time
	}
)

// SetCover replaces what another host has told of the hosts that it speaks for, or what is known of all hosts if the sender is
// TotalSender.
func (tr *Tracker) SetCover(sender string, key Key, co Cover) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ro := tr.find(key); ro != nil {
		ro.covers[sender] = coverReport{cover: co, at: tr.opts.Clock.Now()}
	}
}

// cover returns what is known of all hosts now. IsHeard is set if any other host was heard lately, or there is none.
func (tr *Tracker) cover(ro *rollout) (all Cover, isHeard bool) {
	all, isHeard = Cover{Hosts: 1, Lowest: ro.exposure}, tr.opts.HostCount() <= 1
	now := tr.opts.Clock.Now()
	for sender, cr := range ro.covers {
		if now.Sub(cr.at) > maxCoverAge {
			delete(ro.covers, sender)
			continue
		}
		isHeard = true
		if sender != TotalSender {
			all.Hosts, all.Lowest = all.Hosts+cr.cover.Hosts, min(all.Lowest, cr.cover.Lowest)
		}
	}
	if total, ok := ro.covers[TotalSender]; ok {
		all = Cover{Hosts: total.cover.Hosts, Lowest: min(ro.exposure, total.cover.Lowest)}
	}
	return all, isHeard
}
