package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

func (st *Store) grant(w http.ResponseWriter, rq *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(rq.Body).Decode(&in) != nil || in.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.nextID++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	st.leases[st.nextID] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": st.nextID, "ttlMs": in.TTLMs})
}

func (st *Store) renew(w http.ResponseWriter, text string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	id, err := strconv.ParseUint(text, 10, 64)
	le, ok := st.leases[id]
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	le.ends = time.Now().Add(le.ttl)
	st.leases[id] = le
	answer(w, http.StatusOK, map[string]any{"ttlMs": le.ttl.Milliseconds()})
}

func (st *Store) end(w http.ResponseWriter, text string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.drop(id)
	w.WriteHeader(http.StatusOK)
}

func (st *Store) expire() {
	for id, le := range st.leases {
		if time.Now().After(le.ends) {
			st.drop(id)
		}
	}
}

func (st *Store) drop(id uint64) {
	delete(st.leases, id)
	for key, it := range st.items {
		if id != 0 && it.Lease == id {
			st.revision++
			st.remove(key)
		}
	}
}
