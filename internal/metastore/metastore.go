// Package metastore defines the interface of the linearizable key-value store in which hosts find the
// operators' configuration, the endpoints and each other.
//
// The store itself is an external service. This package defines what hosts need of it: items with
// revisions, transactions, leases and watches.
package metastore

import (
	"context"
	"time"
)

type (
	// Item is a key with its value. The zero value stands for an absent key.
	Item struct {
		// Key identifies the item.
		Key string
		// Value is the content. Readers must not modify it.
		Value []byte
		// Revision is the revision of the last change; zero means that the key is absent.
		Revision Revision
		// Lease is the lease that removes the key when it ends; zero means none.
		Lease uint64
	}

	// Event is a change of one key.
	Event struct {
		// Item is the state after the change. For a removal only the key and the revision are set.
		Item Item
		// Removed reports whether the key was removed.
		Removed bool
	}

	// Snapshot holds all items whose keys begin with a prefix.
	Snapshot struct {
		// Items are sorted by key.
		Items []Item
		// Revision is the revision to pass to a watch so that it misses no change.
		Revision Revision
	}

	// Changes is the result of a watch.
	Changes struct {
		// Events are sorted by revision. There are none if nothing changed during the wait.
		Events []Event
		// Revision is the revision to pass to the next watch.
		Revision Revision
	}

	// Precondition is a condition of a transaction.
	Precondition struct {
		// Key is the key of the item.
		Key string
		// Revision is the revision that the item must have; zero means that it must be absent. The store compares the
		// numbers only.
		Revision Revision
	}

	// Put writes one item.
	Put struct {
		// Key is the key of the item, at most 200 bytes long.
		Key string
		// Value is the content.
		Value []byte
		// Lease is the lease that removes the item when it ends; zero means none.
		Lease uint64
	}

	// Transaction is applied atomically: completely or not at all.
	Transaction struct {
		// Preconditions lists the conditions.
		Preconditions []Precondition
		// Puts lists the items to write.
		Puts []Put
		// Removals lists the keys to remove.
		Removals []string
	}

	// Store is the key-value store. Implementations are safe for concurrent use.
	//
	// Each method fails with an *UnavailableError if the store did not respond or refused the call. The
	// error reports whether the call may still take effect.
	Store interface {
		// List returns all items whose keys begin with prefix. The read is linearizable.
		List(ctx context.Context, prefix string) (Snapshot, error)
		// Watch returns the changes after revision to keys that begin with prefix. If there are none yet,
		// it waits for one, but no longer than wait. It fails with a *CompactedError if that history was
		// compacted, and with a *RestoredError if the store has been restored from a copy since.
		Watch(ctx context.Context, prefix string, revision Revision, wait time.Duration) (Changes, error)
		// Commit applies a transaction and returns its revision. It fails with a *ConflictError if
		// a condition does not hold and with a *LeaseEndedError if a lease has ended.
		Commit(ctx context.Context, tx Transaction) (Revision, error)
		// Grant starts a lease and returns its identifier.
		Grant(ctx context.Context, ttl time.Duration) (uint64, error)
		// Renew extends a lease by its TTL. It fails with a *LeaseEndedError if the lease has ended.
		Renew(ctx context.Context, lease uint64) error
		// Revoke ends a lease and removes the keys attached to it.
		Revoke(ctx context.Context, lease uint64) error
		// Era returns the highest era that a response, or a call of LearnEra, has named; zero if none has.
		Era() uint64
		// LearnEra states that another host knows of an era. Watches from a revision of an earlier one end.
		LearnEra(era uint64)
	}
)
