// Package lease holds leases in the platform's key-value service.
//
// A holder trusts only its own clock: it counts from before it asked and stops a margin before
// the service lets the lease lapse. The revision of the entry is the fencing number.
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
	// Term is how long the service keeps a lease that is not renewed.
	Term = 10 * time.Second
	// Margin covers the longest order in flight and the drift of clocks.
	Margin = 3 * time.Second
	// Settle is how long a new holder waits before it acts, so that the orders of the holder
	// before have ended and the endpoint's lagging report counts them.
	Settle = 3 * time.Second

	renewAfter = 3 * time.Second
	retryAfter = time.Second
)

type (
	// Lease is a lease as its holder sees it. The zero value is not held.
	Lease struct {
		fencing uint64
		from    time.Time
		until   time.Time
	}

	// Keeper acquires and renews leases for one host. It is safe for concurrent use.
	Keeper struct {
		clk   clock.Clock
		store keyvalue.Store
		host  string

		mu     sync.Mutex
		leases map[string]*entry
	}

	entry struct {
		// asking is held while the service is asked.
		asking *lock.Lock

		mu       sync.Mutex
		lease    Lease
		revision uint64
		asked    time.Time
	}
)

// NewKeeper returns a keeper that writes leases in the name of host.
func NewKeeper(clk clock.Clock, store keyvalue.Store, host string) *Keeper {
	return &Keeper{clk: clk, store: store, host: host, leases: make(map[string]*entry)}
}

// Fencing returns the fencing number; a later holder has a higher one.
func (ls Lease) Fencing() uint64 { return ls.fencing }

// IsHeld reports whether the holder may act at now. It is to be asked right before each order.
func (ls Lease) IsHeld(now time.Time) bool {
	return ls.fencing > 0 && now.Before(ls.until)
}

// IsSettled reports whether the orders of the holder before have ended at now. Endpoints that
// refuse old fencing numbers need no wait.
func (ls Lease) IsSettled(now time.Time) bool {
	return ls.IsHeld(now) && !now.Before(ls.from.Add(Settle))
}

// Hold acquires or renews the lease with the given name and returns it as it stands. A service
// that is away leaves a lease as it is: it lapses by the holder's own clock.
func (kp *Keeper) Hold(ctx context.Context, name string) Lease {
	en := kp.entry(name)
	if en.asking.Acquire(ctx) != nil {
		return en.get()
	}
	defer en.asking.Release()
	now := kp.clk.Now()
	wait := retryAfter
	if en.get().IsHeld(now) {
		wait = renewAfter
	}
	if now.Sub(en.asked) >= wait {
		en.asked = now
		kp.ask(ctx, name, en, now)
	}
	return en.get()
}

// Peek returns the lease as it stands without asking the service.
func (kp *Keeper) Peek(name string) Lease { return kp.entry(name).get() }

// Release gives up every lease, so that the next holder need not wait for the term to end.
func (kp *Keeper) Release(ctx context.Context) {
	kp.mu.Lock()
	entries := maps.Clone(kp.leases)
	kp.mu.Unlock()
	for name, en := range entries {
		if en.asking.Acquire(ctx) != nil {
			return
		}
		if en.get().IsHeld(kp.clk.Now()) {
			en.set(Lease{})
			wr := keyvalue.Write{Key: key(name), Revision: en.revision, TTL: time.Millisecond}
			_, _ = kp.store.CompareAndSwap(ctx, keyvalue.PurposeLease, wr)
		}
		en.asking.Release()
	}
}

func (kp *Keeper) ask(ctx context.Context, name string, en *entry, now time.Time) {
	wr := keyvalue.Write{Key: key(name), Value: []byte(kp.host), Revision: en.revision, TTL: Term}
	ls := en.get()
	if !ls.IsHeld(now) {
		wr.Revision = 0
	}
	won, err := kp.store.CompareAndSwap(ctx, keyvalue.PurposeLease, wr)
	var ce *keyvalue.ConflictError
	switch {
	case err == nil && wr.Revision > 0:
		en.revision = won.Revision()
		ls.until = now.Add(Term - Margin)
		en.set(ls)
	case err == nil:
		en.revision = won.Revision()
		en.set(Lease{fencing: won.Revision(), from: kp.clk.Now(), until: now.Add(Term - Margin)})
	case errors.As(err, &ce):
		en.set(Lease{})
	}
}

func (en *entry) get() Lease {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.lease
}

func (en *entry) set(ls Lease) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.lease = ls
}

func (kp *Keeper) entry(name string) *entry {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	en := kp.leases[name]
	if en == nil {
		en = &entry{asking: lock.New()}
		kp.leases[name] = en
	}
	return en
}

func key(name string) string { return "lease/" + name }
