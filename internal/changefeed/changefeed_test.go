package changefeed_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/changefeed"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

const (
	maxAge       = 1500 * time.Millisecond
	waitTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// replica is a follower that keeps the values of all keys.
type replica struct {
	mu       sync.Mutex
	values   map[string]string
	failures int
}

func (rp *replica) ApplySnapshot(sn metastore.Snapshot) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.values = make(map[string]string)
	for _, it := range sn.Items {
		rp.values[it.Key] = string(it.Value)
	}
}

func (rp *replica) ApplyEvent(ev metastore.Event) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.values[ev.Item.Key] = string(ev.Item.Value)
}

func (*replica) CallDelayed() {}

func (*replica) CallSucceeded(time.Duration) {}

func (rp *replica) CallFailed(error) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.failures++
}

func (rp *replica) value(key string) string {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.values[key]
}

func (rp *replica) failureCount() int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.failures
}

// zone is a relay with subscribers that are connected by a channel that can be cut.
type zone struct {
	store    *site.Store
	relay    *replica
	replicas []*replica

	mu  sync.Mutex
	cut bool
}

func startZone(t *testing.T, hosts int) *zone {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	follow := func(opts metastore.FollowOptions) *replica {
		rp := &replica{}
		opts.Store = platform.NewMetadataStore(st.Address(), nil)
		wg.Go(func() { metastore.Follow(ctx, opts, rp) })
		return rp
	}
	zo := &zone{store: st}
	pu := changefeed.NewPublisher(clock.SinceBoot)
	zo.relay = follow(metastore.FollowOptions{WatchWait: func() time.Duration { return 300 * time.Millisecond }, Relay: pu})
	var subscribers []*changefeed.Subscriber
	for range hosts {
		su := changefeed.NewSubscriber(changefeed.SubscriberOptions{MaxAge: func() time.Duration { return maxAge }})
		subscribers = append(subscribers, su)
		zo.replicas = append(zo.replicas, follow(metastore.FollowOptions{Feed: su}))
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
			up, ok := pu.Update()
			if !ok || zo.isCut() {
				continue
			}
			for _, su := range subscribers {
				su.Offer("relay", up)
			}
		}
	})
	return zo
}

func (zo *zone) isCut() bool {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	return zo.cut
}

func (zo *zone) setCut(cut bool) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	zo.cut = cut
}

