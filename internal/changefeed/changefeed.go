// Package changefeed passes changes of the metadata store from one host of an availability zone to the others, so
// that not every host has to watch the store.
//
// A Publisher turns the responses that a relay host gets from the store into updates. Updates repeat recent
// changes, since they travel in datagrams that may be lost. A Subscriber hands them to a host that follows the
// store. It says when the host must ask the store itself: if an update is missing, if the relay cannot reach the
// store, or if the relay has not confirmed for some time that it knows the newest state.
//
// Together they serve fleets of dozens to hundreds of hosts: the calls to the store grow with the number of zones
// instead of the number of hosts.
package changefeed

import (
	"time"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

type (
	// Update describes the changes in a range of revisions.
	Update struct {
		// From and To bound the range: Events holds all changes after revision From up to revision To.
		From metastore.Revision `json:"f"`
		To   metastore.Revision `json:"t"`
		// AgeMs is the time since the relay sent the call to the store that confirmed To, in milliseconds.
		AgeMs int64 `json:"a"`
		// Failing reports that the relay's last call to the store failed.
		Failing bool `json:"x,omitempty"`
		// Events are sorted by revision.
		Events []Event `json:"e,omitempty"`
	}

	// Event is a change of one key. Its revision has the era of the update.
	Event struct {
		Key      string `json:"k"`
		Value    []byte `json:"v,omitempty"`
		Revision uint64 `json:"r"`
		Lease    uint64 `json:"l,omitempty"`
		Removed  bool   `json:"d,omitempty"`
	}
)

// age returns the time since the relay confirmed the update.
func (up Update) age() time.Duration { return time.Duration(up.AgeMs) * time.Millisecond }

func newEvent(ev metastore.Event) Event {
	return Event{Key: ev.Item.Key, Value: ev.Item.Value, Revision: ev.Item.Revision.Number, Lease: ev.Item.Lease, Removed: ev.Removed}
}

func (ev Event) toStoreEvent(era uint64) metastore.Event {
	return metastore.Event{
		Item:    metastore.Item{Key: ev.Key, Value: ev.Value, Revision: metastore.Revision{Era: era, Number: ev.Revision}, Lease: ev.Lease},
		Removed: ev.Removed,
	}
}

// size returns the approximate size of the encoded event in bytes.
func (ev Event) size() int {
	const envelopeBytes = 40
	return envelopeBytes + len(ev.Key) + len(ev.Value)*4/3
}
