// Package keyvalue is the client of the key-value service and list of hosts that the product's own
// interface uses. Hosts on the users' platform use package metastore instead.
package keyvalue

import (
	"context"
	"time"
)

type (
	// Purpose says what a call is for, so that calls can be counted for each purpose.
	Purpose string

	// Entry is one key with its value. Its zero value is an absent key.
	Entry struct {
		key      string
		value    []byte
		writeID  string
		revision uint64
	}

	// Write is one compare-and-swap.
	Write struct {
		// Key is the name of the entry.
		Key string
		// Value is the new value, at most ValueLimit bytes.
		Value []byte
		// WriteID identifies this write and is stored with the value, so that a lost answer can
		// be settled by reading back. Empty means that the client chooses one.
		WriteID string
		// Revision is the expected revision; zero means that the key must be absent.
		Revision uint64
		// TTL removes the key after this time unless it is written again; zero keeps it for good.
		TTL time.Duration
	}

	// Meter counts the calls to the service by purpose. It must be safe for concurrent use.
	Meter interface {
		PlatformCall(purpose Purpose, write bool)
	}

	// Store is the key-value service. Implementations are safe for concurrent use.
	Store interface {
		Get(ctx context.Context, purpose Purpose, key string) (Entry, error)
		List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error)
		Watch(ctx context.Context, purpose Purpose, key string, after uint64, bound time.Duration) (Entry, error)
		CompareAndSwap(ctx context.Context, purpose Purpose, wr Write) (Entry, error)
	}
)

const (
	// ValueLimit is the largest value of the service, in bytes.
	ValueLimit = 1 << 20

	// PurposeConfiguration is reading and changing the operators' configuration.
	PurposeConfiguration Purpose = "configuration"
	// PurposeBooking is the log of work that runs at most once.
	PurposeBooking Purpose = "booking"
	// PurposeLease is a lease on a cold endpoint or a controller.
	PurposeLease Purpose = "lease"
	// PurposeQuarantine is the record of requests that crash endpoints.
	PurposeQuarantine Purpose = "quarantine"
	// PurposeHosts is reading the list of live and leaving hosts.
	PurposeHosts Purpose = "hosts"
)

// NewEntry returns an entry, for use by stores and tests.
func NewEntry(key string, value []byte, writeID string, revision uint64) Entry {
	return Entry{key: key, value: value, writeID: writeID, revision: revision}
}

// Key returns the name of the entry.
func (en Entry) Key() string { return en.key }

// Value returns the value. The caller must not change it.
func (en Entry) Value() []byte { return en.value }

// WriteID returns the identifier of the write that made the value.
func (en Entry) WriteID() string { return en.writeID }

// Revision returns the revision of the entry; zero means that the key is absent.
func (en Entry) Revision() uint64 { return en.revision }
