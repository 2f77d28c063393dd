// Package plain emulates a plain service, some of whose calls must not be retried.
package plain

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

type (
	// Service counts runs by idempotency key. It does not deduplicate: a second call with the same key
	// is a second run. It is safe for concurrent use.
	Service struct {
		mu         sync.Mutex
		runCounts  map[string]int
		lastNumber int
	}

	receipt struct {
		Number int    `json:"number"`
		Key    string `json:"key"`
	}
)

// New returns a service without runs.
func New() *Service {
	return &Service{runCounts: make(map[string]int)}
}

// RecordRun counts a run of key and returns its number among all runs.
func (sv *Service) RecordRun(key string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.lastNumber++
	sv.runCounts[key]++
	return sv.lastNumber
}

// RunCount returns the number of runs of key.
func (sv *Service) RunCount(key string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.runCounts[key]
}

// MaxRunCount returns the highest number of runs of any key, and the number of keys.
func (sv *Service) MaxRunCount() (maxRuns, keys int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, n := range sv.runCounts {
		maxRuns = max(maxRuns, n)
	}
	return maxRuns, len(sv.runCounts)
}

// Handle returns the number of runs at /runs/KEY and a constant at /stock, and counts a run on POST to
// any other path.
func (sv *Service) Handle(fc *fasthttp.RequestCtx) {
	path := string(fc.Path())
	switch {
	case strings.HasPrefix(path, "/runs/"):
		fc.SetBodyString(strconv.Itoa(sv.RunCount(strings.TrimPrefix(path, "/runs/"))))
	case path == "/stock":
		fc.SetBodyString(`{"stock":12}`)
	case fc.IsPost():
		key := string(fc.Request.Header.Peek("Idempotency-Key"))
		data, err := json.Marshal(receipt{Number: sv.RecordRun(key), Key: key})
		if err != nil {
			fc.Error(err.Error(), http.StatusInternalServerError)
			return
		}
		fc.Response.Header.SetContentType("application/json")
		fc.SetBody(data)
	default:
		fc.SetStatusCode(http.StatusNotFound)
	}
}