// put writes a key and waits until all hosts have it.
func (zo *zone) put(t *testing.T, key, value string) {
	t.Helper()
	zo.store.PutBytes(key, []byte(value))
	require.Eventually(t, func() bool {
		for _, rp := range append([]*replica{zo.relay}, zo.replicas...) {
			if rp.value(key) != value {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval, key)
}

// Guards against a watch of every host: in a fleet of 295 hosts, watches were a tenth of all costs.
func TestSubscribersDoNotCallTheStore(t *testing.T) {
	t.Parallel()
	const hosts = 20
	const changes = 20
	zo := startZone(t, hosts)
	// Watches that the hosts have begun before they heard of the relay end first.
	require.Eventually(t, func() bool {
		before := zo.store.CallCount()
		zo.put(t, "first", fmt.Sprint(before))
		return zo.store.CallCount()-before < hosts/2
	}, waitTimeout, pollInterval)
	before := zo.store.CallCount()
	for i := range changes {
		zo.put(t, fmt.Sprint("key-", i), "2")
	}
	// The relay makes one call for each change, and a few that return without one; with a watch of each
	// host there were hosts*changes calls.
	require.Less(t, zo.store.CallCount()-before, hosts*changes/4)
}

func TestSubscribersAskTheStoreWhenTheRelayIsSilent(t *testing.T) {
	t.Parallel()
	zo := startZone(t, 3)
	zo.put(t, "first", "1")
	zo.setCut(true)
	started := time.Now()
	zo.put(t, "second", "2")
	require.Less(t, time.Since(started), maxAge+2*time.Second)
	zo.setCut(false)
	zo.put(t, "third", "3")
}

// A change that is too large for a datagram, or in updates that were all lost, is fetched from the store.
func TestSubscribersFetchMissingChanges(t *testing.T) {
	t.Parallel()
	zo := startZone(t, 3)
	zo.put(t, "first", "1")
	zo.put(t, "large", strings.Repeat("x", 64<<10))
	zo.put(t, "after", "2")
}

func TestStoreOutageIsNoticedBySubscribers(t *testing.T) {
	t.Parallel()
	zo := startZone(t, 3)
	zo.put(t, "first", "1")
	zo.store.SetFault(site.StoreUnavailable)
	require.Eventually(t, func() bool {
		for _, rp := range zo.replicas {
			if rp.failureCount() == 0 {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval)
	zo.store.SetFault(site.NoStoreFault)
	zo.put(t, "second", "2")
}

// at returns the revision of the first era with the given number.
func at(number uint64) metastore.Revision { return metastore.Revision{Era: 1, Number: number} }

func event(key string, revision uint64) metastore.Event {
	return metastore.Event{Item: metastore.Item{Key: key, Value: []byte("v"), Revision: at(revision)}}
}

func TestUpdatesRepeatWholeRevisions(t *testing.T) {
	t.Parallel()
	now := time.Duration(0)
	pu := changefeed.NewPublisher(func() time.Duration { return now })
	_, ok := pu.Update()
	require.False(t, ok)
	pu.Record(at(5), metastore.Changes{Events: []metastore.Event{event("a", 6), event("b", 6)}, Revision: at(6)}, 0)
	now = 200 * time.Millisecond
	pu.Record(at(6), metastore.Changes{Events: []metastore.Event{event("c", 8)}, Revision: at(9)}, now)
	up, ok := pu.Update()
	require.True(t, ok)
	require.Equal(t, []uint64{5, 9, 3}, []uint64{up.From.Number, up.To.Number, uint64(len(up.Events))})
	now = 500 * time.Millisecond
	up, _ = pu.Update()
	require.Equal(t, []uint64{6, 9, 1}, []uint64{up.From.Number, up.To.Number, uint64(len(up.Events))})
	require.Equal(t, int64(300), up.AgeMs)
	// A host that was a subscriber in between begins a new range.
	pu.Record(at(20), metastore.Changes{Revision: at(20)}, now)
	up, _ = pu.Update()
	require.Equal(t, []uint64{20, 20, 0}, []uint64{up.From.Number, up.To.Number, uint64(len(up.Events))})
}

func TestOldConfirmationsDoNotCoverTheState(t *testing.T) {
	t.Parallel()
	ck := clockwork.NewFakeClock()
	su := changefeed.NewSubscriber(changefeed.SubscriberOptions{Clock: ck, MaxAge: func() time.Duration { return maxAge }})
	covers := func() bool {
		_, err := su.Next(context.Background(), at(3))
		return err == nil
	}
	require.False(t, covers())
	// A relay that was suspended sends a state that it confirmed long ago.
	su.Offer("relay", changefeed.Update{From: at(2), To: at(3), AgeMs: 5000})
	require.False(t, covers())
	su.Offer("relay", changefeed.Update{From: at(2), To: at(3), AgeMs: 100})
	require.True(t, covers())
	ck.Advance(maxAge)
	require.False(t, covers())
}

// A relay that cannot reach the store does not disturb the hosts while another relay covers them, and is reported
// as a loss of the store only once.
func TestFailingRelayIsReportedOnce(t *testing.T) {
	t.Parallel()
	ck := clockwork.NewFakeClock()
	su := changefeed.NewSubscriber(changefeed.SubscriberOptions{Clock: ck, MaxAge: func() time.Duration { return maxAge }})
	su.Offer("first", changefeed.Update{From: at(2), To: at(3)})
	_, err := su.Next(context.Background(), at(3))
	require.NoError(t, err)
	su.Offer("second", changefeed.Update{From: at(2), To: at(3), Failing: true})
	ck.Advance(time.Millisecond)
	su.Offer("first", changefeed.Update{From: at(2), To: at(4), Events: []changefeed.Event{{Key: "k", Revision: 4}}})
	ch, err := su.Next(context.Background(), at(3))
	require.NoError(t, err)
	require.Len(t, ch.Events, 1)
	var lost *changefeed.NotCoveredError
	for _, wantLost := range []bool{true, false} {
		su.Offer("first", changefeed.Update{From: at(2), To: at(4), Failing: true})
		_, err = su.Next(context.Background(), at(4))
		require.ErrorAs(t, err, &lost)
		require.Equal(t, wantLost, lost.IsStoreLost())
	}
}

// Guards against a gap that is none: a subscriber that has received later changes from the store itself.
func TestOlderUpdatesAreNoGap(t *testing.T) {
	t.Parallel()
	su := changefeed.NewSubscriber(changefeed.SubscriberOptions{MaxAge: func() time.Duration { return time.Minute }})
	su.Offer("relay", changefeed.Update{From: at(2), To: at(4), AgeMs: 10})
	ch, err := su.Next(context.Background(), at(9))
	require.NoError(t, err)
	require.Equal(t, metastore.Changes{Revision: at(9)}, ch)
	su.Offer("relay", changefeed.Update{From: at(11), To: at(12)})
	_, err = su.Next(context.Background(), at(9))
	require.ErrorContains(t, err, "missing")
}

// Guards against a state with missing changes that counts as covered when the host asks once more.
func TestMissingChangesRemainMissing(t *testing.T) {
	t.Parallel()
	su := changefeed.NewSubscriber(changefeed.SubscriberOptions{MaxAge: func() time.Duration { return time.Minute }})
	su.Offer("relay", changefeed.Update{From: at(11), To: at(12), Events: []changefeed.Event{{Key: "k", Revision: 12}}})
	for range 3 {
		_, err := su.Next(context.Background(), at(9))
		require.ErrorContains(t, err, "missing")
	}
	ch, err := su.Next(context.Background(), at(11))
	require.NoError(t, err)
	require.Len(t, ch.Events, 1)
}

// Guards against a relay that does not know of a restore, whose state covers that of a host which does, and against changes of a
// new era that are applied to the state of the one before.
func TestUpdatesOfOtherErasDoNotCoverTheState(t *testing.T) {
	t.Parallel()
	restored := func(number uint64) metastore.Revision { return metastore.Revision{Era: 2, Number: number} }
	ck := clockwork.NewFakeClock()
	su := changefeed.NewSubscriber(changefeed.SubscriberOptions{Clock: ck, MaxAge: func() time.Duration { return maxAge }})
	su.Offer("relay", changefeed.Update{From: at(2), To: at(9)})
	_, err := su.Next(context.Background(), at(9))
	require.NoError(t, err)
	ck.Advance(time.Millisecond)
	su.Offer("relay", changefeed.Update{From: restored(4), To: restored(12), Events: []changefeed.Event{{Key: "k", Revision: 12}}})
	_, err = su.Next(context.Background(), at(9))
	require.ErrorContains(t, err, "missing")
	ck.Advance(2 * maxAge)
	_, err = su.Next(context.Background(), restored(5))
	require.Error(t, err)
	su.Offer("other", changefeed.Update{From: at(2), To: at(20)})
	_, err = su.Next(context.Background(), restored(5))
	require.ErrorContains(t, err, "confirmed")
}
