// Package cachedir knows which prompt parts lie whole in which cache store.
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
	// savingFor is how long a part counts as being saved before its store has reported it.
	savingFor = 3 * time.Second
	// FetchMost bounds a fetch from its permission to its end.
	FetchMost = 1500 * time.Millisecond
	// heardMost is how long what is known of a store is used without a word of it.
	heardMost = 1600 * time.Millisecond
	// slowWeight is the weight of the newest transfer in what is known of a store's pace.
	slowWeight = 0.2
	// slowMost bounds how much slower than its link a store is taken to be.
	slowMost = 30.0
	// slowHalf is after which time without transfers half of a store's slowness is forgotten, so
	// that it is tried again.
	slowHalf = 1500 * time.Millisecond
	// SlowStore is from which factor on a store gets no new parts, and its parts are copied.
	SlowStore = 4.0
	// smallPart is up to which length a part goes to the stores that start a transfer soonest,
	// in tokens. Longer ones would fill these stores at once.
	smallPart = 1000
	// fillShare is up to which share a store is filled.
	fillShare = 0.97
)

type (
	// Part identifies KV cache: the salt separates versions and exclusive teams.
	Part struct {
		Salt string
		ID   string
	}

	// Change is one event of a store.
	Change struct {
		Part
		// Added reports that the part is whole now; else it is gone.
		Added bool
		// Tokens is the length of the part.
		Tokens int
	}

	// Events is an answer to a question for events.
	Events struct {
		// Epoch changes when the store starts anew, without its content.
		Epoch uint64
		// Next is where the next question continues.
		Next uint64
		// Lost reports that events before these are gone.
		Lost bool
		// Clock is the endpoints' time in milliseconds; zero if it is not said.
		Clock int64
		// Changes are in order.
		Changes []Change
	}

	// Listing is all that a store holds whole.
	Listing struct {
		Epoch uint64
		Next  uint64
		Clock int64
		Held  []Change
	}

	// Source asks cache stores what they hold. Implementations are safe for concurrent use.
	Source interface {
		// Events waits at most wait for events after since.
		Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
		// List returns all parts.
		List(ctx context.Context, address string) (Listing, error)
		// Free frees parts at a store that has not started anew since epoch, if the call arrives
		// before until in milliseconds of the endpoints' clock.
		Free(ctx context.Context, address string, epoch uint64, until int64, parts []Part) error
	}

	// Directory is safe for concurrent use. New makes one.
	Directory struct {
		ck clock.Clock

		mu     sync.Mutex
		stores map[string]*store
		gates  Gates
		permit func(clock int64) bool
		news   []News
		tells  bool
		uses   map[Part]int
	}

	// Location is a store that holds a part.
	Location struct {
		catalog.CacheStore
		// Clock is the endpoints' time now, in milliseconds.
		Clock int64
		// Slow is how much longer than by its link transfers take lately, at least 1.
		Slow float64
		// Queued is how many tokens all hosts still have to get from it.
		Queued int
	}

	store struct {
		info   catalog.CacheStore
		epoch  uint64
		next   uint64
		synced bool
		parts  map[Part]int
		used   int
		saving map[Part]saving
		// savingTokens is the sum over saving; swept is when those that are over were dropped last.
		savingTokens int
		swept        time.Time
		hash         uint64
		clock        int64
		heard        time.Time
		slow         float64
		slowAt       time.Time
		own          []transfer
		peers        map[string]peerTransfers
	}

	saving struct {
		tokens int
		until  time.Time
	}
)

// New returns a directory without stores.
func New(ck clock.Clock) *Directory {
	return &Directory{ck: ck, stores: make(map[string]*store), uses: make(map[Part]int)}
}

// Configure sets the stores. What is known of stores that stay is kept.
func (di *Directory) Configure(infos []catalog.CacheStore) {
	di.mu.Lock()
	defer di.mu.Unlock()
	stores := make(map[string]*store, len(infos))
	for _, info := range infos {
		so := di.stores[info.Address]
		if so == nil {
			so = &store{hash: rendezvous.Hash(info.Address), parts: make(map[Part]int), saving: make(map[Part]saving)}
		}
		so.info = info
		stores[info.Address] = so
	}
	di.stores = stores
}

