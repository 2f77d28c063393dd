// Package cachedir tracks which prompt parts are completely stored in which cache store.
package cachedir

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// pendingSaveTimeout is how long a part counts as being saved if its store does not report it.
	pendingSaveTimeout = 3 * time.Second
	// MaxFetchTime bounds the time of a fetch from its permission to its end.
	MaxFetchTime = 1500 * time.Millisecond
	// maxClockAge is the time without a report from a store after which its parts are no longer used.
	maxClockAge = 1600 * time.Millisecond
	// slownessWeight is the weight of the newest transfer in the moving average of a store's slowness.
	slownessWeight = 0.2
	// maxSlowness caps the slowness of a store relative to its link.
	maxSlowness = 30.0
	// slownessHalfLife is the time without transfers in which the slowness of a store decays by half, so
	// that the store is tried again.
	slownessHalfLife = 1500 * time.Millisecond
	// SlowStoreRatio is the slowness from which a store gets no new parts and its parts are copied elsewhere.
	SlowStoreRatio = 4.0
	// smallPartTokens is the length up to which a part goes to the stores with the shortest setup latency.
	// Longer parts would fill these stores immediately.
	smallPartTokens = 1000
	// maxFillShare is the share of a store's capacity up to which it gets parts.
	maxFillShare = 0.97
)

type (
	// Part identifies the KV cache of a prompt part. The salt separates model versions and exclusive teams.
	Part struct {
		Salt string
		ID   string
	}

	// Change is an event of a store: a part was added or removed.
	Change struct {
		Part
		// Added reports that the part is now complete; otherwise it has been removed.
		Added bool
		// Tokens is the length of the part.
		Tokens int
	}

	// Events is the response of a store to a poll for events.
	Events struct {
		// Epoch changes when the store restarts, which empties it.
		Epoch uint64
		// NextPosition is the position from which the next poll continues.
		NextPosition uint64
		// Lost reports that earlier events are no longer available.
		Lost bool
		// Clock is the endpoints' clock in milliseconds; zero if the store does not report it.
		Clock int64
		// Changes are in the order in which they happened.
		Changes []Change
	}

	// Listing is the complete content of a store.
	Listing struct {
		Epoch        uint64
		NextPosition uint64
		Clock        int64
		Parts        []Change
	}

	// Source queries cache stores for their content. Implementations are safe for concurrent use.
	Source interface {
		// Events returns the events after position since. If there are none yet, it waits for them, at most
		// for the duration wait.
		Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
		// List returns all complete parts.
		List(ctx context.Context, address string) (Listing, error)
		// Free removes parts from a store, unless the store has restarted since epoch or the call arrives
		// after until, in milliseconds of the endpoints' clock.
		Free(ctx context.Context, address string, epoch uint64, until int64, parts []Part) error
	}

	// Directory is the index of all cache stores. It is safe for concurrent use.
	Directory struct {
		ck clock.Clock

		mu              sync.Mutex
		stores          map[string]*store
		gates           Gates
		fetchPermit     func(clock int64) bool
		pendingChanges  []StoreChange
		collectsChanges bool
		useCounts       map[Part]int
	}

	// Location is a store that holds a part.
	Location struct {
		catalog.CacheStore
		// Clock is the endpoints' clock now, in milliseconds.
		Clock int64
		// Slowness is the recent ratio of transfer times to the times expected from the link, at least 1.
		Slowness float64
		// QueuedTokens is the number of tokens that all hosts are still fetching from the store.
		QueuedTokens int
	}

	store struct {
		info catalog.CacheStore
		// epoch is zero and synced is false while nothing has been recorded of the store since its last reset.
		epoch        uint64
		nextPosition uint64
		synced       bool
		parts        map[Part]int
		usedTokens   int
		pendingSaves map[Part]pendingSave
		// pendingSaveTokens is the sum over pendingSaves; savesPurgedAt is when expired saves were last
		// removed.
		pendingSaveTokens int
		savesPurgedAt     time.Time
		// hash is the rendezvous hash of the address.
		hash uint64
		// clockMs is the endpoints' clock in milliseconds as the store last reported it, at clockReadAt.
		clockMs     int64
		clockReadAt time.Time
		// lastSlowness is the slowness after the last transfer, at slownessAt; it decays from then on.
		lastSlowness    float64
		slownessAt      time.Time
		ownTransfers    []transfer
		transfersByPeer map[string]peerTransfers
	}

	pendingSave struct {
		tokens    int
		expiresAt time.Time
	}
)

// New returns a directory without stores.
func New(ck clock.Clock) *Directory {
	return &Directory{ck: ck, stores: make(map[string]*store), useCounts: make(map[Part]int)}
}

// Configure sets the stores. The known content of stores that remain is kept.
func (di *Directory) Configure(infos []catalog.CacheStore) {
	di.mu.Lock()
	defer di.mu.Unlock()
	stores := make(map[string]*store, len(infos))
	for _, info := range infos {
		so := di.stores[info.Address]
		if so == nil {
			so = &store{hash: rendezvous.Hash(info.Address), parts: make(map[Part]int), pendingSaves: make(map[Part]pendingSave)}
		}
		so.info = info
		stores[info.Address] = so
	}
	di.stores = stores
}

// Position returns the position from which the next poll for events continues. Synced is false while nothing
// has been recorded of the store since its last reset.
func (di *Directory) Position(address string) (since uint64, synced bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil {
		return so.nextPosition, so.synced
	}
	return 0, false
}

