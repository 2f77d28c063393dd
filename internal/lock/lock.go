// Package lock provides a mutual exclusion lock that may be held during I/O, because waiting for it can
// be cancelled by a context.
package lock

import "context"

// Lock is a mutual exclusion lock whose Acquire can be cancelled. New returns one.
type Lock struct {
	held chan struct{}
}

// New returns an unlocked lock.
func New() *Lock {
	return &Lock{held: make(chan struct{}, 1)}
}

// Acquire waits until the lock is free and takes it. It returns the error of ctx if ctx ends first.
func (lo *Lock) Acquire(ctx context.Context) error {
	select {
	case lo.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release releases the lock. Only the holder may call it.
func (lo *Lock) Release() { <-lo.held }
