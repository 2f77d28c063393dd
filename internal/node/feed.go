package node

import "time"

const (
	// watchPausePerHost is the pause between two watches of the metadata store, per registered host:
	// each change makes the store answer all hosts, which is expensive. maxWatchPauseShare bounds the
	// pause, as a share of Bounds.ApplyMs.
	watchPausePerHost  = 18 * time.Millisecond
	maxWatchPauseShare = 0.42
	// watchWait is how long the store may hold a watch of a host open that is no relay.
	watchWait = 1300 * time.Millisecond
	// maxFeedAgeShare is the share of Bounds.ApplyMs for which a state that a relay confirmed is used.
	maxFeedAgeShare = 0.5
	// relayWaitShare is the share of that time for which the store may hold a watch of a relay open: a
	// confirmation is as old as the call, and the next call may take as long. relayWatchPause is the pause of
	// a relay after a watch with changes.
	relayWaitShare  = 0.35
	relayWatchPause = 250 * time.Millisecond
)

// watchWait returns how long the store may hold a watch of this host open.
func (no *Node) watchWait() time.Duration {
	if no.exchange.IsZoneAggregator() {
		return time.Duration(float64(no.maxFeedAge()) * relayWaitShare)
	}
	return watchWait
}

// maxFeedAge returns the age from which the state that a relay has confirmed is too old, so that this host
// watches the store itself. The rest of Bounds.ApplyMs is left for that.
func (no *Node) maxFeedAge() time.Duration {
	return milliseconds(no.settings().Bounds.ApplyMs * maxFeedAgeShare)
}

// watchPause returns the pause between two watches of the metadata store.
func (no *Node) watchPause() time.Duration {
	if no.exchange.IsZoneAggregator() {
		return relayWatchPause
	}
	limit := milliseconds(no.settings().Bounds.ApplyMs * maxWatchPauseShare)
	return min(time.Duration(no.hostCount.Load())*watchPausePerHost, limit)
}

// logFeedChange logs that this host follows a relay from now on, or why it watches the metadata store itself.
func (no *Node) logFeedChange(err error) {
	lg := no.log.WithField("revision", no.storeState.seen().String())
	if err != nil {
		lg.WithField("cause", err.Error()).Info("Change feed is not used.")
		return
	}
	lg.Info("Change feed is used.")
}
