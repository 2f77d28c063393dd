// Package plain is a stand-in for a plain service, some of whose calls may not be repeated.
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
	// Service records each run. It never recognises a key: a second call is a second run. It is
	// safe for concurrent use.
	Service struct {
		mu   sync.Mutex
		runs map[string]int
		next int
	}

	receipt struct {
		Number int    `json:"number"`
		Key    string `json:"key"`
	}
)

// New returns a service that has run nothing.
func New() *Service {
	return &Service{runs: make(map[string]int)}
}

// Run records a run and returns its number.
func (sv *Service) Run(key string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.next++
	sv.runs[key]++
	return sv.next
}

// Runs returns how often a key has run.
func (sv *Service) Runs(key string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.runs[key]
}

// Most returns how often the key with the most runs has run, and how many keys have run.
func (sv *Service) Most() (most, keys int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, n := range sv.runs {
		most = max(most, n)
	}
	return most, len(sv.runs)
}

// Handle serves GET /runs/KEY, GET /stock, and POST of anything else as a run.
func (sv *Service) Handle(fc *fasthttp.RequestCtx) {
	path := string(fc.Path())
	switch {
	case strings.HasPrefix(path, "/runs/"):
		fc.SetBodyString(strconv.Itoa(sv.Runs(strings.TrimPrefix(path, "/runs/"))))
	case path == "/stock":
		fc.SetBodyString(`{"stock":12}`)
	case fc.IsPost():
		key := string(fc.Request.Header.Peek("Idempotency-Key"))
		data, err := json.Marshal(receipt{Number: sv.Run(key), Key: key})
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
