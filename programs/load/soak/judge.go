package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	// clientPause is the pause between two requests of a client.
	clientPause = 15 * time.Millisecond
	clientLimit = 5 * time.Second
	// findingsMost bounds the findings that are listed.
	findingsMost = 20
)

type (
	// judge sends requests and checks what came of them.
	judge struct {
		world *world

		mu       sync.Mutex
		number   int
		results  map[string]result
		ends     map[string]int
		findings []string
	}

	result struct {
		route    string
		status   int
		body     string
		sealed   bool
		complete bool
	}
)

func newJudge(wo *world) *judge {
	return &judge{world: wo, results: make(map[string]result), ends: make(map[string]int)}
}

func (ju *judge) find(format string, args ...any) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	if len(ju.findings) < findingsMost {
		ju.findings = append(ju.findings, fmt.Sprintf(format, args...))
	}
}

// client sends requests one after the other until ctx ends. It keeps its connections while their
// host lives.
func (ju *judge) client(ctx context.Context, rd *rand.Rand) {
	tr := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer tr.CloseIdleConnections()
	routes := []string{"pay", "look", "note", "query"}
	for ctx.Err() == nil {
		ho := ju.world.hosts[rd.Intn(len(ju.world.hosts))]
		ju.send(tr, ho, routes[rd.Intn(len(routes))], rd.Intn(20) == 0)
		select {
		case <-ctx.Done():
		case <-time.After(clientPause):
		}
	}
}

// send sends one request. Clients that leave give up after a moment.
func (ju *judge) send(tr *http.Transport, ho *process, route string, leaves bool) result {
	ju.mu.Lock()
	ju.number++
	id := fmt.Sprintf("soak-%d", ju.number)
	ju.mu.Unlock()
	limit := clientLimit
	if leaves {
		limit = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	rq := site.Request{
		ID: id, Method: http.MethodPost, URI: "/" + route + "/1", Body: bytes.Repeat([]byte("b"), 3000), Limit: routeTimeout,
	}
	if route == "look" {
		rq.Method, rq.Body = http.MethodGet, nil
	}
	if route == "note" || route == "query" {
		rq.Model = site.Model
	}
	rp := site.Send(ctx, tr, ho.listen, rq)
	re := result{route: route, status: rp.Status, body: rp.Body, sealed: rp.Sealed(), complete: rp.Complete}
	ju.mu.Lock()
	ju.results[id] = re
	ju.ends[fmt.Sprint(re.status)]++
	ju.mu.Unlock()
	ju.check(id, re)
	return re
}

// check judges what a client got.
func (ju *judge) check(id string, re result) {
	if re.status != http.StatusOK {
		return
	}
	if !re.sealed {
		ju.find("%s %s: a success without the endpoint's confirmation", re.route, id)
	}
	if re.route == "pay" || re.route == "look" {
		if re.complete && re.body != "body of "+id {
			ju.find("%s %s: got %q", re.route, id, re.body)
		}
		return
	}
	var want strings.Builder
	for i := range events {
		fmt.Fprintf(&want, "id: %d\ndata: %s event %d\n\n", i+1, id, i+1)
	}
	if re.complete && re.body != want.String() && re.body != "body of "+id {
		ju.find("%s %s: a complete stream is %q", re.route, id, re.body)
	}
	if !strings.HasPrefix(want.String(), re.body) && !strings.HasPrefix("body of "+id, re.body) {
		ju.find("%s %s: a stream began with %q", re.route, id, re.body)
	}
}

// recovered waits until each host serves each route again.
func (ju *judge) recovered(ctx context.Context) error {
	if err := ju.world.await(ctx, settle); err != nil {
		return err
	}
	tr := &http.Transport{DisableKeepAlives: true}
	deadline := time.Now().Add(settle)
	for _, ho := range ju.world.hosts {
		for _, route := range []string{"pay", "look", "note", "query"} {
			for {
				if re := ju.send(tr, ho, route, false); re.status == http.StatusOK && re.complete {
					break
				} else if time.Now().After(deadline) {
					return fmt.Errorf("%s answers %s with %d", ho.name, route, re.status)
				}
			}
		}
	}
	return nil
}

// settle judges what endpoints saw, once all is over.
func (ju *judge) settle() {
	runs := make(map[string][]site.Run)
	for _, ep := range append(slices.Clone(ju.world.engines), ju.world.plain...) {
		for _, ru := range ep.Runs() {
			runs[ru.ID] = append(runs[ru.ID], ru)
			if team, key := ru.TeamOf(); team != site.Team || key != "" {
				ju.find("%s (%s) ran for team %q with key %q", ru.ID, ru.URI, team, key)
			}
		}
	}
	for id, list := range runs {
		re, ok := ju.results[id]
		switch {
		case !ok:
			ju.find("%s (%s) ran and was never sent", id, list[0].URI)
		case (re.route == "pay" || re.route == "note") && len(list) > 1:
			ju.find("%s %s ran %d times", re.route, id, len(list))
		case len(list) > 2:
			ju.find("%s %s ran %d times on a route with two attempts", re.route, id, len(list))
		case re.status == http.StatusServiceUnavailable || re.status == http.StatusTooManyRequests:
			ju.find("%s %s was refused with %d and ran", re.route, id, re.status)
		}
	}
	ju.orders()
}

// orders judges whether one host at a time gave orders.
func (ju *judge) orders() {
	var all []site.Order
	for _, ep := range ju.world.engines {
		list := ep.Orders()
		for i := 1; i < len(list); i++ {
			if list[i].Fence < list[i-1].Fence {
				ju.find("an engine took an order with fence %d after one with %d", list[i].Fence, list[i-1].Fence)
			}
		}
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b site.Order) int { return a.At.Compare(b.At) })
	for i := 1; i < len(all); i++ {
		a, b := all[i-1], all[i]
		if a.Holder != b.Holder && b.At.Sub(a.At) < leaseMs*time.Millisecond {
			ju.find("%s gave an order %v after %s", b.Holder, b.At.Sub(a.At), a.Holder)
		}
		if a.Holder != b.Holder && a.Fence == b.Fence {
			ju.find("%s and %s gave orders with fence %d", a.Holder, b.Holder, a.Fence)
		}
	}
}

func (ju *judge) summary() (total int, kinds string) {
	var out []string
	for status, n := range ju.ends {
		total += n
		if status == "0" {
			status = "no answer"
		}
		out = append(out, fmt.Sprintf("%s: %d", status, n))
	}
	slices.Sort(out)
	return total, strings.Join(out, ", ")
}
