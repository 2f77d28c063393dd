package session_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

// completeAnswer is the text that a fakeEngine with version v1 answers by default.
const completeAnswer = "v1.0 v1.1 v1.2 v1.3 "

// injectFaultIntoOneEngine applies a fault to one engine, the first in the order of the map.
func (fl *fleet) injectFaultIntoOneEngine(apply func(en *fakeEngine)) {
	for _, en := range fl.engines {
		en.withLock(func() { apply(en) })
		return
	}
}

// TestAnswerCompleteAfterEngineFault lets one of two engines break its streams in four ways. The client
// must get the complete answer all the same, through a retry.
func TestAnswerCompleteAfterEngineFault(t *testing.T) {
	faults := map[string]func(en *fakeEngine){
		"cut":         func(en *fakeEngine) { en.cutAfter = 2 },
		"silent":      func(en *fakeEngine) { en.isSilent = true },
		"crossed":     func(en *fakeEngine) { en.sendsOtherRun = true },
		"no-end-mark": func(en *fakeEngine) { en.dropsEndMark = true },
	}
	for name, apply := range faults {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(fl *fleet) {
				fl.start(newDocument("mid-a", "mid-a"), "entry-1")
				fl.injectFaultIntoOneEngine(apply)
				for i := range 4 {
					text, err := fl.nodes["entry-1"].sendChat(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
					require.NoError(t, err)
					require.Equal(t, completeAnswer, text)
				}
			})
		})
	}
}

// TestAnswerNeverMixesModelVersions breaks an answer during a rollout, when only an engine with the next
// version is left. The answer must end with a typed error and without a token of that version.
func TestAnswerNeverMixesModelVersions(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a"), "entry-1")
		currentEngine, nextEngine := fl.engines["10.0.7.1:80"], fl.engines["10.0.7.2:80"]
		nextEngine.withLock(func() { nextEngine.version = "v2" })
		fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
		time.Sleep(200 * time.Millisecond)
		currentEngine.withLock(func() { currentEngine.answerTokens, currentEngine.cutAfter = 100, 2 })
		brokenAnswers := 0
		for i := range 8 {
			text, err := fl.nodes["entry-1"].sendChat(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
			if err != nil {
				require.Equal(t, refusal.MayHaveRun, runStateOf(err))
				brokenAnswers++
			}
			require.False(t, strings.Contains(text, "v1") && strings.Contains(text, "v2"), text)
		}
		require.Positive(t, brokenAnswers)
	})
}

// TestEngineRestartedWithOldWeightsServesNoAnswer restarts an engine with an older version of the weights
// than configured. All answers must be complete and of the configured version.
func TestEngineRestartedWithOldWeightsServesNoAnswer(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a"), "entry-1")
		restarted := fl.engines["10.0.7.1:80"]
		restarted.withLock(func() {
			restarted.version = "v0"
			restarted.restarts++
		})
		for i := range 6 {
			text, err := fl.nodes["entry-1"].sendChat(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
			require.NoError(t, err)
			require.Equal(t, completeAnswer, text)
		}
	})
}

// TestTeamsShareNoCachedPieces sends the same prompt as two teams. The second team must not profit from
// pieces that the first left in the prefix cache or in a cache store.
func TestTeamsShareNoCachedPieces(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1")
		nd := fl.nodes["entry-1"]
		for _, token := range []string{tokenHartlebury, tokenCascade} {
			began := time.Now()
			_, err := nd.sendChat("q-"+token, token, "crew", promptOfPieces("the paring knife", 2))
			require.NoError(t, err)
			require.Greater(t, time.Since(began), 400*time.Millisecond, "the second team must prefill the whole prompt")
			time.Sleep(time.Minute)
		}
		require.Zero(t, fl.counter("tokens.reused"))
		require.Zero(t, fl.counter("tokens.imported"))
	})
}

