package session_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/configuration"
)

// startLoadingPeakSampler counts every 50 ms how many engines are loading weights, until stop is closed.
// The returned function waits for the end and returns the highest count.
func (fl *fleet) startLoadingPeakSampler(stop <-chan struct{}) func() int {
	peak := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			loading := 0
			for _, en := range fl.engines {
				en.withLock(func() {
					if en.isLoading {
						loading++
					}
				})
			}
			peak = max(peak, loading)
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

// TestRolloutControllerKilledAtEachStep kills the host that holds the rollout lease after 0 to 3 load
// orders. Another host must take over and finish the rollout, with at most two engines loading at once.
func TestRolloutControllerKilledAtEachStep(t *testing.T) {
	for loadOrders := range 4 {
		t.Run(fmt.Sprintf("after %d loads", loadOrders), func(t *testing.T) {
			runScenario(t, func(fl *fleet) {
				fl.start(newDocument("mid-a", "mid-a", "mid-b", "mid-b", "mid-b"), hostNames(4)...)
				stop := make(chan struct{})
				peak := fl.startLoadingPeakSampler(stop)
				fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
				fl.awaitLoadOrders(t, loadOrders)
				fl.killOwnerOf("rollout")
				fl.awaitModelVersion(t, "v2")
				close(stop)
				require.LessOrEqual(t, peak(), 2)
				for _, en := range fl.engines {
					en.withLock(func() { require.Equal(t, "v2", en.version) })
				}
			})
		})
	}
}

// awaitLoadOrders waits until the engines have received at least want load orders in total.
func (fl *fleet) awaitLoadOrders(t *testing.T, want int) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		loads := 0
		for _, en := range fl.engines {
			en.withLock(func() { loads += en.loadOrders })
		}
		if loads >= want {
			return
		}
		require.Less(t, time.Since(began), time.Minute)
	}
}

// killOwnerOf kills a host that considers itself the owner of a name.
func (fl *fleet) killOwnerOf(ownedName string) {
	for _, nd := range fl.nodes {
		if nd.controlPlane.OwnerOf(ownedName) == "" {
			nd.kill()
			return
		}
	}
}

// awaitModelVersion waits until the configuration of each running host has the model version.
func (fl *fleet) awaitModelVersion(t *testing.T, version string) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		allUpdated := true
		for _, nd := range fl.nodes {
			nd.mu.Lock()
			isDown := nd.isDown
			nd.mu.Unlock()
			mdl, _ := nd.controlPlane.Configuration.Snapshot().Model("assistant")
			allUpdated = allUpdated && (isDown || mdl.Version == version)
		}
		if allUpdated {
			return
		}
		require.Less(t, time.Since(began), 5*time.Minute)
	}
}

// TestAnswersDuringRolloutUseOneVersion sends a chat request every 100 ms during a rollout. All requests
// must succeed, each with an answer of a single version.
func TestAnswersDuringRolloutUseOneVersion(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a", "mid-b", "mid-b"), "entry-1", "entry-2")
		fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
		var wg sync.WaitGroup
		var mu sync.Mutex
		failed, mixed := 0, 0
		for i := range 200 {
			nd := fl.nodes[fl.hostNames[i%2]]
			wg.Go(func() {
				text, err := nd.sendChat(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					failed++
				case text != completeAnswer && text != "v2.0 v2.1 v2.2 v2.3 ":
					mixed++
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		fl.awaitModelVersion(t, "v2")
		require.Zero(t, mixed)
		require.Zero(t, failed)
	})
}

// TestFormerLeaseHolderIsFenced freezes the holder of the rollout lease until another host has taken over
// and finished the rollout. Engines that check fencing tokens must refuse late load orders of the
// former holder.
func TestFormerLeaseHolderIsFenced(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a", "mid-b"), hostNames(3)...)
		for _, en := range fl.engines {
			en.withLock(func() { en.checksFencing = true })
		}
		fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
		fl.awaitLoadOrders(t, 1)
		var holder *node
		for _, nd := range fl.nodes {
			if nd.controlPlane.OwnerOf("rollout") == "" {
				holder = nd
			}
		}
		holder.withLock(func() { holder.isFrozen = true })
		fl.awaitModelVersionExcept(t, "v2", holder)
		holder.withLock(func() { holder.isFrozen = false })
		time.Sleep(10 * time.Second)
		for _, en := range fl.engines {
			en.withLock(func() {
				require.Equal(t, "v2", en.version)
				require.Equal(t, 1, en.loadOrders, "each engine loads the weights once")
			})
		}
	})
}

// awaitModelVersionExcept waits until the configuration of each host other than except, which is kept
// frozen, has the model version.
func (fl *fleet) awaitModelVersionExcept(t *testing.T, version string, except *node) {
	t.Helper()
	except.withLock(func() { except.isDown, except.isFrozen = false, true })
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		allUpdated := true
		for _, nd := range fl.nodes {
			mdl, _ := nd.controlPlane.Configuration.Snapshot().Model("assistant")
			allUpdated = allUpdated && (nd == except || mdl.Version == version)
		}
		if allUpdated {
			return
		}
		require.Less(t, time.Since(began), 5*time.Minute)
	}
}
