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
		// SinceBoot returns the boot-time clock. It measures the lease because it includes suspended time.
		SinceBoot func() time.Duration
		// Key is the key of the lease item.
		Key string
		// Holder is the name of this host, stored as the value of the lease item.
		Holder string
		// TTL is the duration of the lease. A new holder waits at least that long before it acts, so that
		// no call of the previous holder is still in flight.
		TTL time.Duration
		// AcquireDelay returns the delay before this host tries to acquire the lease; nil means no delay.
		// Different delays make it likely that only one host tries.
		AcquireDelay func() time.Duration
		// IsHeld reports whether the lease item is known to exist; nil means that it is not.
		IsHeld func() bool
		// OnChange is called when this host acquires or loses the lease; it may be nil.
		OnChange func(held bool, fence uint64)
	}

	// Candidate is a candidate for one duty. It is safe for concurrent use.
	Candidate struct {
		opts   Options
		vacant chan struct{}

		mu           sync.Mutex
		lease        uint64
		fencingToken uint64
		activeFrom   time.Duration
		activeUntil  time.Duration
	}
)

// New returns a candidate that does not hold the lease.
func New(opts Options) *Candidate {
	return &Candidate{opts: opts, vacant: make(chan struct{}, 1)}
}

// FencingToken returns the fencing token if this host may act now. The token increases with each holder.
// It must be called right before each action.
func (ca *Candidate) FencingToken() (token uint64, ok bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	now := ca.opts.SinceBoot()
	if ca.fencingToken == 0 || now < ca.activeFrom || now >= ca.activeUntil {
		return 0, false
	}
	return ca.fencingToken, true
}

// NotifyVacant notifies the candidate that the lease item was removed.
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

// acquire grants a lease and commits the lease item on condition that it does not exist.
func (ca *Candidate) acquire(ctx context.Context) error {
	requestedAt := ca.opts.SinceBoot()
	lease, err := ca.opts.Store.Grant(ctx, ca.opts.TTL)
	if err != nil {
		return err
	}
	token, err := ca.opts.Store.Commit(ctx, metastore.Transaction{
		Preconditions: []metastore.Precondition{{Key: ca.opts.Key}},
		Puts:          []metastore.Put{{Key: ca.opts.Key, Value: []byte(ca.opts.Holder), Lease: lease}},
	})
	if err != nil {
		// A commit without a reply may still take effect; its lease must not outlive this attempt.
		_ = ca.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
		return err
	}
	ca.mu.Lock()
	ca.lease, ca.fencingToken = lease, token
	ca.activeFrom = ca.opts.SinceBoot() + ca.opts.TTL + ca.opts.TTL/safetyDivisor
	ca.activeUntil = requestedAt + ca.opts.TTL - ca.opts.TTL/safetyDivisor
	ca.mu.Unlock()
	if ca.opts.OnChange != nil {
		ca.opts.OnChange(true, token)
	}
	return nil
}

// maintain renews the lease until ctx ends or the lease does.
func (ca *Candidate) maintain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
		case <-ca.opts.Clock.After(ca.opts.TTL / renewDivisor):
		}
		requestedAt := ca.opts.SinceBoot()
		ca.mu.Lock()
		lease, activeUntil := ca.lease, ca.activeUntil
		ca.mu.Unlock()
		var err error
		if ctx.Err() == nil && requestedAt < activeUntil {
			err = ca.opts.Store.Renew(ctx, lease)
		}
		switch {
		case ctx.Err() != nil, requestedAt >= activeUntil, metastore.IsLeaseEnded(err):
			ca.mu.Lock()
			ca.fencingToken = 0
			ca.mu.Unlock()
			if ca.opts.OnChange != nil {
				ca.opts.OnChange(false, 0)
			}
			// The lease expires if this call fails.
			_ = ca.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
			return
		case err == nil:
			ca.mu.Lock()
			ca.activeUntil = requestedAt + ca.opts.TTL - ca.opts.TTL/safetyDivisor
			ca.mu.Unlock()
		}
	}
}
