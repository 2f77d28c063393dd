// Package site is a stand-in for the users' platform: a metadata store, engines, plain services and
// cache stores that speak its protocol on loopback, with faults that are switched on at run time.
package site

import (
	"encoding/json"
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
	leasePath  = "/kv-lease"
	pollEvery  = 5 * time.Millisecond
	itemsAPage = 100
)

type (
	// Fault is a way in which the store misbehaves.
	Fault int

	// Store is the metadata store. It is safe for concurrent use.
	Store struct {
		server   *http.Server
		listener net.Listener

		mu       sync.Mutex
		revision uint64
		items    map[string]item
		history  []event
		dropped  uint64
		leases   map[uint64]lease
		nextID   uint64
		fault    Fault
		delay    time.Duration
		calls    int
		changed  chan struct{}
	}

	item struct {
		Key        string `json:"key"`
		Value      []byte `json:"value"`
		Revision   uint64 `json:"revision"`
		CreatedRev uint64 `json:"createdRev"`
		Lease      uint64 `json:"lease"`
	}

	event struct {
		item
		Removed bool `json:"removed,omitempty"`
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
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
	// Sound stores answer.
	Sound Fault = iota
	// Busy stores refuse all calls.
	Busy
	// Silent stores accept connections and never answer.
	Silent
	// Forgetful stores carry out writes and do not answer them.
	Forgetful
)

// NewStore starts a store on loopback.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "site: listen")
	}
	st := &Store{
		listener: ln, revision: 1, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{}),
	}
	st.server = &http.Server{Handler: st, ReadHeaderTimeout: time.Second}
	go func() { _ = st.server.Serve(ln) }()
	return st, nil
}

// Address returns where the store listens.
func (st *Store) Address() string { return st.listener.Addr().String() }

// Close stops the store.
func (st *Store) Close() { _ = st.server.Close() }

// Break switches a fault on, or off with Sound.
func (st *Store) Break(fa Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fault = fa
	st.wake()
}

// Slow delays each answer.
func (st *Store) Slow(d time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.delay = d
}

// Forget drops the history, so that watches from before it fail.
func (st *Store) Forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history, st.dropped = nil, st.revision
	st.wake()
}

// Calls returns how many calls were made so far.
func (st *Store) Calls() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Put writes an item, as the operator or an endpoint does, and returns its revision.
func (st *Store) Put(key string, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "site: value")
	}
	return st.PutBytes(key, data), nil
}

// PutBytes writes an item of any content.
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

// Value returns the content of an item, nil if it does not exist.
func (st *Store) Value(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	return st.items[key].Value
}

// Revision returns the revision of the store.
func (st *Store) Revision() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.revision
}

// ServeHTTP serves one call.
func (st *Store) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	st.calls++
	fault, delay := st.fault, st.delay
	st.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-rq.Context().Done():
			return
		}
	}
	write := rq.Method != http.MethodGet
	switch {
	case fault == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case fault == Silent:
		<-rq.Context().Done()
	case fault == Forgetful && write:
		st.serve(discard{header: make(http.Header)}, rq)
		panic(http.ErrAbortHandler)
	default:
		st.serve(w, rq)
	}
}

func (st *Store) serve(w http.ResponseWriter, rq *http.Request) {
	switch {
	case rq.URL.Path == "/kv-range":
		st.list(w, rq)
	case rq.URL.Path == "/kv-watch":
		st.watch(w, rq)
	case rq.URL.Path == "/kv-txn":
		st.commit(w, rq)
	case rq.URL.Path == leasePath:
		st.grant(w, rq)
	case strings.HasPrefix(rq.URL.Path, "/kv-keep/"):
		st.renew(w, strings.TrimPrefix(rq.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(rq.URL.Path, "/kv-lease-end/"):
		st.end(w, strings.TrimPrefix(rq.URL.Path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (st *Store) list(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	prefix, after := rq.URL.Query().Get("pathPrefix"), rq.URL.Query().Get("after")
	var items []item
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > itemsAPage
	answer(w, http.StatusOK, map[string]any{
		"items": items[:min(len(items), itemsAPage)], "morePages": more, "storeRevision": st.revision,
	})
}

func (st *Store) watch(w http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || werr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		st.expire()
		if after < st.dropped {
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
		if fault != Sound {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(pollEvery * 10):
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": []event{}, "storeRevision": revision})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *Store) commit(w http.ResponseWriter, rq *http.Request) {
	var tx transaction
	if json.NewDecoder(rq.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	var current []item
	holds := true
	for _, ex := range tx.Expected {
		current = append(current, st.items[ex.Key])
		holds = holds && st.items[ex.Key].Revision == ex.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
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
	answer(w, http.StatusOK, map[string]any{"revision": st.revision})
}

func (st *Store) put(key string, value []byte, id uint64) {
	it := item{Key: key, Value: value, Revision: st.revision, CreatedRev: st.revision, Lease: id}
	if old, ok := st.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	st.items[key] = it
	st.history = append(st.history, event{item: it})
	st.wake()
}

func (st *Store) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	delete(st.items, key)
	st.history = append(st.history, event{item: item{Key: key, Revision: st.revision}, Removed: true})
	st.wake()
}

func (st *Store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone does not read the answer.
	_ = json.NewEncoder(w).Encode(body)
}

// discard takes an answer that is lost on its way.
type discard struct{ header http.Header }

func (di discard) Header() http.Header         { return di.header }
func (di discard) Write(p []byte) (int, error) { return len(p), nil }
func (di discard) WriteHeader(int)             {}
