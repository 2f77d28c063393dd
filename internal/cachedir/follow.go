package cachedir

import (
	"context"
	"time"
)

const (
	// eventsTimeout bounds one poll for events. The content of an unresponsive store is cleared after this
	// time, before the store can have restarted and received new parts.
	eventsTimeout = 600 * time.Millisecond
	// pollInterval is the pause between two polls, so that each returns a batch of events.
	pollInterval = 120 * time.Millisecond
	// retryDelay is the pause after a failed poll.
	retryDelay = 300 * time.Millisecond
	// preferredStoreBonus exceeds any score by capacity, so that the stores suited to the length of a part
	// come first.
	preferredStoreBonus = 1e12
)

// Follow keeps the content of one store up to date until ctx ends. It calls report with the error when
// the store stops responding, and with nil when the store responds again.
func (di *Directory) Follow(ctx context.Context, src Source, address string, report func(err error)) {
	lost := false
	for ctx.Err() == nil {
		err := di.poll(ctx, src, address)
		if err == nil {
			if lost {
				report(nil)
			}
			lost = false
			select {
			case <-ctx.Done():
			case <-di.ck.After(pollInterval):
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		di.Clear(address)
		if !lost {
			report(err)
		}
		lost = true
		select {
		case <-ctx.Done():
		case <-di.ck.After(retryDelay):
		}
	}
}

func (di *Directory) poll(ctx context.Context, src Source, address string) error {
	since, _ := di.Position(address)
	ev, err := src.Events(ctx, address, since, eventsTimeout)
	if err != nil {
		return err
	}
	if di.Apply(address, ev) {
		return nil
	}
	li, err := src.List(ctx, address)
	if err != nil {
		return err
	}
	di.Replace(address, li)
	return nil
}
