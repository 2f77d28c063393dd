// Package hostlist is a stand-in for the platform's lagging list of live and leaving hosts.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

// List shows a change only after its lag. It is safe for concurrent use.
type List struct {
	clk clock.Clock
	lag time.Duration

	mu      sync.Mutex
	shown   []keyvalue.ListedHost
	pending []keyvalue.ListedHost
	since   time.Time
}

// New returns an empty list.
func New(clk clock.Clock, lag time.Duration) *List {
	return &List{clk: clk, lag: lag}
}

// Set replaces the list; the change is shown after the lag.
func (li *List) Set(hosts []keyvalue.ListedHost) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.pending, li.since = hosts, li.clk.Now()
}

// Hosts returns the list as it is shown now.
func (li *List) Hosts() []keyvalue.ListedHost {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.pending != nil && li.clk.Now().Sub(li.since) >= li.lag {
		li.shown, li.pending = li.pending, nil
	}
	return li.shown
}

// Handle serves GET /v1/hosts and takes a new list by POST.
func (li *List) Handle(fc *fasthttp.RequestCtx) {
	if fc.IsPost() {
		var hosts []keyvalue.ListedHost
		if err := json.Unmarshal(fc.PostBody(), &hosts); err != nil {
			fc.Error(err.Error(), http.StatusBadRequest)
			return
		}
		li.Set(hosts)
		return
	}
	hosts := li.Hosts()
	if hosts == nil {
		hosts = []keyvalue.ListedHost{}
	}
	data, err := json.Marshal(hosts)
	if err != nil {
		fc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	fc.SetBody(data)
}
