package cachedir

import (
	"context"
	"time"
)

const (
	// eventsWait bounds one question for events. A store that fell silent is forgotten after this,
	// before it can have started anew and be written again.
	eventsWait = 600 * time.Millisecond
	// gatherPause is the pause between two questions, so that events come in groups.
	gatherPause = 120 * time.Millisecond
	// retryPause is the pause after a failed question.
	retryPause = 300 * time.Millisecond
	// preferred is above any score by room, so that parts go to the stores for their length first.
	preferred = 1e12
)

// Follow keeps the directory of one store up to date until ctx ends. Report is called when the
// store is lost, with the error, and when it is regained, with nil.
func (di *Directory) Follow(ctx context.Context, src Source, address string, report func(err error)) {
	lost := false
	for ctx.Err() == nil {
		err := di.ask(ctx, src, address)
		if err == nil {
			if lost {
				report(nil)
			}
			lost = false
			select {
			case <-ctx.Done():
			case <-di.ck.After(gatherPause):
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		di.Lost(address)
		if !lost {
			report(err)
		}
		lost = true
		select {
		case <-ctx.Done():
		case <-di.ck.After(retryPause):
		}
	}
}

func (di *Directory) ask(ctx context.Context, src Source, address string) error {
	since, _ := di.Next(address)
	ev, err := src.Events(ctx, address, since, eventsWait)
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
