package site

import (
	"encoding/json"
	"net/http"
	"time"
)

func (ep *Endpoint) handleReport(w http.ResponseWriter, rq *http.Request) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.reportCount++
	if expected := rq.Header.Get("X-Expect-Instance"); expected != "" && expected != ep.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "busy": false, "seq": len(ep.orders), "born": ep.startTimeMs,
		"models": []map[string]any{{"name": ep.opts.Model, "version": ep.weightVersion, "adapters": []string{}}},
	})
}

// handleOrder switches to another weight version. It refuses an order for another endpoint, or one
// whose expected sequence number is not the number of orders accepted so far.
func (ep *Endpoint) handleOrder(w http.ResponseWriter, rq *http.Request) {
	var od WeightOrder
	if json.NewDecoder(rq.Body).Decode(&od) != nil || od.Holder == "" || od.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	switch {
	case rq.Header.Get("X-Expect-Instance") != ep.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case od.Expected != uint64(len(ep.orders)):
		w.WriteHeader(http.StatusConflict)
	case od.Version == ep.weightVersion:
		w.WriteHeader(http.StatusOK)
	default:
		od.AcceptedAt = time.Now()
		ep.orders = append(ep.orders, od)
		ep.weightVersion = od.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// ReportCount returns the number of calls that asked the endpoint for its state.
func (ep *Endpoint) ReportCount() int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.reportCount
}
