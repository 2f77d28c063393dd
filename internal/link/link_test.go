package link_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/link"
)

type singleHost struct{}

func (singleHost) OwnerOf(string) string { return "" }

func budget(string) float64 { return 1000 }

// Many tickets request turns at once: no second carries more bytes than the budget.
func TestTurnsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		br := link.NewBroker(clock.System(), link.NewScheduler(clock.System(), budget), singleHost{}, nil)
		var mu sync.Mutex
		bySecond := make(map[int]float64)
		began := time.Now()
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				_, err := br.Wait(context.Background(), link.TurnRequest{Store: "s", Ticket: fmt.Sprint(i), Bytes: 100})
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				bySecond[int(time.Since(began).Seconds())] += 100
			})
		}
		wg.Wait()
		total := 0.0
		for second, bytes := range bySecond {
			require.LessOrEqual(t, bytes, 1000.0, "second %d", second)
			total += bytes
		}
		require.InDelta(t, 4000, total, 0)
		require.Less(t, time.Since(began), 6*time.Second, "turns leave the link idle for little time")
	})
}

// An import with priority 0 arrives behind a queue of transfers with priority 5, and goes first.
func TestLowerPriorityNumberGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		br := link.NewBroker(clock.System(), link.NewScheduler(clock.System(), budget), singleHost{}, nil)
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				_, _ = br.Wait(context.Background(), link.TurnRequest{Store: "s", Ticket: fmt.Sprint(i), Priority: 5, Bytes: 500})
			})
		}
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		_, err := br.Wait(context.Background(), link.TurnRequest{Store: "s", Ticket: "crew", Priority: 0, Bytes: 500})
		require.NoError(t, err)
		require.Less(t, time.Since(began), time.Second)
		wg.Wait()
	})
}

// The observed rate is a tenth of the budget: the estimate of the rate converges to it.
func TestRateFollowsObservedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sr := link.NewScheduler(clock.System(), budget)
		var res link.TurnResponse
		for i := range 12 {
			res = sr.RequestTurn(link.TurnRequest{Store: "s", Ticket: fmt.Sprint(i), Bytes: 10, ObservedRate: 100})
			time.Sleep(300 * time.Millisecond)
		}
		require.InDelta(t, 100, res.Rate, 20)
	})
}
