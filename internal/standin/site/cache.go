package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// AddCachePart adds a part to the cache store.
func (ep *Endpoint) AddCachePart(salt, id string, tokens int) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.parts = append(ep.parts, cachePart{salt: salt, id: id, tokens: tokens})
}

// CachePartCount returns the number of parts in the cache store.
func (ep *Endpoint) CachePartCount() int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return len(ep.parts)
}

// handleEvents returns the parts added after the requested number of events. If there are none and none are
// lost, it responds after 50 ms. It reports lost events unless the client starts from zero or has read all events.
func (ep *Endpoint) handleEvents(w http.ResponseWriter, rq *http.Request) {
	since, err := strconv.Atoi(rq.URL.Query().Get("since"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ep.mu.Lock()
	lost := since > 0 && since != len(ep.parts)
	next, epoch := len(ep.parts), ep.bootEpoch
	var events [][]any
	for i, cp := range ep.parts {
		if i >= since {
			events = append(events, []any{i + 1, "+", cp.salt, cp.id, cp.tokens, "model"})
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
	writeJSON(w, http.StatusOK, map[string]any{
		"bootEpoch": epoch, "next": next, "lost": lost, "clock_ms": time.Now().UnixMilli(), "events": events,
	})
}

// handleList returns all parts, and the number from which a client continues with handleEvents.
func (ep *Endpoint) handleList(w http.ResponseWriter) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	held := [][]any{}
	for _, cp := range ep.parts {
		held = append(held, []any{cp.salt, cp.id, cp.tokens, "model"})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"bootEpoch": ep.bootEpoch, "next": len(ep.parts), "clock_ms": time.Now().UnixMilli(), "held": held, "partial": [][]any{},
	})
}

// handleFree removes parts, unless the request names another boot epoch or its deadline has passed.
func (ep *Endpoint) handleFree(w http.ResponseWriter, rq *http.Request) {
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
	if in.BootEpoch != ep.bootEpoch || in.UntilMs < time.Now().UnixMilli() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	freed := make(map[string]bool)
	for _, pt := range in.Parts {
		freed[strings.Join(pt[:], "/")] = true
	}
	var remaining []cachePart
	for _, cp := range ep.parts {
		if !freed[cp.salt+"/"+cp.id] {
			remaining = append(remaining, cp)
		}
	}
	ep.parts = remaining
	w.WriteHeader(http.StatusOK)
}
