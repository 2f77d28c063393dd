package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/programs/load/order"
)

const (
	// workerEvents is the number of events of a worker's stream, and workerPause the time between two.
	workerEvents = 12
	workerPause  = 100 * time.Millisecond
	// leaveInterval is the mean number of tries of which a client breaks one off.
	leaveInterval = 4
	// retryPause is the pause of a client before it takes a stream up.
	retryPause = 50 * time.Millisecond
	// allowedJoined is the number of streams with events of two software versions that the rule allows.
	allowedJoined = 2
	// maxFaceFindings bounds the number of findings of each face in the report; the tally has all.
	maxFaceFindings = 4
	joinedVersions  = "joined-versions"
)

// workerRoutes are the routes of requests beside workers, each as often as it is used.
var workerRoutes = []string{"pay", "look", "note", "query", "query", "query", "query", "query", "query", "query"}

// receiveStream asks for a stream, and takes it up at any host, up to maxTakeUps times, when it breaks off or the client has
// broken it off.
func (ch *checker) receiveStream(tr *http.Transport, rd *rand.Rand, ho *process, route string) {
	st := order.Stream{EventCount: workerEvents, Resumable: route == "query"}
	events, last, team := 0, ho, ch.testbed.teams.pick(rd)
	for range 1 + maxTakeUps {
		try, status := ch.try(tr, rd, ho, route, team, st.ID, events)
		if st.ID == "" {
			st.ID = try.ID
		}
		st.Tries = append(st.Tries, try)
		ch.tally.addTry(len(st.Tries) > 1, status, order.CountEvents(try.Body), try.Complete)
		events += order.CountEvents(try.Body)
		if try.Complete || events == 0 || events >= workerEvents || !st.Resumable {
			break
		}
		time.Sleep(retryPause)
		if ho = last; rd.Intn(2) == 0 {
			ho = ch.testbed.hosts[rd.Intn(len(ch.testbed.hosts))]
		}
	}
	if events == 0 {
		time.Sleep(retryPause)
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.streams = append(ch.streams, st)
}

// try sends one request for a stream, or for what follows its first events, and may break it off.
func (ch *checker) try(tr *http.Transport, rd *rand.Rand, ho *process, route, team, firstID string, events int) (try order.Try, status int) {
	id := ch.nextID()
	timeout := requestTimeout
	if rd.Intn(leaveInterval) == 0 {
		timeout = workerPause + time.Duration(rd.Int63n(int64(workerEvents*workerPause)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq := site.Request{
		ID: id, Method: http.MethodPost, URI: "/" + route + "/1", Body: bodyOf(cmp.Or(firstID, id)), Timeout: routeTimeout, Model: site.Model,
	}
	if firstID != "" {
		rq.Header = map[string]string{"Last-Event-Id": fmt.Sprint(events), "Resumes": firstID}
	}
	if team != "" {
		rq.Header = withKey(rq.Header, team)
	}
	wasOld := ho.isOld()
	rp := site.Send(ctx, tr, ho.clientAddress(), rq)
	try = order.Try{ID: id, LastEventID: events, ByOldBuild: wasOld && ho.isOld()}
	if rp.Status == http.StatusOK {
		try.Body, try.Complete = rp.Body, rp.Complete
	}
	re := result{route: route, status: rp.Status, body: rp.Body, sealed: rp.Sealed(), complete: rp.Complete, team: team}
	ch.mu.Lock()
	ch.results[id] = re
	ch.statusCounts[fmt.Sprint(re.status)]++
	ch.mu.Unlock()
	ch.checkResponse(id, re)
	return try, rp.Status
}

// judgeStreams checks all streams for each face of ORDER. Streams that hosts of the old build alone have answered are counted apart.
func (ch *checker) judgeStreams() {
	ch.mu.Lock()
	streams := ch.streams
	ch.mu.Unlock()
	faces := []struct {
		name    string
		judge   func(order.Stream) []string
		allowed int
	}{
		{"missing", order.Missing, 0},
		{"twice", order.Twice, 0},
		{"joined-runs", order.JoinedRuns, 0},
		{joinedVersions, order.JoinedVersions, allowedJoined},
		{"early", order.Early, 0},
	}
	for _, fa := range faces {
		var found []string
		for _, st := range streams {
			texts := fa.judge(st)
			if len(texts) == 0 {
				continue
			}
			ch.tally.addFace(fa.name, st.IsByOldBuild())
			if fa.name == joinedVersions && st.IsAnyTry(fa.judge) {
				// Hosts have joined them by themselves; over tries a client took part.
				ch.tally.addFace(joinedVersions+"-in-one-answer", st.IsByOldBuild())
			}
			if !st.IsByOldBuild() {
				found = append(found, texts[0])
			}
		}
		if len(found) > fa.allowed {
			for _, text := range found[:min(len(found), maxFaceFindings)] {
				ch.addFinding("%s: %s", fa.name, text)
			}
		}
	}
}
