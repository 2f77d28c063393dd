package admission_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

func request(class, team string, priority int) admission.Request {
	return admission.Request{Class: class, Team: team, Priority: priority, QueueLimit: 100, Patience: time.Minute}
}

// serveAll sends one request for each and returns the order in which they got a place.
func serveAll(t *testing.T, ga *admission.Gate, reqs []admission.Request) []string {
	t.Helper()
	var mu sync.Mutex
	var order []string
	var wg sync.WaitGroup
	for _, rq := range reqs {
		wg.Go(func() {
			leave, err := ga.Enter(context.Background(), rq)
			if err != nil {
				return
			}
			mu.Lock()
			order = append(order, rq.Team)
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			leave()
		})
		synctest.Wait()
	}
	wg.Wait()
	return order
}

// TestLargeTeamDoesNotStarveASmallOne queues many requests of one team before one of another.
func TestLargeTeamDoesNotStarveASmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := admission.NewGate(clock.System(), 2)
		var reqs []admission.Request
		for range 20 {
			reqs = append(reqs, request("crew", "large", 0))
		}
		reqs = append(reqs, request("crew", "small", 0))
		order := serveAll(t, ga, reqs)
		require.Len(t, order, 21)
		require.Contains(t, order[:4], "small")
		require.Zero(t, ga.Running())
	})
}

func TestTightClassGoesFirstAndLooseOneIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := admission.NewGate(clock.System(), 1)
		var reqs []admission.Request
		for i := range 5 {
			reqs = append(reqs, request("draft", fmt.Sprint("draft", i), 5))
		}
		for i := range 200 {
			reqs = append(reqs, request("crew", fmt.Sprint("crew", i), 0))
		}
		order := serveAll(t, ga, reqs)
		require.Contains(t, order[1], "crew", "a tight class goes before drafts that came first")
		at := -1
		for i, team := range order {
			if team == "draft4" {
				at = i
			}
		}
		require.Greater(t, at, 0)
		require.Less(t, at, 130, "a draft is not starved")
	})
}

func TestQueueRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := admission.NewGate(clock.System(), 1)
		leave, err := ga.Enter(context.Background(), request("crew", "a", 0))
		require.NoError(t, err)
		rq := request("crew", "a", 0)
		rq.QueueLimit, rq.Patience = 2, time.Second
		done := make(chan error, 2)
		go func() {
			_, err := ga.Enter(context.Background(), rq)
			done <- err
		}()
		synctest.Wait()
		_, err = ga.Enter(context.Background(), rq)
		require.Equal(t, refusal.TeamLimit, refusal.From(err, refusal.NotRun).Code())
		rq.Team = "b"
		go func() {
			_, err := ga.Enter(context.Background(), rq)
			done <- err
		}()
		synctest.Wait()
		_, err = ga.Enter(context.Background(), rq)
		re := refusal.From(err, refusal.NotRun)
		require.Equal(t, refusal.QueueFull, re.Code())
		require.Equal(t, time.Second, re.RetryAfter())
		for range 2 {
			require.Equal(t, refusal.QueueDeadline, refusal.From(<-done, refusal.NotRun).Code())
		}
		leave()
		require.Zero(t, ga.Running())
	})
}
