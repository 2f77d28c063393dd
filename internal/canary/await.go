package canary

import "context"

// AwaitOrder returns once there is an order and rollouts are enabled; false if ctx has ended before.
func (tr *Tracker) AwaitOrder(ctx context.Context) bool {
	for {
		tr.mu.Lock()
		isDue, changed := len(tr.rollouts) > 0 && tr.opts.Limits().IsEnabled(), tr.changed
		tr.mu.Unlock()
		if isDue {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// NoteLimits has to be called after the limits have changed.
func (tr *Tracker) NoteLimits() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.wake()
}

// wake lets AwaitOrder look again. The caller holds the lock.
func (tr *Tracker) wake() {
	close(tr.changed)
	tr.changed = make(chan struct{})
}
