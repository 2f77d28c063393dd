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
	clientPause    = 15 * time.Millisecond
	requestTimeout = 5 * time.Second
	// maxFindings bounds the number of findings in the report.
	maxFindings = 20
)

type (
	// checker sends requests as clients do, and checks the responses and the requests that endpoints executed.
	checker struct {
		testbed *testbed

		mu           sync.Mutex
		requestCount int
		results      map[string]result
		statusCounts map[string]int
		findings     []string
	}

	// result is the response to one request, as the client received it.
	result struct {
		route string
		// status is 0 if there was no response.
		status int
		body   string
		// sealed reports that the endpoint has confirmed the response.
		sealed bool
		// complete reports that the body was read to its end without an error.
		complete bool
	}
)

func newChecker(tb *testbed) *checker {
	return &checker{testbed: tb, results: make(map[string]result), statusCounts: make(map[string]int)}
}

// addFinding records a violation; findings beyond maxFindings are dropped.
func (ch *checker) addFinding(format string, args ...any) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if len(ch.findings) < maxFindings {
		ch.findings = append(ch.findings, fmt.Sprintf(format, args...))
	}
}

// runClient sends requests one at a time until ctx is done. It reuses its connections as long as their host keeps
// them open.
func (ch *checker) runClient(ctx context.Context, rd *rand.Rand) {
	tr := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer tr.CloseIdleConnections()
	routes := []string{"pay", "look", "note", "query"}
	for ctx.Err() == nil {
		ho := ch.testbed.hosts[rd.Intn(len(ch.testbed.hosts))]
		ch.send(tr, ho, routes[rd.Intn(len(routes))], rd.Intn(20) == 0)
		select {
		case <-ctx.Done():
		case <-time.After(clientPause):
		}
	}
}

// send sends one request to a host and checks the response. With disconnects, the client gives up after 60 ms.
func (ch *checker) send(tr *http.Transport, ho *process, route string, disconnects bool) result {
	ch.mu.Lock()
	ch.requestCount++
	id := fmt.Sprintf("soak-%d", ch.requestCount)
	ch.mu.Unlock()
	timeout := requestTimeout
	if disconnects {
		timeout = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq := site.Request{
		ID: id, Method: http.MethodPost, URI: "/" + route + "/1", Body: bytes.Repeat([]byte("b"), 3000), Timeout: routeTimeout,
	}
	if route == "look" {
		rq.Method, rq.Body = http.MethodGet, nil
	}
	if route == "note" || route == "query" {
		rq.Model = site.Model
	}
	rp := site.Send(ctx, tr, ho.listenAddress, rq)
	re := result{route: route, status: rp.Status, body: rp.Body, sealed: rp.Sealed(), complete: rp.Complete}
	ch.mu.Lock()
	ch.results[id] = re
	ch.statusCounts[fmt.Sprint(re.status)]++
	ch.mu.Unlock()
	ch.checkResponse(id, re)
	return re
}

// checkResponse checks that a successful response is confirmed by the endpoint and has the expected body, or a
// prefix of it for a broken stream.
func (ch *checker) checkResponse(id string, re result) {
	if re.status != http.StatusOK {
		return
	}
	if !re.sealed {
		ch.addFinding("%s %s: a success without the endpoint's confirmation", re.route, id)
	}
	if re.route == "pay" || re.route == "look" {
		if re.complete && re.body != "body of "+id {
			ch.addFinding("%s %s: got %q", re.route, id, re.body)
		}
		return
	}
	var want strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&want, "id: %d\ndata: %s event %d\n\n", i+1, id, i+1)
	}
	if re.complete && re.body != want.String() && re.body != "body of "+id {
		ch.addFinding("%s %s: a complete stream is %q", re.route, id, re.body)
	}
	if !strings.HasPrefix(want.String(), re.body) && !strings.HasPrefix("body of "+id, re.body) {
		ch.addFinding("%s %s: a stream began with %q", re.route, id, re.body)
	}
}

