// Package leadership elects at most one host at a time for a duty, by a lease in the metadata store.
package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// renewDivisor is the number of renewal intervals in the TTL: two renewals in a row may fail before
	// the holder stops acting.
	renewDivisor = 4
	// acquireInterval is the interval at which a host without the lease tries to acquire it if
	// NotifyVacant is not called.
	acquireInterval = 2 * time.Second
	// safetyDivisor divides the TTL into a margin for in-flight calls. The holder stops acting that long
	// before its lease ends, and a new holder waits that much longer than the TTL.
	safetyDivisor = 8
)

type (
	// Options configures a candidate.
	Options struct {
		// Store holds the lease.
		Store metastore.Store
		// Clock provides the timers.
		Clock clock.Clock
		// SinceBoot returns the boot-time clock. It measures the lease because it includes suspended time.
		SinceBoot func() time.Duration
		// Key is the key of the lease item.
		Key string
		// Holder is the name of this host, stored as the value of the lease item.
		Holder string
		// TTL is the duration of the lease. A new holder waits at least that long before it acts, so that
		// no call of the previous holder is still in flight.
		TTL time.Duration
		// AcquireDelay returns the delay before each attempt to acquire the lease; nil means no delay.
		// Different delays on different hosts make it likely that only one host tries.
		AcquireDelay func() time.Duration
		// IsHeld reports whether the lease item is known to exist; nil means that this is never known.
		IsHeld func() bool
		// OnChange is called when this host acquires or loses the lease; it may be nil.
		OnChange func(isHolder bool, fencingToken uint64)
	}

	// Candidate is a candidate for one duty. It is safe for concurrent use.
	Candidate struct {
		opts   Options
		vacant chan struct{}

		mu    sync.Mutex
		lease uint64
		// fencingToken is derived from the revision of the commit that created the lease item; it is zero while this
		// host does not hold the lease.
		fencingToken uint64
		// era is the highest era of the store that was known when the lease was acquired.
		era uint64
		// activeFrom and activeUntil are the readings of SinceBoot between which this host may act.
		activeFrom  time.Duration
		activeUntil time.Duration
	}
)

// New returns a candidate that does not hold the lease.
func New(opts Options) *Candidate {
	return &Candidate{opts: opts, vacant: make(chan struct{}, 1)}
}

// FencingToken returns the fencing token; ok reports whether this host may act now. Each holder gets a
// higher token than the previous one. FencingToken must be called right before each action. After the store was restored
// from a copy, which may lack the lease or its item, a holder gives it up.
func (ca *Candidate) FencingToken() (token uint64, ok bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	now := ca.opts.SinceBoot()
	if ca.fencingToken == 0 || now < ca.activeFrom || now >= ca.activeUntil || ca.opts.Store.Era() > ca.era {
		return 0, false
	}
	return ca.fencingToken, true
}

// UntilActive returns how long it takes until this host may act, zero if it may act now; ok is false if it does not
// hold the lease.
func (ca *Candidate) UntilActive() (d time.Duration, ok bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.fencingToken == 0 {
		return 0, false
	}
	return max(0, ca.activeFrom-ca.opts.SinceBoot()), true
}

// NotifyVacant notifies the candidate that the lease item was removed. It does not block.
func (ca *Candidate) NotifyVacant() {
	select {
	case ca.vacant <- struct{}{}:
	default:
	}
}

// Run acquires and maintains the lease until ctx ends, and then releases it.
func (ca *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if ca.opts.AcquireDelay != nil {
			select {
			case <-ctx.Done():
				return
			case <-ca.opts.Clock.After(ca.opts.AcquireDelay()):
			}
		}
		if ca.opts.IsHeld == nil || !ca.opts.IsHeld() {
			if err := ca.acquire(ctx); err == nil {
				ca.maintain(ctx)
			}
		}
		select {
		case <-ctx.Done():
		case <-ca.vacant:
		case <-ca.opts.Clock.After(acquireInterval):
		}
	}
}

// acquire requests a lease and commits the lease item on condition that the item does not exist.
func (ca *Candidate) acquire(ctx context.Context) error {
	requestedAt, era := ca.opts.SinceBoot(), ca.opts.Store.Era()
	lease, err := ca.opts.Store.Grant(ctx, ca.opts.TTL)
	if err != nil {
		return err
	}
	revision, err := ca.opts.Store.Commit(ctx, metastore.Transaction{
		Preconditions: []metastore.Precondition{{Key: ca.opts.Key}},
		Puts:          []metastore.Put{{Key: ca.opts.Key, Value: []byte(ca.opts.Holder), Lease: lease}},
	})
	if err != nil {
		// A commit without a reply may still take effect; its lease must not outlive this attempt.
		_ = ca.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
		return err
	}
	ca.mu.Lock()
	token := revision.Token()
	ca.lease, ca.fencingToken, ca.era = lease, token, max(era, revision.Era)
	ca.activeFrom = ca.opts.SinceBoot() + ca.opts.TTL + ca.opts.TTL/safetyDivisor
	ca.activeUntil = requestedAt + ca.opts.TTL - ca.opts.TTL/safetyDivisor
	ca.mu.Unlock()
	if ca.opts.OnChange != nil {
		ca.opts.OnChange(true, token)
	}
	return nil
}

// maintain renews the lease until it ends or ctx does, and then revokes it.
func (ca *Candidate) maintain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
		case <-ca.opts.Clock.After(ca.opts.TTL / renewDivisor):
		}
		requestedAt := ca.opts.SinceBoot()
		ca.mu.Lock()
		lease, activeUntil := ca.lease, ca.activeUntil
		isRestored := ca.opts.Store.Era() > ca.era
		ca.mu.Unlock()
		var err error
		if ctx.Err() == nil && requestedAt < activeUntil && !isRestored {
			err = ca.opts.Store.Renew(ctx, lease)
		}
		switch {
		case ctx.Err() != nil, requestedAt >= activeUntil, isRestored, metastore.IsLeaseEnded(err):
			ca.mu.Lock()
			ca.fencingToken = 0
			ca.mu.Unlock()
			if ca.opts.OnChange != nil {
				ca.opts.OnChange(false, 0)
			}
			// If this call fails, the lease expires on its own.
			_ = ca.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
			return
		case err == nil:
			ca.mu.Lock()
			ca.activeUntil = requestedAt + ca.opts.TTL - ca.opts.TTL/safetyDivisor
			ca.mu.Unlock()
		}
	}
}
