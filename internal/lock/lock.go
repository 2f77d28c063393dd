// Package lock is a mutual exclusion that may be held during I/O, because waiting for it ends with
// a context.
package lock

import "context"

// Lock is held by at most one goroutine. New makes one.
type Lock struct {
	held chan struct{}
}

// New returns a lock that nobody holds.
func New() *Lock {
	return &Lock{held: make(chan struct{}, 1)}
}

// Acquire waits until the lock is free. It returns the error of ctx if ctx ends before.
func (lo *Lock) Acquire(ctx context.Context) error {
	select {
	case lo.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release frees the lock. Only its holder may call it.
func (lo *Lock) Release() { <-lo.held }
