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
	// renewDivisor divides the TTL into the renewal interval, so that two renewals in a row may fail.
	renewDivisor = 4
	// acquireInterval is how often a host without the lease tries to acquire it when it has not been
	// notified of its end.
	acquireInterval = 2 * time.Second
	// safetyDivisor divides the TTL into a margin for in-flight calls: the holder stops acting that
	// long before its lease ends.
	safetyDivisor = 8
)

type (
	// Options configures a candidate.
	Options struct {
		// Store holds the lease.
		Store metastore.Store
		// Clock times the pauses.
		Clock clock.Clock
		// Boot returns the boot-time clock. It measures the lease because it includes suspended time.
		Boot func() time.Duration
		// Key is the key of the lease item.
		Key string
		// Holder is the name of this host, stored as the value of the lease item.
		Holder string
		// TTL is the duration of the lease. A new holder waits at least that long before it acts, so that
		// no call of the previous holder is still in flight.
		TTL time.Duration
		// Turn returns the delay before this host tries to acquire the lease; nil means no delay.
		// Different delays make it likely that only one host tries.
		Turn func() time.Duration
		// Taken reports whether the lease item is known to exist; nil means that it is not.
		Taken func() bool
		// Changed is called when this host acquires or loses the lease; it may be nil.
		Changed func(held bool, fence uint64)
	}

	// Seat is a candidate for one duty. It is safe for concurrent use.
	Seat struct {
		opts   Options
		vacant chan struct{}

		mu          sync.Mutex
		lease       uint64
		fence       uint64
		activeFrom  time.Duration
		activeUntil time.Duration
	}
)

// New returns a candidate that does not hold the lease.
func New(opts Options) *Seat {
	return &Seat{opts: opts, vacant: make(chan struct{}, 1)}
}

// Fence returns the fencing token if this host may act now. The number increases with each holder.
// It must be called right before each action.
func (se *Seat) Fence() (fence uint64, ok bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	now := se.opts.Boot()
	if se.fence == 0 || now < se.activeFrom || now >= se.activeUntil {
		return 0, false
	}
	return se.fence, true
}

// Vacant notifies the candidate that the lease item was removed.
func (se *Seat) Vacant() {
	select {
	case se.vacant <- struct{}{}:
	default:
	}
}

// Run acquires and maintains the lease until ctx ends, and then releases it.
func (se *Seat) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if se.opts.Turn != nil {
			select {
			case <-ctx.Done():
				return
			case <-se.opts.Clock.After(se.opts.Turn()):
			}
		}
		if se.opts.Taken == nil || !se.opts.Taken() {
			if err := se.acquire(ctx); err == nil {
				se.maintain(ctx)
			}
		}
		select {
		case <-ctx.Done():
		case <-se.vacant:
		case <-se.opts.Clock.After(acquireInterval):
		}
	}
}

// acquire grants a lease and commits the lease item on condition that it does not exist.
func (se *Seat) acquire(ctx context.Context) error {
	requestedAt := se.opts.Boot()
	lease, err := se.opts.Store.Grant(ctx, se.opts.TTL)
	if err != nil {
		return err
	}
	fence, err := se.opts.Store.Commit(ctx, metastore.Transaction{
		Expect: []metastore.Expectation{{Key: se.opts.Key}},
		Puts:   []metastore.Put{{Key: se.opts.Key, Value: []byte(se.opts.Holder), Lease: lease}},
	})
	if err != nil {
		// A commit without a reply may still take effect; its lease must not outlive this attempt.
		_ = se.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
		return err
	}
	se.mu.Lock()
	se.lease, se.fence = lease, fence
	se.activeFrom = se.opts.Boot() + se.opts.TTL + se.opts.TTL/safetyDivisor
	se.activeUntil = requestedAt + se.opts.TTL - se.opts.TTL/safetyDivisor
	se.mu.Unlock()
	if se.opts.Changed != nil {
		se.opts.Changed(true, fence)
	}
	return nil
}

// maintain renews the lease until ctx ends or the lease does.
func (se *Seat) maintain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
		case <-se.opts.Clock.After(se.opts.TTL / renewDivisor):
		}
		requestedAt := se.opts.Boot()
		se.mu.Lock()
		lease, activeUntil := se.lease, se.activeUntil
		se.mu.Unlock()
		var err error
		if ctx.Err() == nil && requestedAt < activeUntil {
			err = se.opts.Store.Renew(ctx, lease)
		}
		switch {
		case ctx.Err() != nil, requestedAt >= activeUntil, metastore.IsLeaseEnded(err):
			se.mu.Lock()
			se.fence = 0
			se.mu.Unlock()
			if se.opts.Changed != nil {
				se.opts.Changed(false, 0)
			}
			// The lease expires if this call fails.
			_ = se.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
			return
		case err == nil:
			se.mu.Lock()
			se.activeUntil = requestedAt + se.opts.TTL - se.opts.TTL/safetyDivisor
			se.mu.Unlock()
		}
	}
}
