package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/release"
)

const (
	// streamRetention is how long streams, and software versions that have gone, are remembered. It is longer than a client may
	// take to get a stream over all its attempts.
	streamRetention = time.Minute
	// unregisteredRecordDelay is how long a host that is not registered leaves it to others to record software versions.
	unregisteredRecordDelay = 3 * time.Second
	// maxConfirmationAge is the age from which what the host knows of the metadata store is in doubt. It is longer where the store
	// is watched less often, by confirmationSlack more than the time between two answers.
	maxConfirmationAge = 2 * time.Second
	confirmationSlack  = 300 * time.Millisecond
)

// newReleaseHistory returns what keeps the software versions of each service in the metadata store.
func (no *Node) newReleaseHistory() *release.History {
	return release.New(release.Options{
		Clock: no.ck, Store: no.deps.Store, Prefix: prefixSoftware, InService: no.fleet.SoftwareVersions, RecordDelay: no.releaseDelay,
		Retention: streamRetention, Log: no.log.WithField("part", "state"),
	})
}

// releaseDelay returns how long after software versions are due this host records them. The hosts of a fleet that starts do not
// know their ranks before they are registered.
func (no *Node) releaseDelay() time.Duration {
	if !no.isRegistered() {
		return unregisteredRecordDelay
	}
	return no.recordDelay()
}

// newOriginDirectory returns what remembers which software version began each stream.
func (no *Node) newOriginDirectory() *origin.Directory {
	return origin.New(origin.Options{
		Clock: no.ck, Host: no.st.Name, Hosts: no.allHosts, Sole: no.soleSoftware, Retention: streamRetention,
		Confirm: func(ctx context.Context, _ string) error { return no.storeState.releases.Confirm(ctx) },
		Send:    func(host string, data []byte) { no.exchange.SendMessage(host, data) },
		Ledger:  no.originLedger,
	})
}

// newOriginLedger returns what records the origins of streams in the metadata store.
func (no *Node) newOriginLedger() *origin.Ledger {
	return origin.NewLedger(origin.LedgerOptions{
		Clock: no.ck, Store: no.deps.Store, Prefix: prefixOrigins, Host: no.st.Name, HostCount: func() int { return int(no.hostCount.Load()) },
		Retention: streamRetention, Log: no.log.WithField("part", "state"),
	})
}

// adoptOrigins remembers the streams of batches in the metadata store.
func (no *Node) adoptOrigins(batches [][]byte) {
	if err := no.origins.Adopt(batches); err != nil {
		no.log.WithField("cause", err.Error()).Warn("Record of origins is invalid.")
	}
}

// soleSoftware returns the only software version that a stream of a service can have begun at; ok is false if there may be several.
func (no *Node) soleSoftware(service string) (version string, ok bool) {
	if no.fleet.HasOtherStart(service) {
		return "", false
	}
	return no.storeState.releases.Sole(service)
}

// isStoreFollowed reports whether the host has lately learned what there is in the metadata store.
func (no *Node) isStoreFollowed() bool {
	return no.storeState.contact.IsWithin(max(maxConfirmationAge, watchWait+no.watchPause()+confirmationSlack))
}

// handleMessage handles a message from another host.
func (no *Node) handleMessage(data []byte) {
	ok, err := no.freshness.Handle(data)
	if !ok {
		err = no.origins.Handle(data)
	}
	if err != nil {
		no.log.WithField("cause", err.Error()).Warn("Message of another host is invalid.")
	}
}

// originBatches returns the batches of origins in a snapshot, the latest last.
func originBatches(sn metastore.Snapshot) [][]byte {
	var items []metastore.Item
	for _, it := range sn.Items {
		if strings.HasPrefix(it.Key, prefixOrigins) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b metastore.Item) int { return a.Revision.Compare(b.Revision) })
	out := make([][]byte, len(items))
	for i, it := range items {
		out[i] = it.Value
	}
	return out
}
