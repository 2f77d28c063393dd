// Package metastore describes the linearizable key-value store in which hosts find the operators'
// configuration, the endpoints and each other.
//
// The store itself belongs to the environment. This package holds what hosts expect of it: items
// with revisions, transactions, leases and watches.
package metastore

import (
	"context"
	"time"
)

type (
	// Item is one key with its value. The zero value is an absent key.
	Item struct {
		// Key names the item.
		Key string
		// Value is the content. Readers must not change it.
		Value []byte
		// Revision is that of the last change; zero means that the key is absent.
		Revision uint64
		// Lease removes the key when it ends; zero means none.
		Lease uint64
	}

	// Event is a change of one key.
	Event struct {
		// Item is the state after the change; a removal has the key and the revision only.
		Item Item
		// Removed reports that the key no longer exists.
		Removed bool
	}

	// Snapshot is all items below a prefix.
	Snapshot struct {
		// Items are in the order of their keys.
		Items []Item
		// Revision is the revision from which a watch loses nothing.
		Revision uint64
	}

	// Changes is the answer to a watch.
	Changes struct {
		// Events are in the order of their revisions; none means that the wait ran out.
		Events []Event
		// Revision is where the next watch continues.
		Revision uint64
	}

	// Expectation is a condition of a transaction.
	Expectation struct {
		// Key names the item.
		Key string
		// Revision is the revision that the item must have; zero means that it must be absent.
		Revision uint64
	}

	// Put writes one item.
	Put struct {
		// Key names the item, at most 200 bytes.
		Key string
		// Value is the content.
		Value []byte
		// Lease removes the item when it ends; zero keeps it.
		Lease uint64
	}

	// Transaction is applied whole or not at all.
	Transaction struct {
		// Expect lists the conditions.
		Expect []Expectation
		// Puts lists the items to write.
		Puts []Put
		// Removals lists the keys to remove.
		Removals []string
	}

	// Store is the key-value store. Implementations are safe for concurrent use.
	//
	// Each method fails with an *UnavailableError if the store did not answer or refused, and says
	// there whether the call may still take effect.
	Store interface {
		// List returns all items whose keys begin with prefix, linearizably.
		List(ctx context.Context, prefix string) (Snapshot, error)
		// Watch waits at most wait for changes after revision below prefix. It fails with
		// a *CompactedError if that history is gone.
		Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Changes, error)
		// Commit applies a transaction and returns its revision. It fails with a *ConflictError if
		// a condition does not hold and with a *LeaseEndedError if a lease has ended.
		Commit(ctx context.Context, tx Transaction) (uint64, error)
		// Grant starts a lease and returns its identifier.
		Grant(ctx context.Context, ttl time.Duration) (uint64, error)
		// Renew extends a lease by its time to live. It fails with a *LeaseEndedError if it has ended.
		Renew(ctx context.Context, lease uint64) error
		// Revoke ends a lease and removes its keys.
		Revoke(ctx context.Context, lease uint64) error
	}
)
