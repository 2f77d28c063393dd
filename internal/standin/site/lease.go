package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

func (st *Store) handleGrant(w http.ResponseWriter, rq *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(rq.Body).Decode(&in) != nil || in.TTLMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastLeaseID++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	st.leases[st.lastLeaseID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": st.lastLeaseID, "ttlMs": in.TTLMs})
}

func (st *Store) handleRenew(w http.ResponseWriter, leaseID string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revokeExpired()
	id, err := strconv.ParseUint(leaseID, 10, 64)
	le, ok := st.leases[id]
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	le.expiresAt = time.Now().Add(le.ttl)
	st.leases[id] = le
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": le.ttl.Milliseconds()})
}

// handleRevoke ends a lease. It also succeeds if the lease does not exist.
func (st *Store) handleRevoke(w http.ResponseWriter, leaseID string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	id, err := strconv.ParseUint(leaseID, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.revoke(id)
	w.WriteHeader(http.StatusOK)
}

// revokeExpired ends the leases that were not renewed in time. The caller holds mu.
func (st *Store) revokeExpired() {
	for id, le := range st.leases {
		if time.Now().After(le.expiresAt) {
			st.revoke(id)
		}
	}
}

// revoke ends a lease and removes its items, each at a revision of its own. The caller holds mu.
func (st *Store) revoke(id uint64) {
	delete(st.leases, id)
	for key, it := range st.items {
		if id != 0 && it.Lease == id {
			st.revision++
			st.remove(key)
		}
	}
}
