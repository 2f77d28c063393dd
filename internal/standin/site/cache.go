package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Keep makes a cache store hold a part.
func (ep *Endpoint) Keep(salt, id string, tokens int) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.kept = append(ep.kept, keptPart{salt: salt, id: id, tokens: tokens})
}

// Held returns how many parts a cache store holds.
func (ep *Endpoint) Held() int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return len(ep.kept)
}

func (ep *Endpoint) events(w http.ResponseWriter, rq *http.Request) {
	since, err := strconv.Atoi(rq.URL.Query().Get("since"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ep.mu.Lock()
	lost := since > 0 && since != len(ep.kept)
	next := len(ep.kept)
	var events [][]any
	for i, kp := range ep.kept {
		if i >= since {
			events = append(events, []any{i + 1, "+", kp.salt, kp.id, kp.tokens, "model"})
		}
	}
	ep.mu.Unlock()
	if len(events) == 0 && !lost {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-rq.Context().Done():
			return
		}
	}
	answer(w, http.StatusOK, map[string]any{
		"bootEpoch": ep.epoch, "next": next, "lost": lost, "clock_ms": time.Now().UnixMilli(), "events": events,
	})
}

func (ep *Endpoint) list(w http.ResponseWriter) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	held := [][]any{}
	for _, kp := range ep.kept {
		held = append(held, []any{kp.salt, kp.id, kp.tokens, "model"})
	}
	answer(w, http.StatusOK, map[string]any{
		"bootEpoch": ep.epoch, "next": len(ep.kept), "clock_ms": time.Now().UnixMilli(), "held": held, "partial": [][]any{},
	})
}

func (ep *Endpoint) free(w http.ResponseWriter, rq *http.Request) {
	var in struct {
		Parts     [][2]string `json:"parts"`
		BootEpoch uint64      `json:"bootEpoch"`
		UntilMs   int64       `json:"until_ms"`
	}
	if json.NewDecoder(rq.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if in.BootEpoch != ep.epoch || in.UntilMs < time.Now().UnixMilli() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	gone := make(map[string]bool)
	for _, pt := range in.Parts {
		gone[strings.Join(pt[:], "/")] = true
	}
	var kept []keptPart
	for _, kp := range ep.kept {
		if !gone[kp.salt+"/"+kp.id] {
			kept = append(kept, kp)
		}
	}
	ep.kept = kept
	w.WriteHeader(http.StatusOK)
}
