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
	return admission.Request{Class: class, Team: team, Priority: priority, QueueLimit: 100, MaxWait: time.Minute}
}

// acquireAll queues the requests in order and holds each permit for 100 ms. It returns the teams in the order
// in which they got their permits.
func acquireAll(t *testing.T, li *admission.Limiter, reqs []admission.Request) []string {
	t.Helper()
	var mu sync.Mutex
	var order []string
	var wg sync.WaitGroup
	for _, req := range reqs {
		wg.Go(func() {
			release, err := li.Acquire(context.Background(), req)
			if err != nil {
				return
			}
			mu.Lock()
			order = append(order, req.Team)
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			release()
		})
		synctest.Wait()
	}
	wg.Wait()
	return order
}

// Guards against a team that starves another one by queuing many requests first.
func TestLargeTeamDoesNotStarveASmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		li := admission.NewLimiter(clock.System(), 2)
		var reqs []admission.Request
		for range 20 {
			reqs = append(reqs, request("crew", "large", 0))
		}
		reqs = append(reqs, request("crew", "small", 0))
		order := acquireAll(t, li, reqs)
		require.Len(t, order, 21)
		require.Contains(t, order[:4], "small")
		require.Zero(t, li.Running())
	})
}

func TestUrgentClassGoesFirstAndOthersAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		li := admission.NewLimiter(clock.System(), 1)
		var reqs []admission.Request
		for i := range 5 {
			reqs = append(reqs, request("draft", fmt.Sprint("draft", i), 5))
		}
		for i := range 200 {
			reqs = append(reqs, request("crew", fmt.Sprint("crew", i), 0))
		}
		order := acquireAll(t, li, reqs)
		require.Contains(t, order[1], "crew", "a class of high priority overtakes drafts that were queued earlier")
		position := -1
		for i, team := range order {
			if team == "draft4" {
				position = i
			}
		}
		require.Greater(t, position, 0)
		require.Less(t, position, 130, "a draft is not starved")
	})
}

func TestQueueRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		li := admission.NewLimiter(clock.System(), 1)
		release, err := li.Acquire(context.Background(), request("crew", "a", 0))
		require.NoError(t, err)
		req := request("crew", "a", 0)
		req.QueueLimit, req.MaxWait = 2, time.Second
		results := make(chan error, 2)
		go func() {
			_, err := li.Acquire(context.Background(), req)
			results <- err
		}()
		synctest.Wait()
		_, err = li.Acquire(context.Background(), req)
		require.Equal(t, refusal.TeamLimit, refusal.FromError(err, refusal.NotRun).Code())
		req.Team = "b"
		go func() {
			_, err := li.Acquire(context.Background(), req)
			results <- err
		}()
		synctest.Wait()
		_, err = li.Acquire(context.Background(), req)
		re := refusal.FromError(err, refusal.NotRun)
		require.Equal(t, refusal.QueueFull, re.Code())
		require.Equal(t, time.Second, re.RetryAfter())
		for range 2 {
			require.Equal(t, refusal.QueueDeadline, refusal.FromError(<-results, refusal.NotRun).Code())
		}
		release()
		require.Zero(t, li.Running())
	})
}
