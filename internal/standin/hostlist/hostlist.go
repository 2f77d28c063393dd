// Package hostlist emulates the platform's list of live and leaving hosts, which lags behind changes.
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

// List holds the visible list and a change that becomes visible after the lag. It is safe for
// concurrent use.
type List struct {
	clk clock.Clock
	lag time.Duration

	mu        sync.Mutex
	visible   []keyvalue.ListedHost
	pending   []keyvalue.ListedHost
	changedAt time.Time
}

// New returns an empty list whose changes become visible after lag.
func New(clk clock.Clock, lag time.Duration) *List {
	return &List{clk: clk, lag: lag}
}

// Set replaces the list after the lag. It discards an earlier change that is still pending.
func (li *List) Set(hosts []keyvalue.ListedHost) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.pending, li.changedAt = hosts, li.clk.Now()
}

// Hosts returns the visible list.
func (li *List) Hosts() []keyvalue.ListedHost {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.pending != nil && li.clk.Now().Sub(li.changedAt) >= li.lag {
		li.visible, li.pending = li.pending, nil
	}
	return li.visible
}

// Handle returns the visible list, and replaces the list on POST.
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