// Next returns where the next question for events continues, and whether a listing is needed first.
func (di *Directory) Next(address string) (since uint64, synced bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil {
		return so.next, so.synced
	}
	return 0, false
}

// Apply records events of a store. It reports false if a listing is needed to go on.
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
	so.epoch, so.next, so.synced = ev.Epoch, ev.Next, true
	so.hear(ev.Clock, di.ck.Now())
	for _, ch := range ev.Changes {
		so.change(ch)
		di.tell(address, ch)
	}
	return true
}

// Replace records all that a store holds.
func (di *Directory) Replace(address string, li Listing) {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[address]
	if so == nil {
		return
	}
	so.reset()
	so.epoch, so.next, so.synced = li.Epoch, li.Next, true
	so.hear(li.Clock, di.ck.Now())
	for _, ch := range li.Held {
		ch.Added = true
		so.change(ch)
		di.tell(address, ch)
	}
}

// Lost forgets what a store holds, because it does not answer and may have started anew.
func (di *Directory) Lost(address string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil {
		so.reset()
	}
}

// Find returns the stores that hold a part whole.
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
		if ok && (!so.info.Managed || allowed && (di.permit == nil || di.permit(clock))) {
			out = append(out, Location{
				CacheStore: so.info, Clock: clock, Slow: so.slowness(now),
				Queued: so.queued(now),
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

// Clock returns the endpoints' clock, in milliseconds, as the stores have told it last; zero if none has
// for a while.
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

// Observe records that a transfer that should have taken expected by the store's link took took.
func (di *Directory) Observe(address string, expected, took time.Duration) {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[address]
	if so == nil || expected <= 0 {
		return
	}
	now := di.ck.Now()
	ratio := min(max(1, float64(took)/float64(expected)), slowMost)
	so.slow = so.slowness(now)*(1-slowWeight) + ratio*slowWeight
	so.slowAt = now
}

// Known returns how many parts and tokens are known to lie in the stores.
func (di *Directory) Known() (parts, tokens int) {
	di.mu.Lock()
	defer di.mu.Unlock()
	for _, so := range di.stores {
		parts += len(so.parts)
		tokens += so.used
	}
	return parts, tokens
}

func (di *Directory) soonest() time.Duration {
	least := time.Duration(-1)
	for _, so := range di.stores {
		if least < 0 || so.info.Setup < least {
			least = so.info.Setup
		}
	}
	return least
}

func (so *store) reset() {
	so.synced, so.epoch, so.next, so.used = false, 0, 0, 0
	clear(so.parts)
	clear(so.saving)
	so.savingTokens = 0
}

func (so *store) hear(ms int64, now time.Time) {
	if ms > 0 {
		so.clock, so.heard = ms, now
	}
}

// clockAt returns the endpoints' clock at now; ok is false if the store has not told it for a while.
func (so *store) clockAt(now time.Time) (clock int64, ok bool) {
	since := now.Sub(so.heard)
	return so.clock + since.Milliseconds(), so.clock > 0 && since < heardMost
}

func (so *store) change(ch Change) {
	if had, ok := so.parts[ch.Part]; ok {
		so.used -= had
		delete(so.parts, ch.Part)
	}
	if ch.Added {
		so.parts[ch.Part] = ch.Tokens
		so.used += ch.Tokens
	}
	if sv, ok := so.saving[ch.Part]; ok {
		so.savingTokens -= sv.tokens
		delete(so.saving, ch.Part)
	}
}

// slowness returns how much longer than by its link transfers of the store take.
func (so *store) slowness(now time.Time) float64 {
	if so.slow <= 1 {
		return 1
	}
	return 1 + (so.slow-1)*math.Exp2(-float64(now.Sub(so.slowAt))/float64(slowHalf))
}

// reserved returns the tokens that are kept or being saved.
func (so *store) reserved(now time.Time) int {
	if now.Sub(so.swept) > savingFor/10 {
		so.swept = now
		for pt, sv := range so.saving {
			if now.After(sv.until) {
				so.savingTokens -= sv.tokens
				delete(so.saving, pt)
			}
		}
	}
	return so.used + so.savingTokens
}
