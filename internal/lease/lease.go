// Package lease acquires and renews leases in the platform's key-value store.
//
// A holder relies only on its own clock: it measures the term from the time before it sent the request
// and stops acting a safety margin before the store expires the lease. The revision at which a lease was
// acquired is its fencing token.
package lease

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/lock"
)

const (
	// Term is the time after which the store expires a lease that is not renewed.
	Term = 10 * time.Second
	// SafetyMargin is the margin at the end of the term. It covers the longest in-flight order and
	// clock drift.
	SafetyMargin = 3 * time.Second
	// SettleTime is how long a new holder waits before it acts. By then the orders of the previous
	// holder have ended and are counted in the endpoint's load report, which lags.
	SettleTime = 3 * time.Second

	renewInterval = 3 * time.Second
	retryInterval = time.Second
)

type (
	// Lease is the state of a lease as seen by this host. The zero value is not held.
	Lease struct {
		fencingToken uint64
		acquiredAt   time.Time
		validUntil   time.Time
	}

	// Manager acquires and renews leases for one host. It is safe for concurrent use.
	Manager struct {
		clk   clock.Clock
		store keyvalue.Store
		host  string

		mu      sync.Mutex
		entries map[string]*leaseEntry
	}

	leaseEntry struct {
		// requestLock is held during a request to the store. It also guards revision and requestedAt.
		requestLock *lock.Lock

		mu          sync.Mutex
		lease       Lease
		revision    uint64
		requestedAt time.Time
	}
)

// NewManager returns a manager that acquires leases for host.
func NewManager(clk clock.Clock, store keyvalue.Store, host string) *Manager {
	return &Manager{clk: clk, store: store, host: host, entries: make(map[string]*leaseEntry)}
}

// FencingToken returns the fencing token. Each later holder has a higher one.
func (ls Lease) FencingToken() uint64 { return ls.fencingToken }

// IsHeld reports whether the holder may act at now. Check it immediately before each order.
func (ls Lease) IsHeld(now time.Time) bool {
	return ls.fencingToken > 0 && now.Before(ls.validUntil)
}

// IsSettled reports whether the lease is held and the orders of the previous holder have ended at
// now. Endpoints that reject stale fencing tokens do not need this wait.
func (ls Lease) IsSettled(now time.Time) bool {
	return ls.IsHeld(now) && !now.Before(ls.acquiredAt.Add(SettleTime))
}

// AcquireOrRenew acquires or renews the lease with the given name, if that is due, and returns its state. If
// the store is unavailable the state does not change, so a held lease expires by the holder's own
// clock.
func (mg *Manager) AcquireOrRenew(ctx context.Context, name string) Lease {
	en := mg.getOrCreateEntry(name)
	if en.requestLock.Acquire(ctx) != nil {
		return en.get()
	}
	defer en.requestLock.Release()
	now := mg.clk.Now()
	interval := retryInterval
	if en.get().IsHeld(now) {
		interval = renewInterval
	}
	if now.Sub(en.requestedAt) >= interval {
		en.requestedAt = now
		mg.requestLease(ctx, name, en, now)
	}
	return en.get()
}

// Peek returns the state of a lease without a request to the store.
func (mg *Manager) Peek(name string) Lease { return mg.getOrCreateEntry(name).get() }

// ReleaseAll releases all leases, so that the next holder need not wait for the end of the term.
func (mg *Manager) ReleaseAll(ctx context.Context) {
	mg.mu.Lock()
	entries := maps.Clone(mg.entries)
	mg.mu.Unlock()
	for name, en := range entries {
		if en.requestLock.Acquire(ctx) != nil {
			return
		}
		if en.get().IsHeld(mg.clk.Now()) {
			en.set(Lease{})
			// The store has no delete operation: a TTL of 1 ms removes the key.
			wr := keyvalue.Write{Key: storeKey(name), Revision: en.revision, TTL: time.Millisecond}
			_, _ = mg.store.CompareAndSwap(ctx, keyvalue.PurposeLease, wr)
		}
		en.requestLock.Release()
	}
}

// requestLease renews the lease if it is held at now, and otherwise tries to acquire it. After a
// conflict the lease is not held; after another error its state does not change.
func (mg *Manager) requestLease(ctx context.Context, name string, en *leaseEntry, now time.Time) {
	wr := keyvalue.Write{Key: storeKey(name), Value: []byte(mg.host), Revision: en.revision, TTL: Term}
	ls := en.get()
	if !ls.IsHeld(now) {
		wr.Revision = 0
	}
	written, err := mg.store.CompareAndSwap(ctx, keyvalue.PurposeLease, wr)
	var ce *keyvalue.ConflictError
	switch {
	case err == nil && wr.Revision > 0:
		en.revision = written.Revision()
		ls.validUntil = now.Add(Term - SafetyMargin)
		en.set(ls)
	case err == nil:
		en.revision = written.Revision()
		en.set(Lease{fencingToken: written.Revision(), acquiredAt: mg.clk.Now(), validUntil: now.Add(Term - SafetyMargin)})
	case errors.As(err, &ce):
		en.set(Lease{})
	}
}

func (en *leaseEntry) get() Lease {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.lease
}

func (en *leaseEntry) set(ls Lease) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.lease = ls
}

func (mg *Manager) getOrCreateEntry(name string) *leaseEntry {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	en := mg.entries[name]
	if en == nil {
		en = &leaseEntry{requestLock: lock.New()}
		mg.entries[name] = en
	}
	return en
}

func storeKey(name string) string { return "lease/" + name }
