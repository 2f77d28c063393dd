// Package site emulates the users' platform: a metadata store, engines, plain services and cache
// stores that speak its protocol on loopback, with faults that are injected at run time.
package site

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	leasePath = "/kv-lease"
	watchPath = "/kv-watch"
	// pollInterval is a tenth of the time after which a watch looks for expired leases again.
	pollInterval = 5 * time.Millisecond
	itemsPerPage = 100
	// bytesPerPage is the number of bytes of values in one response to a list call, unless a single item has more.
	bytesPerPage = 1 << 20
)

type (
	// StoreFault is a fault of the metadata store.
	StoreFault int

	// Store emulates the metadata store. It is safe for concurrent use.
	Store struct {
		server   *http.Server
		listener net.Listener

		mu sync.Mutex
		// era is the number of copies from which the store has been restored, plus one.
		era      uint64
		revision uint64
		items    map[string]item
		history  []event
		// compactedRevision is the revision up to which events have been dropped from the history.
		compactedRevision uint64
		leases            map[uint64]lease
		lastLeaseID       uint64
		fault             StoreFault
		delay             time.Duration
		callCount         int
		watchCount        int
		// teams are those of the next configuration; nil means Team alone.
		teams []TeamSetting
		// changed is closed and replaced by notifyWatchers.
		changed chan struct{}
	}

	item struct {
		Key        string `json:"key"`
		Value      []byte `json:"value"`
		Revision   uint64 `json:"revision"`
		CreatedRev uint64 `json:"createdRev"`
		Lease      uint64 `json:"lease"`
	}

	// Backup is a copy of a store's state.
	Backup struct {
		revision uint64
		items    map[string]item
		leases   map[uint64]lease
		history  []event
		// compactedRevision is that of the store.
		compactedRevision uint64
	}

	event struct {
		item
		Removed bool `json:"removed,omitempty"`
	}

	lease struct {
		ttl       time.Duration
		expiresAt time.Time
	}

	transaction struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
)

const (
	// NoStoreFault means no fault.
	NoStoreFault StoreFault = iota
	// StoreUnavailable rejects all calls with status 503.
	StoreUnavailable
	// StoreUnresponsive accepts calls and never responds.
	StoreUnresponsive
	// StoreLosesResponses carries out writes and aborts the connection without a response.
	StoreLosesResponses
)

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "site: listen")
	}
	st := &Store{
		listener: ln, era: 1, revision: 1, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{}),
	}
	st.server = &http.Server{Handler: st, ReadHeaderTimeout: time.Second}
	go func() { _ = st.server.Serve(ln) }()
	return st, nil
}

// Address returns the listen address.
func (st *Store) Address() string { return st.listener.Addr().String() }

// Close stops the store.
func (st *Store) Close() { _ = st.server.Close() }

// SetFault sets the fault of all further calls; a fault also aborts pending watches. NoStoreFault clears it.
func (st *Store) SetFault(fa StoreFault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fault = fa
	st.notifyWatchers()
}

// SetDelay delays each call by d before it is served.
func (st *Store) SetDelay(d time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.delay = d
}

// CompactHistory drops the history: watches from a revision before the current one fail with status 410.
func (st *Store) CompactHistory() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history, st.compactedRevision = nil, st.revision
	st.notifyWatchers()
}

// Backup returns a copy of the current state.
func (st *Store) Backup() *Backup {
	st.mu.Lock()
	defer st.mu.Unlock()
	return &Backup{
		revision: st.revision, items: maps.Clone(st.items), leases: maps.Clone(st.leases), history: slices.Clone(st.history),
		compactedRevision: st.compactedRevision,
	}
}

// Restore replaces the state by a copy, as after the loss of the store's disks. All that was written since the copy is lost,
// leases too, and the revisions since then are given out again. The leases of the copy run on from now.
func (st *Store) Restore(bu *Backup) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.revision, st.items, st.leases = bu.revision, maps.Clone(bu.items), maps.Clone(bu.leases)
	st.history, st.compactedRevision = slices.Clone(bu.history), bu.compactedRevision
	for id, le := range st.leases {
		le.expiresAt = time.Now().Add(le.ttl)
		st.leases[id] = le
	}
	st.notifyWatchers()
}

// Era returns the number of times that the store has been restored, plus one.
func (st *Store) Era() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.era
}

// CallCount returns the number of calls received so far.
func (st *Store) CallCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.callCount
}

// WatchCount returns the number of watches received so far.
func (st *Store) WatchCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.watchCount
}

// GrantedLeases returns the number of leases granted so far.
func (st *Store) GrantedLeases() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return int(st.lastLeaseID)
}

// Put writes value as JSON, as the operator or an endpoint does, and returns the new revision.
func (st *Store) Put(key string, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "site: value")
	}
	return st.PutBytes(key, data), nil
}

