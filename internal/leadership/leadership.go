// Package leadership keeps at most one host in charge of a duty, by a lease in the metadata store.
package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// renewShare is the part of the lease after which it is renewed, so that two renewals may fail.
	renewShare = 4
	// askEvery is how often a host without the lease looks whether it is free when it has heard
	// nothing of its end.
	askEvery = 2 * time.Second
	// safetyShare is the part of the lease before its end in which the holder acts no more, for calls
	// under way.
	safetyShare = 8
)

type (
	// Options configures a Seat.
	Options struct {
		// Store holds the lease.
		Store metastore.Store
		// Clock waits; Boot measures the lease and counts suspended time as well.
		Clock clock.Clock
		Boot  func() time.Duration
		// Key is the item that the holder owns; Holder is its name.
		Key    string
		Holder string
		// TTL is the length of the lease. A new holder also waits that long before it acts, so that
		// nothing the one before has sent is still on its way.
		TTL time.Duration
		// Turn returns how long this host waits before it seeks a vacant seat, so that mostly one host
		// does; zero if nil. Taken reports whether the holder's item is known to exist; false if nil.
		Turn  func() time.Duration
		Taken func() bool
		// Changed is called when this host gains or loses the seat; it may be nil.
		Changed func(held bool, fence uint64)
	}

	// Seat is a duty that one host at a time holds. It is safe for concurrent use.
	Seat struct {
		opts Options
		free chan struct{}

		mu    sync.Mutex
		lease uint64
		fence uint64
		from  time.Duration
		until time.Duration
	}
)

// New returns a seat that this host does not hold.
func New(opts Options) *Seat {
	return &Seat{opts: opts, free: make(chan struct{}, 1)}
}

// Fence returns the fencing number if this host may act now. The number grows with each holder.
// It must be asked right before each act.
func (se *Seat) Fence() (fence uint64, ok bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	now := se.opts.Boot()
	if se.fence == 0 || now < se.from || now >= se.until {
		return 0, false
	}
	return se.fence, true
}

// Vacant tells that the holder's item is gone.
func (se *Seat) Vacant() {
	select {
	case se.free <- struct{}{}:
	default:
	}
}

// Run seeks the seat and holds it until ctx ends; then it gives the seat up.
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
			if err := se.seek(ctx); err == nil {
				se.hold(ctx)
			}
		}
		select {
		case <-ctx.Done():
		case <-se.free:
		case <-se.opts.Clock.After(askEvery):
		}
	}
}

func (se *Seat) seek(ctx context.Context) error {
	asked := se.opts.Boot()
	lease, err := se.opts.Store.Grant(ctx, se.opts.TTL)
	if err != nil {
		return err
	}
	fence, err := se.opts.Store.Commit(ctx, metastore.Transaction{
		Expect: []metastore.Expectation{{Key: se.opts.Key}},
		Puts:   []metastore.Put{{Key: se.opts.Key, Value: []byte(se.opts.Holder), Lease: lease}},
	})
	if err != nil {
		// A commit without an answer may still take effect; its lease must not outlive this try.
		_ = se.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
		return err
	}
	se.mu.Lock()
	se.lease, se.fence = lease, fence
	se.from = se.opts.Boot() + se.opts.TTL + se.opts.TTL/safetyShare
	se.until = asked + se.opts.TTL - se.opts.TTL/safetyShare
	se.mu.Unlock()
	if se.opts.Changed != nil {
		se.opts.Changed(true, fence)
	}
	return nil
}

func (se *Seat) hold(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
		case <-se.opts.Clock.After(se.opts.TTL / renewShare):
		}
		asked := se.opts.Boot()
		se.mu.Lock()
		lease, until := se.lease, se.until
		se.mu.Unlock()
		var err error
		if ctx.Err() == nil && asked < until {
			err = se.opts.Store.Renew(ctx, lease)
		}
		switch {
		case ctx.Err() != nil, asked >= until, metastore.IsLeaseEnded(err):
			se.mu.Lock()
			se.fence = 0
			se.mu.Unlock()
			if se.opts.Changed != nil {
				se.opts.Changed(false, 0)
			}
			// The lease ends by itself if this call fails.
			_ = se.opts.Store.Revoke(context.WithoutCancel(ctx), lease)
			return
		case err == nil:
			se.mu.Lock()
			se.until = asked + se.opts.TTL - se.opts.TTL/safetyShare
			se.mu.Unlock()
		}
	}
}
