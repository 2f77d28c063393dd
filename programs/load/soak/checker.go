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
	"github.com/bergamotway/bergamotway/programs/load/order"
)

const (
	// clientPause is the pause between two requests of a client.
	clientPause    = 15 * time.Millisecond
	requestTimeout = 5 * time.Second
	// maxFindings bounds the number of findings in the report.
	maxFindings = 20
	// bodyBytes is the length of a body without its identifier.
	bodyBytes = 3000
	// maxTakeUps is how often a client takes up a stream that breaks off.
	maxTakeUps = 3
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
		// streams are those that clients received from workers.
		streams []order.Stream
		tally   tally
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
		// byOldBuild reports that a host of the old build answered.
		byOldBuild bool
		// team is the team that sent the request; empty means site.Team.
		team string
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
	if ch.testbed.opts.hasWorkers() {
		routes = workerRoutes
	}
	for ctx.Err() == nil {
		ho := ch.testbed.hosts[rd.Intn(len(ch.testbed.hosts))]
		route := routes[rd.Intn(len(routes))]
		if ch.testbed.opts.hasWorkers() && (route == "query" || route == "note") {
			ch.receiveStream(tr, rd, ho, route)
			continue
		}
		id, re := ch.send(tr, ho, route, rd.Intn(20) == 0)
		if route == "query" && !re.complete {
			ch.takeUp(tr, rd, id, re.body)
		}
		select {
		case <-ctx.Done():
		case <-time.After(clientPause):
		}
	}
}

// send sends one request to a host and checks the response. With disconnects, the client gives up after 60 ms.
func (ch *checker) send(tr *http.Transport, ho *process, route string, disconnects bool) (id string, re result) {
	id = ch.nextID()
	timeout := requestTimeout
	if disconnects {
		timeout = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq := site.Request{
		ID: id, Method: http.MethodPost, URI: "/" + route + "/1", Body: bodyOf(id), Timeout: routeTimeout,
	}
	if route == "look" {
		rq.Method, rq.Body = http.MethodGet, nil
	}
	if route == "note" || route == "query" {
		rq.Model = site.Model
	}
	wasOld := ho.isOld()
	rp := site.Send(ctx, tr, ho.clientAddress(), rq)
	re = result{
		route: route, status: rp.Status, body: rp.Body, sealed: rp.Sealed(), complete: rp.Complete, byOldBuild: wasOld && ho.isOld(),
	}
	ch.mu.Lock()
	ch.results[id] = re
	ch.statusCounts[fmt.Sprint(re.status)]++
	ch.mu.Unlock()
	ch.checkResponse(id, re)
	return id, re
}

// bodyOf returns the body of a request, which is also that of those that take its stream up. Equal bodies would be blamed together
// for endpoints that are killed under them.
func bodyOf(id string) []byte { return append([]byte(id), bytes.Repeat([]byte("b"), bodyBytes)...) }

func (ch *checker) nextID() string {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.requestCount++
	return fmt.Sprintf("soak-%d", ch.requestCount)
}

// takeUp resumes a stream that broke off, at any host, until it is complete or several tries have failed. All of its events must
// come from the software version that wrote the first one.
func (ch *checker) takeUp(tr *http.Transport, rd *rand.Rand, firstID, received string) {
	events := strings.Count(received, "\n\n")
	if events == 0 {
		return
	}
	software := softwareOf(received)
	for range maxTakeUps {
		id := ch.nextID()
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		ho := ch.testbed.hosts[rd.Intn(len(ch.testbed.hosts))]
		rp := site.Send(ctx, tr, ho.clientAddress(), site.Request{
			ID: id, Method: http.MethodPost, URI: "/query/1", Body: bodyOf(firstID), Timeout: routeTimeout, Model: site.Model,
			Header: map[string]string{"Last-Event-Id": fmt.Sprint(events), "Resumes": firstID},
		})
		cancel()
		ch.mu.Lock()
		ch.results[id] = result{route: "query", status: rp.Status, body: rp.Body}
		ch.statusCounts[fmt.Sprint("taken up ", rp.Status)]++
		ch.mu.Unlock()
		if rp.Status != http.StatusOK {
			continue
		}
		if got := softwareOf(rp.Body); len(got) > 0 && !slices.Equal(got, software) {
			ch.addFinding("query %s: began at %v and goes on at %v as %s", firstID, software, got, id)
		}
		if !strings.HasPrefix(rp.Body, fmt.Sprintf("id: %d\n", events+1)) && rp.Body != "" {
			ch.addFinding("query %s: goes on after event %d with %q", firstID, events, rp.Body)
		}
		if events += strings.Count(rp.Body, "\n\n"); rp.Complete {
			return
		}
	}
}

// softwareOf returns the software versions that wrote the events of a text, sorted.
func softwareOf(text string) []string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		if _, version, ok := strings.Cut(line, " of "); ok && strings.HasPrefix(line, "data: ") && !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
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
		if order.EarlyBody(re.body, "body of "+id, re.complete) {
			ch.tally.addFace("early-body", re.byOldBuild)
			if !re.byOldBuild {
				ch.addFinding("%s %s: got %q", re.route, id, re.body)
			}
		}
		return
	}
	if ch.testbed.opts.hasWorkers() {
		return
	}
	isWhole, isPrefix := re.body == "body of "+id, strings.HasPrefix("body of "+id, re.body)
	for _, software := range softwareVersions {
		var want strings.Builder
		for i := range streamEvents {
			fmt.Fprintf(&want, "id: %d\ndata: %s event %d of %s\n\n", i+1, id, i+1, software)
		}
		isWhole = isWhole || re.body == want.String()
		isPrefix = isPrefix || strings.HasPrefix(want.String(), re.body)
	}
	if re.complete && !isWhole {
		ch.addFinding("%s %s: a complete stream is %q", re.route, id, re.body)
	}
	if !isPrefix {
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
				if _, re := ch.send(tr, ho, route, false); re.status == http.StatusOK && re.complete {
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
			ch.checkTeam(rr)
		}
	}
	for _, st := range ch.testbed.allStarts() {
		st.mu.Lock()
		for _, rr := range st.requests {
			// A worker that ended in the middle of a run does not count against the attempts of a stream that may be resumed.
			if !st.killed || st.ended[rr.ID] || !strings.HasPrefix(rr.URI, "/query/") {
				runs[rr.ID] = append(runs[rr.ID], rr)
			}
			ch.checkTeam(rr)
		}
		st.mu.Unlock()
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

// checkTeam checks that a run is for the team of its request, and that the endpoint has not received the API key.
func (ch *checker) checkTeam(rr site.RecordedRequest) {
	want := site.Team
	if re, ok := ch.results[rr.ID]; ok && re.team != "" {
		want = re.team
	}
	if team, key := rr.TeamAndKey(); team != want || key != "" {
		ch.addFinding("%s (%s) ran for team %q with key %q", rr.ID, rr.URI, team, key)
	}
}

// checkOrders checks that only one host at a time orders engines to load weights: fencing tokens never decrease on
// an engine, two hosts never share one, and another host waits for the lease of the previous one to expire.
func (ch *checker) checkOrders() {
	var (
		orders []site.WeightOrder
		lists  [][]site.WeightOrder
	)
	for _, ep := range ch.testbed.engines {
		lists = append(lists, ep.Orders())
	}
	for _, st := range ch.testbed.allStarts() {
		st.mu.Lock()
		lists = append(lists, st.orders)
		st.mu.Unlock()
	}
	for _, list := range lists {
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
