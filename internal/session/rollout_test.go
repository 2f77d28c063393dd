package session_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/configuration"
)

// loadingPeak watches how many engines load at once.
func (w *world) loadingPeak(stop <-chan struct{}) func() int {
	peak := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			n := 0
			for _, en := range w.engines {
				en.set(func() {
					if en.loading {
						n++
					}
				})
			}
			peak = max(peak, n)
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() int {
		<-done
		return peak
	}
}

// TestRolloutControllerKilledAtEachStep kills the host that holds the lease after each load order.
// Another one goes on; no more than the limit loads at once, and no answer mixes versions.
func TestRolloutControllerKilledAtEachStep(t *testing.T) {
	for kill := range 4 {
		t.Run(fmt.Sprintf("after %d loads", kill), func(t *testing.T) {
			run(t, func(w *world) {
				w.start(document("mid-a", "mid-a", "mid-b", "mid-b", "mid-b"), hostNames(4)...)
				stop := make(chan struct{})
				peak := w.loadingPeak(stop)
				w.order(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
				w.awaitLoads(t, kill)
				w.killOwner("rollout")
				w.awaitVersion(t, "v2")
				close(stop)
				require.LessOrEqual(t, peak(), 2)
				for _, en := range w.engines {
					en.set(func() { require.Equal(t, "v2", en.version) })
				}
			})
		})
	}
}

func (w *world) awaitLoads(t *testing.T, want int) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		loads := 0
		for _, en := range w.engines {
			en.set(func() { loads += en.loads })
		}
		if loads >= want {
			return
		}
		require.Less(t, time.Since(began), time.Minute)
	}
}

func (w *world) killOwner(name string) {
	for _, nd := range w.nodes {
		if nd.control.OwnerOf(name) == "" {
			nd.stop()
			return
		}
	}
}

func (w *world) awaitVersion(t *testing.T, version string) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		done := true
		for _, nd := range w.nodes {
			nd.mu.Lock()
			isDown := nd.isDown
			nd.mu.Unlock()
			mdl, _ := nd.control.Keeper.Snapshot().Model("assistant")
			done = done && (isDown || mdl.Version == version)
		}
		if done {
			return
		}
		require.Less(t, time.Since(began), 5*time.Minute)
	}
}

// TestServiceDuringRollout asks all the time while weights change: each answer is of one version.
func TestServiceDuringRollout(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a", "mid-b", "mid-b"), "entry-1", "entry-2")
		w.order(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
		var wg sync.WaitGroup
		var mu sync.Mutex
		failed, mixed := 0, 0
		for i := range 200 {
			nd := w.nodes[w.names[i%2]]
			wg.Go(func() {
				text, err := nd.ask(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					failed++
				case text != wholeAnswer && text != "v2.0 v2.1 v2.2 v2.3 ":
					mixed++
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		w.awaitVersion(t, "v2")
		require.Zero(t, mixed)
		require.Zero(t, failed)
	})
}

// TestOldHolderIsFenced freezes the holder of the rollout's lease past its term. Engines that check
// fencing numbers refuse its late order.
func TestOldHolderIsFenced(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a", "mid-b"), hostNames(3)...)
		for _, en := range w.engines {
			en.set(func() { en.checks = true })
		}
		w.order(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
		w.awaitLoads(t, 1)
		var holder *node
		for _, nd := range w.nodes {
			if nd.control.OwnerOf("rollout") == "" {
				holder = nd
			}
		}
		holder.set(func() { holder.isFrozen = true })
		w.awaitVersionOn(t, "v2", holder)
		holder.set(func() { holder.isFrozen = false })
		time.Sleep(10 * time.Second)
		for _, en := range w.engines {
			en.set(func() {
				require.Equal(t, "v2", en.version)
				require.Equal(t, 1, en.loads, "each engine loads once")
			})
		}
	})
}

func (w *world) awaitVersionOn(t *testing.T, version string, except *node) {
	t.Helper()
	except.set(func() { except.isDown, except.isFrozen = false, true })
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		done := true
		for _, nd := range w.nodes {
			mdl, _ := nd.control.Keeper.Snapshot().Model("assistant")
			done = done && (nd == except || mdl.Version == version)
		}
		if done {
			return
		}
		require.Less(t, time.Since(began), 5*time.Minute)
	}
}
