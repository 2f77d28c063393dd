// Package keyvalue is the client of the platform's key-value service and list of hosts, over the
// HTTP interface defined by this project. On the users' platform, hosts use package metastore instead.
package keyvalue

import (
	"context"
	"time"
)

type (
	// Purpose is the purpose of a call. Calls are counted per purpose.
	Purpose string

	// Entry is a key with its value and revision. The zero value is an absent key.
	Entry struct {
		key      string
		value    []byte
		writeID  string
		revision uint64
	}

	// Write holds the parameters of one compare-and-swap.
	Write struct {
		// Key is the key to write.
		Key string
		// Value is the new value, at most ValueLimit bytes.
		Value []byte
		// WriteID identifies this write and is stored with the value, so that the outcome can be
		// determined after a lost response. If empty, the client generates one.
		WriteID string
		// Revision is the expected revision; zero means that the key must be absent.
		Revision uint64
		// TTL is the time after which the key expires unless it is written again; zero means never.
		TTL time.Duration
	}

	// Meter counts the calls to the service per purpose. It must be safe for concurrent use.
	Meter interface {
		CountPlatformCall(purpose Purpose, isWrite bool)
	}

	// Store is the key-value service. Implementations are safe for concurrent use.
	Store interface {
		Get(ctx context.Context, purpose Purpose, key string) (Entry, error)
		List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error)
		Watch(ctx context.Context, purpose Purpose, key string, after uint64, timeout time.Duration) (Entry, error)
		CompareAndSwap(ctx context.Context, purpose Purpose, wr Write) (Entry, error)
	}
)

const (
	// ValueLimit is the maximum size of a value, in bytes.
	ValueLimit = 1 << 20

	// PurposeConfiguration is for calls that read and change the operators' configuration.
	PurposeConfiguration Purpose = "configuration"
	// PurposeBooking is for the ledger of requests that are executed at most once.
	PurposeBooking Purpose = "booking"
	// PurposeLease is for leases on cold endpoints and controllers.
	PurposeLease Purpose = "lease"
	// PurposeQuarantine is for the records of requests that crash endpoints.
	PurposeQuarantine Purpose = "quarantine"
	// PurposeHosts is for reads of the list of live and leaving hosts.
	PurposeHosts Purpose = "hosts"
)

// NewEntry returns an entry, for use by implementations of Store and tests.
func NewEntry(key string, value []byte, writeID string, revision uint64) Entry {
	return Entry{key: key, value: value, writeID: writeID, revision: revision}
}

// Key returns the key.
func (en Entry) Key() string { return en.key }

// Value returns the value. The caller must not change it.
func (en Entry) Value() []byte { return en.value }

// WriteID returns the ID of the write that stored the value.
func (en Entry) WriteID() string { return en.writeID }

// Revision returns the revision of the entry; zero means that the key is absent.
func (en Entry) Revision() uint64 { return en.revision }
