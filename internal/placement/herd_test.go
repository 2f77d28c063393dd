package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/placement"
)

// play sends requests to engines for ten seconds, by many hosts that see the loads as they were a while
// ago, and returns the share of requests that found no slot free.
func play(age time.Duration) float64 {
	const (
		engines = 140
		slots   = 12
		weighed = 4
		step    = 10 * time.Millisecond
		rate    = 18 // requests in a step
		stay    = 600 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var (
		ends    [engines][]int
		history [][engines]int
		waited  int
		total   int
	)
	for now := range int(10 * time.Second / step) {
		var loads [engines]int
		for i := range ends {
			kept := ends[i][:0]
			for _, end := range ends[i] {
				if end > now {
					kept = append(kept, end)
				}
			}
			ends[i] = kept
			loads[i] = len(kept)
		}
		history = append(history, loads)
		seen := history[max(0, now-int(age/step))]
		for k := range rate {
			cands := make([]placement.Candidate, weighed)
			picks := rng.Perm(engines)[:weighed]
			for i, en := range picks {
				cands[i] = placement.Candidate{Capacity: 48000, View: fleet.View{
					Entry: fleet.Entry{ID: fmt.Sprint(en), Slots: slots, Models: map[string]uint64{"m": 1}},
					Peers: fleet.Load{Requests: seen[en], Tokens: seen[en] * 3000},
				}}
			}
			job := placement.Job{ID: fmt.Sprint(now, k), Tokens: 3000, Output: 50, Model: "m"}
			ch, ok := placement.Choose(job, cands)
			if !ok {
				continue
			}
			en := picks[ch.Index]
			total++
			if len(ends[en]) >= slots {
				waited++
			}
			ends[en] = append(ends[en], now+1+int(rng.ExpFloat64()*float64(stay/step)))
		}
	}
	return float64(waited) / float64(total)
}

// Hosts that knew loads as they were 250 ms ago all sent to the engines that were idle then: at two
// thirds of all slots a tenth of the requests waited (scale-1 on the grown sites). Tight classes want
// 95 of 100 on time, so that far fewer may wait.
func TestFreshLoadsKeepHostsFromHerding(t *testing.T) {
	require.Less(t, play(60*time.Millisecond), 0.02)
	require.Greater(t, play(250*time.Millisecond), 0.1)
}