// TestColdLimitAcrossHosts sends a burst through all hosts to an endpoint that has just crashed and
// restarted cold, while a cut link may make the hosts disagree on which hosts are live. The runs on the
// endpoint must stay within the cold limit.
func TestColdLimitAcrossHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// The link between two successive hosts is cut, from the host at index cutAt; 4 cuts none.
		cutAt := rapid.IntRange(0, 4).Draw(rt, "cut-at")
		settleMs := rapid.IntRange(0, 1500).Draw(rt, "rest-ms")
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t)
			defer fl.close()
			fl.start(newDocument("mid-a", "mid-a"), "entry-1", "entry-2", "entry-3", "entry-4")
			en := fl.engines["10.0.7.1:80"]
			en.withLock(func() { en.answerTokens = 50 })
			a, b := fl.hostNames[cutAt%4], fl.hostNames[(cutAt+1)%4]
			fl.nodes[a].withLock(func() { fl.nodes[a].cutFrom[b] = cutAt < 4 })
			time.Sleep(time.Duration(settleMs) * time.Millisecond)
			en.withLock(func() { en.crash(0) })
			var wg sync.WaitGroup
			for i := range 60 {
				nd := fl.nodes[fl.hostNames[i%4]]
				wg.Go(func() {
					_, _ = nd.sendChat(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
				})
				time.Sleep(20 * time.Millisecond)
			}
			wg.Wait()
			require.LessOrEqual(t, en.coldPeakRuns, en.coldLimit)
		})
	})
}

// TestColdLimitAfterOwnerKilled kills the host that owns a cold endpoint while its slots are in use.
// The next owner must count the runs that the killed host granted.
func TestColdLimitAfterOwnerKilled(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2", "entry-3")
		en := fl.engines["10.0.7.1:80"]
		en.withLock(func() {
			en.answerTokens = 3000
			en.coldTime = 5 * time.Minute
			en.crash(0)
		})
		_, err := fl.changeConfiguration("operator", func(doc *configuration.Document) error {
			// 10 s * 30 is the cold time of the engine.
			doc.Models[0].ColdStartTime = doc.Classes[1].FirstTokenTarget * 30
			return nil
		})
		require.NoError(t, err)
		var wg sync.WaitGroup
		for i := range 120 {
			nd := fl.nodes[fl.hostNames[1+i%2]]
			wg.Go(func() {
				_, _ = nd.sendChat(fmt.Sprintf("q%d", i), tokenHartlebury, "draft", fmt.Sprintf("question %d", i))
			})
			time.Sleep(250 * time.Millisecond)
			if i == 40 {
				address, _ := fl.nodes["entry-2"].controlPlane.EndpointOwner("engine-1")
				if owner := fl.nodeAt(address); owner != nil {
					owner.kill()
				}
			}
		}
		wg.Wait()
		require.LessOrEqual(t, en.coldPeakRuns, en.coldLimit)
		require.Positive(t, en.coldPeakRuns)
	})
}

// startSteadyLoad sends a chat request through each host every 50 ms until stop is closed. The wait
// group that it returns is done once all answers have arrived.
func (fl *fleet) startSteadyLoad(t *testing.T, stop <-chan struct{}) *sync.WaitGroup {
	t.Helper()
	var wg sync.WaitGroup
	for _, name := range fl.hostNames {
		nd := fl.nodes[name]
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				wg.Go(func() {
					_, _ = nd.sendChat(fmt.Sprintf("%s-%d", name, i), tokenHartlebury, "crew", fmt.Sprintf("question %s %d", name, i))
				})
			}
		})
	}
	return &wg
}

// TestNoNewRunsThreeSecondsAfterRemoval takes an endpoint out of use in several ways, also with faults
// of the platform. All hosts must stop sending it new runs within 3 s; runs in flight must finish.
func TestNoNewRunsThreeSecondsAfterRemoval(t *testing.T) {
	removals := map[string]func(fl *fleet){
		"zone out, watches silent": func(fl *fleet) {
			fl.platform.withLock(func() { fl.platform.isWatchSilent = true })
			fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Zones[0].OutOfService = true })
		},
		"zone out, platform down after the write": func(fl *fleet) {
			fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Zones[0].OutOfService = true })
			time.Sleep(20 * time.Millisecond)
			fl.platform.withLock(func() { fl.platform.isDown = true })
		},
		"endpoint marked leaving by operator": func(fl *fleet) {
			fl.mustChangeConfiguration(func(doc *configuration.Document) {
				for i := range doc.Endpoints {
					doc.Endpoints[i].Leaving = doc.Endpoints[i].Name == "engine-1"
				}
			})
		},
		"endpoint leaving in the host list": func(fl *fleet) {
			fl.platform.withLock(func() {
				fl.platform.listedHosts = []keyvalue.ListedHost{{Address: "10.0.7.1:80", State: keyvalue.HostLeaving}}
			})
		},
	}
	for name, remove := range removals {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(fl *fleet) {
				fl.start(newDocument("mid-a", "mid-b"), "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6")
				stop := make(chan struct{})
				wg := fl.startSteadyLoad(t, stop)
				time.Sleep(2 * time.Second)
				en := fl.engines["10.0.7.1:80"]
				require.Positive(t, en.countOpenedRuns())
				remove(fl)
				time.Sleep(3 * time.Second)
				runsBefore := en.countOpenedRuns()
				time.Sleep(5 * time.Second)
				require.Equal(t, runsBefore, en.countOpenedRuns(), "new runs more than 3 s after the removal")
				close(stop)
				wg.Wait()
				require.Zero(t, fl.counter("refusals.stream-broken"), "streams in flight must finish")
			})
		})
	}
}