// PutBytes writes data, which need not be valid JSON, and returns the new revision.
func (st *Store) PutBytes(key string, data []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.put(key, data, 0)
	return st.revision
}

// Remove removes an item.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.remove(key)
}

// Value returns the value of an item, or nil if it does not exist.
func (st *Store) Value(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revokeExpired()
	return st.items[key].Value
}

// Revision returns the store's current revision.
func (st *Store) Revision() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.revision
}

// ServeHTTP serves one call.
func (st *Store) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	st.callCount++
	if rq.URL.Path == watchPath {
		st.watchCount++
	}
	fault, delay := st.fault, st.delay
	w.Header().Set("Store-Era", strconv.FormatUint(st.era, 10))
	st.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-rq.Context().Done():
			return
		}
	}
	isWrite := rq.Method != http.MethodGet
	switch {
	case fault == StoreUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == StoreUnresponsive:
		<-rq.Context().Done()
	case fault == StoreLosesResponses && isWrite:
		st.dispatch(discardWriter{header: make(http.Header)}, rq)
		panic(http.ErrAbortHandler)
	default:
		st.dispatch(w, rq)
	}
}

func (st *Store) dispatch(w http.ResponseWriter, rq *http.Request) {
	switch {
	case rq.URL.Path == "/kv-range":
		st.handleList(w, rq)
	case rq.URL.Path == watchPath:
		st.handleWatch(w, rq)
	case rq.URL.Path == "/kv-txn":
		st.handleTransaction(w, rq)
	case rq.URL.Path == leasePath:
		st.handleGrant(w, rq)
	case strings.HasPrefix(rq.URL.Path, "/kv-keep/"):
		st.handleRenew(w, strings.TrimPrefix(rq.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(rq.URL.Path, "/kv-lease-end/"):
		st.handleRevoke(w, strings.TrimPrefix(rq.URL.Path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (st *Store) handleList(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revokeExpired()
	prefix, after := rq.URL.Query().Get("pathPrefix"), rq.URL.Query().Get("after")
	var items []item
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	count, size := 0, 0
	for count < min(len(items), itemsPerPage) && (count == 0 || size+len(items[count].Value) <= bytesPerPage) {
		size += len(items[count].Value)
		count++
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:count], "morePages": count < len(items), "storeRevision": st.revision})
}

// handleWatch waits for events after a revision. It responds with status 410 if the history has been
// compacted beyond that revision, or the store does not have that revision.
func (st *Store) handleWatch(w http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		st.mu.Lock()
		st.revokeExpired()
		w.Header().Set("Store-Era", strconv.FormatUint(st.era, 10))
		if after < st.compactedRevision || after > st.revision {
			st.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []event
		for _, ev := range st.history {
			if ev.Revision > after && strings.HasPrefix(ev.Key, query.Get("pathPrefix")) {
				events = append(events, ev)
			}
		}
		revision, changed, fault := st.revision, st.changed, st.fault
		st.mu.Unlock()
		if fault != NoStoreFault {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(pollInterval * 10):
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": []event{}, "storeRevision": revision})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// handleTransaction carries out all writes of a transaction at one revision if each expected key has its
// expected revision, and otherwise returns the current items with status 412.
func (st *Store) handleTransaction(w http.ResponseWriter, rq *http.Request) {
	var tx transaction
	if json.NewDecoder(rq.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revokeExpired()
	var current []item
	matches := true
	for _, ex := range tx.Expected {
		current = append(current, st.items[ex.Key])
		matches = matches && st.items[ex.Key].Revision == ex.Revision
	}
	if !matches {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, pu := range tx.Puts {
		if _, ok := st.leases[pu.Lease]; pu.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	st.revision++
	for _, pu := range tx.Puts {
		st.put(pu.Key, pu.Value, pu.Lease)
	}
	for _, key := range tx.Remove {
		st.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": st.revision})
}

// put writes an item at the current revision. The caller holds mu.
func (st *Store) put(key string, value []byte, leaseID uint64) {
	it := item{Key: key, Value: value, Revision: st.revision, CreatedRev: st.revision, Lease: leaseID}
	if old, ok := st.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	st.items[key] = it
	st.history = append(st.history, event{item: it})
	st.notifyWatchers()
}

// remove removes an item, if it exists, at the current revision. The caller holds mu.
func (st *Store) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	delete(st.items, key)
	st.history = append(st.history, event{item: item{Key: key, Revision: st.revision}, Removed: true})
	st.notifyWatchers()
}

// notifyWatchers makes all pending watches look for events again. The caller holds mu.
func (st *Store) notifyWatchers() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// discardWriter discards a response, as if it were lost on the network.
type discardWriter struct{ header http.Header }

func (dw discardWriter) Header() http.Header         { return dw.header }
func (dw discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (dw discardWriter) WriteHeader(int)             {}