// awaitRecovery waits up to recoveryTimeout until all hosts are ready, and then up to the same time until each of them
// serves each route again.
func (ch *checker) awaitRecovery(ctx context.Context) error {
	if err := ch.testbed.awaitReady(ctx, recoveryTimeout); err != nil {
		return err
	}
	tr := &http.Transport{DisableKeepAlives: true}
	deadline := time.Now().Add(recoveryTimeout)
	for _, ho := range ch.testbed.hosts {
		for _, route := range []string{"pay", "look", "note", "query"} {
			for {
				if re := ch.send(tr, ho, route, false); re.status == http.StatusOK && re.complete {
					break
				} else if time.Now().After(deadline) {
					return fmt.Errorf("%s answers %s with %d", ho.name, route, re.status)
				}
			}
		}
	}
	return nil
}

// checkExecutions checks, after all clients have ended, which requests the endpoints executed: with the right team,
// no more often than the kind of their route allows, and none that was refused or never sent.
func (ch *checker) checkExecutions() {
	runs := make(map[string][]site.RecordedRequest)
	for _, ep := range append(slices.Clone(ch.testbed.engines), ch.testbed.services...) {
		for _, rr := range ep.RecordedRequests() {
			runs[rr.ID] = append(runs[rr.ID], rr)
			if team, key := rr.TeamAndKey(); team != site.Team || key != "" {
				ch.addFinding("%s (%s) ran for team %q with key %q", rr.ID, rr.URI, team, key)
			}
		}
	}
	for id, executions := range runs {
		re, ok := ch.results[id]
		switch {
		case !ok:
			ch.addFinding("%s (%s) ran and was never sent", id, executions[0].URI)
		case (re.route == "pay" || re.route == "note") && len(executions) > 1:
			ch.addFinding("%s %s ran %d times", re.route, id, len(executions))
		case len(executions) > 2:
			ch.addFinding("%s %s ran %d times on a route with two attempts", re.route, id, len(executions))
		case re.status == http.StatusServiceUnavailable || re.status == http.StatusTooManyRequests:
			ch.addFinding("%s %s was refused with %d and ran", re.route, id, re.status)
		}
	}
	ch.checkOrders()
}

// checkOrders checks that only one host at a time orders engines to load weights: fencing tokens never decrease on
// an engine, two hosts never share one, and another host waits for the lease of the previous one to expire.
func (ch *checker) checkOrders() {
	var orders []site.WeightOrder
	for _, ep := range ch.testbed.engines {
		list := ep.Orders()
		for i := 1; i < len(list); i++ {
			if list[i].Fence < list[i-1].Fence {
				ch.addFinding("an engine took an order with fence %d after one with %d", list[i].Fence, list[i-1].Fence)
			}
		}
		orders = append(orders, list...)
	}
	slices.SortFunc(orders, func(a, b site.WeightOrder) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
	for i := 1; i < len(orders); i++ {
		a, b := orders[i-1], orders[i]
		if a.Holder != b.Holder && b.AcceptedAt.Sub(a.AcceptedAt) < leaseMs*time.Millisecond {
			ch.addFinding("%s gave an order %v after %s", b.Holder, b.AcceptedAt.Sub(a.AcceptedAt), a.Holder)
		}
		if a.Holder != b.Holder && a.Fence == b.Fence {
			ch.addFinding("%s and %s gave orders with fence %d", a.Holder, b.Holder, a.Fence)
		}
	}
}

// summary returns the number of requests, and as text their number by status.
func (ch *checker) summary() (total int, statuses string) {
	var out []string
	for status, n := range ch.statusCounts {
		total += n
		if status == "0" {
			status = "no answer"
		}
		out = append(out, fmt.Sprintf("%s: %d", status, n))
	}
	slices.Sort(out)
	return total, strings.Join(out, ", ")
}