// Apply records events of a store. It returns false if a listing is needed before further events.
func (di *Directory) Apply(address string, ev Events) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[address]
	if so == nil {
		return true
	}
	if ev.Lost || (so.epoch != 0 && so.epoch != ev.Epoch) {
		so.reset()
		return false
	}
	so.epoch, so.nextPosition, so.synced = ev.Epoch, ev.NextPosition, true
	so.setClock(ev.Clock, di.ck.Now())
	for _, ch := range ev.Changes {
		so.applyChange(ch)
		di.collectChange(address, ch)
	}
	return true
}

// Replace records the complete content of a store.
func (di *Directory) Replace(address string, li Listing) {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[address]
	if so == nil {
		return
	}
	so.reset()
	so.epoch, so.nextPosition, so.synced = li.Epoch, li.NextPosition, true
	so.setClock(li.Clock, di.ck.Now())
	for _, ch := range li.Parts {
		ch.Added = true
		so.applyChange(ch)
		di.collectChange(address, ch)
	}
}

// Clear forgets the content of a store that does not respond, because it may have restarted empty.
func (di *Directory) Clear(address string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil {
		so.reset()
	}
}

// Find returns the stores that hold the complete part and from which this host may fetch it, sorted by
// address.
func (di *Directory) Find(pt Part) []Location {
	di.mu.Lock()
	defer di.mu.Unlock()
	var out []Location
	now := di.ck.Now()
	allowed := di.gates.Allow(pt)
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; !ok || !so.synced {
			continue
		}
		clock, ok := so.clockAt(now)
		if ok && (!so.info.Managed || allowed && (di.fetchPermit == nil || di.fetchPermit(clock))) {
			out = append(out, Location{
				CacheStore: so.info, Clock: clock, Slowness: so.slowness(now),
				QueuedTokens: so.queuedTokens(now),
			})
		}
	}
	slices.SortFunc(out, func(a, b Location) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return out
}

// Clock returns the endpoints' clock in milliseconds, the latest according to the reports of the stores; zero
// if no store has reported it within maxClockAge.
func (di *Directory) Clock() int64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	newest := int64(0)
	for _, so := range di.stores {
		if clock, ok := so.clockAt(now); ok && so.synced {
			newest = max(newest, clock)
		}
	}
	return newest
}

// ObserveTransfer records the actual time of a transfer, and the time expected for it if the store's recent
// slowness is ignored.
func (di *Directory) ObserveTransfer(address string, expected, actual time.Duration) {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[address]
	if so == nil || expected <= 0 {
		return
	}
	now := di.ck.Now()
	ratio := min(max(1, float64(actual)/float64(expected)), maxSlowness)
	so.lastSlowness = so.slowness(now)*(1-slownessWeight) + ratio*slownessWeight
	so.slownessAt = now
}

// Totals returns the number of parts and tokens in all stores, as far as known.
func (di *Directory) Totals() (parts, tokens int) {
	di.mu.Lock()
	defer di.mu.Unlock()
	for _, so := range di.stores {
		parts += len(so.parts)
		tokens += so.usedTokens
	}
	return parts, tokens
}

// minSetupLatency returns the shortest setup latency of all stores; -1 without stores.
func (di *Directory) minSetupLatency() time.Duration {
	shortest := time.Duration(-1)
	for _, so := range di.stores {
		if shortest < 0 || so.info.SetupLatency < shortest {
			shortest = so.info.SetupLatency
		}
	}
	return shortest
}

func (so *store) reset() {
	so.synced, so.epoch, so.nextPosition, so.usedTokens = false, 0, 0, 0
	clear(so.parts)
	clear(so.pendingSaves)
	so.pendingSaveTokens = 0
}

// setClock records the endpoints' clock as reported by the store; zero is no report.
func (so *store) setClock(ms int64, now time.Time) {
	if ms > 0 {
		so.clockMs, so.clockReadAt = ms, now
	}
}

// clockAt returns the endpoints' clock at now; ok is false if the store has not reported it within
// maxClockAge.
func (so *store) clockAt(now time.Time) (clock int64, ok bool) {
	age := now.Sub(so.clockReadAt)
	return so.clockMs + age.Milliseconds(), so.clockMs > 0 && age < maxClockAge
}

func (so *store) applyChange(ch Change) {
	if oldTokens, ok := so.parts[ch.Part]; ok {
		so.usedTokens -= oldTokens
		delete(so.parts, ch.Part)
	}
	if ch.Added {
		so.parts[ch.Part] = ch.Tokens
		so.usedTokens += ch.Tokens
	}
	if ps, ok := so.pendingSaves[ch.Part]; ok {
		so.pendingSaveTokens -= ps.tokens
		delete(so.pendingSaves, ch.Part)
	}
}

// slowness returns the ratio of the store's recent transfer times to the times expected from its link, at
// least 1.
func (so *store) slowness(now time.Time) float64 {
	if so.lastSlowness <= 1 {
		return 1
	}
	return 1 + (so.lastSlowness-1)*math.Exp2(-float64(now.Sub(so.slownessAt))/float64(slownessHalfLife))
}

// reservedTokens returns the number of tokens that are stored or being saved. It removes expired saves from
// time to time.
func (so *store) reservedTokens(now time.Time) int {
	if now.Sub(so.savesPurgedAt) > pendingSaveTimeout/10 {
		so.savesPurgedAt = now
		for pt, ps := range so.pendingSaves {
			if now.After(ps.expiresAt) {
				so.pendingSaveTokens -= ps.tokens
				delete(so.pendingSaves, pt)
			}
		}
	}
	return so.usedTokens + so.pendingSaveTokens
}