// mustChangeConfiguration edits the configuration as operator and fails the test on an error.
func (fl *fleet) mustChangeConfiguration(edit func(doc *configuration.Document)) {
	_, err := fl.changeConfiguration("operator", func(doc *configuration.Document) error {
		edit(doc)
		return nil
	})
	require.NoError(fl.t, err)
}

// countOpenedRuns returns how many runs the engine has opened so far.
func (en *fakeEngine) countOpenedRuns() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.openedRuns
}

// TestNotRunMeansNoRunOpened sends one request to an endpoint with a random fault. If the refusal says
// "not run", the engine must not have opened the run.
func TestNotRunMeansNoRunOpened(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Fault 6 is none.
		fault := rapid.IntRange(0, 6).Draw(rt, "fault")
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t)
			defer fl.close()
			fl.start(newDocument("mid-a"), "entry-1")
			en := fl.engines["10.0.7.1:80"]
			en.withLock(func() {
				switch fault {
				case 0:
					en.downUntil = time.Now().Add(time.Hour)
				case 1:
					en.version = "v9"
				case 2:
					en.cutAfter = 1
				case 3:
					en.isSilent = true
				case 4:
					en.sendsOtherRun = true
				case 5:
					en.crashOn = "question"
				}
			})
			_, err := fl.nodes["entry-1"].sendChat("q", tokenHartlebury, "crew", "question")
			if err != nil && runStateOf(err) == refusal.NotRun {
				require.Zero(t, en.countOpenedRuns())
			}
			if fault < 2 {
				require.Equal(t, refusal.NotRun, runStateOf(err))
			}
		})
	})
}

// TestRetriesStayWithinBudget lets half of the endpoints stall each run after its start. Retries must
// stay within the budget, and requests must succeed again once the endpoints work.
func TestRetriesStayWithinBudget(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a", "mid-b", "mid-b"), "entry-1")
		for _, address := range []string{"10.0.7.1:80", "10.0.7.3:80"} {
			fl.engines[address].withLock(func() { fl.engines[address].isSilent = true })
		}
		const requests = 400
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				_, _ = fl.nodes["entry-1"].sendChat(fmt.Sprintf("q%d", i), tokenHartlebury, "draft", fmt.Sprintf("question %d", i))
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		dispatches := fl.counter("dispatches.draft")
		require.LessOrEqual(t, dispatches, requests+requests/10+3, "the retry budget is a tenth of the requests plus a reserve of 3")
		for _, en := range fl.engines {
			en.withLock(func() { en.isSilent = false })
		}
		time.Sleep(5 * time.Second)
		for i := range 10 {
			_, err := fl.nodes["entry-1"].sendChat(fmt.Sprintf("after-%d", i), tokenHartlebury, "crew", fmt.Sprintf("after %d", i))
			require.NoError(t, err, "requests succeed once the endpoints work again")
		}
	})
}

// TestRequestsBesideCrashingOneNotQuarantined runs harmless requests on the same endpoints as a request
// that crashes them. Only the crashing request may be quarantined, after at most two crashes.
func TestRequestsBesideCrashingOneNotQuarantined(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a", "mid-a", "mid-a"), "entry-1", "entry-2")
		crashes := 0
		for _, en := range fl.engines {
			en.withLock(func() {
				en.crashOn = "POISON"
				en.answerTokens = 30
			})
		}
		var wg sync.WaitGroup
		refused := 0
		var mu sync.Mutex
		for i := range 8 {
			wg.Go(func() {
				_, err := fl.nodes[fl.hostNames[i%2]].sendChat(fmt.Sprintf("i%d", i), tokenHartlebury, "crew", fmt.Sprintf("innocent %d", i))
				if err != nil && codeOf(err) == refusal.Quarantined {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		for i := range 4 {
			_, err := fl.nodes[fl.hostNames[i%2]].sendChat(fmt.Sprintf("p%d", i), tokenHartlebury, "crew", "POISON")
			require.Error(t, err)
		}
		wg.Wait()
		for _, en := range fl.engines {
			en.withLock(func() { crashes += en.crashCount })
		}
		require.LessOrEqual(t, crashes, 2)
		require.Zero(t, refused)
	})
}
