package changefeed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

// maxPendingUpdates bounds the updates that wait for Next; older ones are dropped. Updates repeat changes, and
// the store has the rest.
const maxPendingUpdates = 32

type (
	// SubscriberOptions configures a Subscriber.
	SubscriberOptions struct {
		// Clock is the source of time; nil means the system clock.
		Clock clock.Clock
		// MaxAge returns the age of a relay's last confirmation from which the host asks the store itself.
		MaxAge func() time.Duration
		// Disabled returns true while this host must ask the store itself, because it is a relay; nil
		// means never.
		Disabled func() bool
	}

	// Subscriber receives updates. It is safe for concurrent use.
	Subscriber struct {
		opts SubscriberOptions
		wake chan struct{}

		mu sync.Mutex
		// confirmedAt is the latest time at which a relay is known to have had the newest state.
		confirmedAt time.Time
		// relay is the host that confirmed it.
		relay   string
		pending []Update
		// failing is set while the newest update says that its relay cannot reach the store; reported is set
		// once Next has returned that.
		failing, reported bool
		// covered is set while Next returns changes.
		covered bool
		// revision is the revision up to which Next has returned all changes.
		revision metastore.Revision
	}

	// NotCoveredError reports that the host must ask the store itself.
	NotCoveredError struct {
		// relayFailing reports that the relay has lost the store.
		relayFailing bool
		// changesMissing reports that the relay has changes before those that it sends.
		changesMissing bool
		reason         string
	}
)

var _ metastore.Feed = (*Subscriber)(nil)

// Error returns a message with the reason.
func (e *NotCoveredError) Error() string { return fmt.Sprintf("changefeed: %s", e.reason) }

// IsStoreLost reports that the store may be unavailable for all hosts. It is reported once for each time that a
// relay loses the store.
func (e *NotCoveredError) IsStoreLost() bool { return e.relayFailing }

// IsBehind reports that the relay reaches the store and has changes that this host has to read there.
func (e *NotCoveredError) IsBehind() bool { return e.changesMissing }

// NewSubscriber returns a subscriber that has received no update.
func NewSubscriber(opts SubscriberOptions) *Subscriber {
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	return &Subscriber{opts: opts, wake: make(chan struct{}, 1)}
}

// Offer passes an update that has just arrived from a relay host. It does not block. A failing relay is ignored
// while another one covers the state.
func (su *Subscriber) Offer(relay string, up Update) {
	su.mu.Lock()
	defer su.mu.Unlock()
	if up.To.Era < su.revision.Era {
		// The relay does not know that the store was restored.
		return
	}
	if up.Failing {
		replaced := relay != su.relay && su.opts.Clock.Now().Sub(su.confirmedAt) <= su.opts.MaxAge()
		if !su.failing && !replaced {
			su.failing, su.reported = true, false
			su.notify()
		}
		return
	}
	confirmedAt := su.opts.Clock.Now().Add(-up.age())
	if !confirmedAt.After(su.confirmedAt) {
		return
	}
	su.failing, su.confirmedAt, su.relay = false, confirmedAt, relay
	if n := len(su.pending); !up.To.After(su.revision) || n > 0 && su.pending[n-1].To == up.To {
		return
	}
	su.pending = append(su.pending, up)
	if len(su.pending) > maxPendingUpdates {
		su.pending = su.pending[1:]
	}
	su.notify()
}

// Age returns the time since a relay had the newest state, all of which Next has returned; ok is false if this host must ask the store
// itself.
func (su *Subscriber) Age() (age time.Duration, ok bool) {
	su.mu.Lock()
	defer su.mu.Unlock()
	age = su.opts.Clock.Now().Sub(su.confirmedAt)
	isDisabled := su.opts.Disabled != nil && su.opts.Disabled()
	return age, su.covered && !su.failing && !isDisabled && len(su.pending) == 0 && age <= su.opts.MaxAge()
}

// Next returns the changes after revision, and waits for some. It fails with a *NotCoveredError if the host must
// ask the store itself, and with the error of ctx if that ends.
//
// After such a failure it returns once without changes when a relay covers the state again.
func (su *Subscriber) Next(ctx context.Context, revision metastore.Revision) (metastore.Changes, error) {
	for {
		ch, wait, err := su.poll(revision)
		revision = ch.Revision
		if err != nil || len(ch.Events) > 0 || wait == 0 {
			return ch, err
		}
		select {
		case <-ctx.Done():
			return metastore.Changes{}, ctx.Err()
		case <-su.wake:
		case <-su.opts.Clock.After(wait):
		}
	}
}

// poll returns the pending changes after revision. Without any it returns how long the state is covered, or zero
// if it has just become covered.
func (su *Subscriber) poll(revision metastore.Revision) (ch metastore.Changes, wait time.Duration, err error) {
	su.mu.Lock()
	defer su.mu.Unlock()
	ch.Revision, su.revision = revision, revision
	if err := su.check(); err != nil {
		su.covered = false
		return ch, 0, err
	}
	for _, up := range su.pending {
		if up.From.After(ch.Revision) {
			su.covered = false
			return metastore.Changes{}, 0, &NotCoveredError{changesMissing: true, reason: fmt.Sprintf("changes after revision %s are missing", ch.Revision)}
		}
		for _, ev := range up.Events {
			if se := ev.toStoreEvent(up.To.Era); se.Item.Revision.After(ch.Revision) {
				ch.Events = append(ch.Events, se)
			}
		}
		ch.Revision = ch.Revision.Latest(up.To)
	}
	su.pending, su.revision = nil, ch.Revision
	if !su.covered {
		su.covered = true
		return ch, 0, nil
	}
	return ch, max(time.Millisecond, su.opts.MaxAge()-su.opts.Clock.Now().Sub(su.confirmedAt)), nil
}

// check returns an error if the host must ask the store itself.
func (su *Subscriber) check() error {
	switch {
	case su.opts.Disabled != nil && su.opts.Disabled():
		return &NotCoveredError{reason: "this host is a relay"}
	case su.failing && !su.reported:
		su.reported = true
		return &NotCoveredError{relayFailing: true, reason: "the relay has lost the metadata store"}
	case su.failing:
		return &NotCoveredError{reason: "the relay has lost the metadata store"}
	case su.opts.Clock.Now().Sub(su.confirmedAt) > su.opts.MaxAge():
		return &NotCoveredError{reason: "no relay has confirmed the newest state in time"}
	default:
		return nil
	}
}

// notify wakes Next.
func (su *Subscriber) notify() {
	select {
	case su.wake <- struct{}{}:
	default:
	}
}
