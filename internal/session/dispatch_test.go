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

const wholeAnswer = "v1.0 v1.1 v1.2 v1.3 "

// oneFault switches a fault on at the first endpoint that runs something, and off at the others.
func (w *world) oneFault(apply func(en *fakeEngine)) {
	for _, en := range w.engines {
		en.set(func() { apply(en) })
		return
	}
}

func TestAnswerWholeAfterFault(t *testing.T) {
	faults := map[string]func(en *fakeEngine){
		"cut":         func(en *fakeEngine) { en.cutAfter = 2 },
		"silent":      func(en *fakeEngine) { en.isSilent = true },
		"crossed":     func(en *fakeEngine) { en.isCrossed = true },
		"no-end-mark": func(en *fakeEngine) { en.noEndMark = true },
	}
	for name, apply := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world) {
				w.start(document("mid-a", "mid-a"), "entry-1")
				w.oneFault(apply)
				for i := range 4 {
					text, err := w.nodes["entry-1"].ask(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
					require.NoError(t, err)
					require.Equal(t, wholeAnswer, text)
				}
			})
		})
	}
}

// TestAnswerNeverSplicedFromTwoVersions cuts an answer during a rollout, when only an engine with
// the next version is left: the answer ends with a typed error and no token of that version.
func TestAnswerNeverSplicedFromTwoVersions(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a"), "entry-1")
		one, two := w.engines["10.0.7.1:80"], w.engines["10.0.7.2:80"]
		two.set(func() { two.version = "v2" })
		w.order(func(doc *configuration.Document) { doc.Models[0].NextVersion = "v2" })
		time.Sleep(200 * time.Millisecond)
		one.set(func() { one.tokens, one.cutAfter = 100, 2 })
		cut := 0
		for i := range 8 {
			text, err := w.nodes["entry-1"].ask(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
			if err != nil {
				require.Equal(t, refusal.MayHaveRun, runOf(err))
				cut++
			}
			require.False(t, strings.Contains(text, "v1") && strings.Contains(text, "v2"), text)
		}
		require.Positive(t, cut)
	})
}

// TestWorkerBackWithOldWeights lets a worker come back with old weights; it gets no new run.
func TestWorkerBackWithOldWeights(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a"), "entry-1")
		old := w.engines["10.0.7.1:80"]
		old.set(func() {
			old.version = "v0"
			old.startID++
		})
		for i := range 6 {
			text, err := w.nodes["entry-1"].ask(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i))
			require.NoError(t, err)
			require.Equal(t, wholeAnswer, text)
		}
	})
}

// TestTeamsApart sends one text as two teams: nothing is shared.
func TestTeamsApart(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1")
		nd := w.nodes["entry-1"]
		for _, token := range []string{tokenHartlebury, tokenCascade} {
			began := time.Now()
			_, err := nd.ask("q-"+token, token, "crew", past("the paring knife", 2))
			require.NoError(t, err)
			require.Greater(t, time.Since(began), 400*time.Millisecond, "the second team must read the whole history")
			time.Sleep(time.Minute)
		}
		require.Zero(t, w.counted("tokens.reused"))
		require.Zero(t, w.counted("tokens.imported"))
	})
}

// TestColdLimitOverAllHosts sends a burst through every host to one endpoint that has turned cold
// without warning, while the hosts disagree on who is live.
func TestColdLimitOverAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cutAt := rapid.IntRange(0, 4).Draw(rt, "cut-at")
		rest := rapid.IntRange(0, 1500).Draw(rt, "rest-ms")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			defer w.close()
			w.start(document("mid-a", "mid-a"), "entry-1", "entry-2", "entry-3", "entry-4")
			en := w.engines["10.0.7.1:80"]
			en.set(func() { en.tokens = 50 })
			a, b := w.names[cutAt%4], w.names[(cutAt+1)%4]
			w.nodes[a].set(func() { w.nodes[a].cut[b] = cutAt < 4 })
			time.Sleep(time.Duration(rest) * time.Millisecond)
			en.set(func() { en.crash(0) })
			var wg sync.WaitGroup
			for i := range 60 {
				nd := w.nodes[w.names[i%4]]
				wg.Go(func() { _, _ = nd.ask(fmt.Sprintf("q%d", i), tokenHartlebury, "crew", fmt.Sprintf("question %d", i)) })
				time.Sleep(20 * time.Millisecond)
			}
			wg.Wait()
			require.LessOrEqual(t, en.coldPeak, en.coldLimit)
		})
	})
}

// TestColdOwnerDies kills the owner of a cold endpoint while its places are taken.
func TestColdOwnerDies(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2", "entry-3")
		en := w.engines["10.0.7.1:80"]
		en.set(func() {
			en.tokens = 3000
			en.coldTime = 5 * time.Minute
			en.crash(0)
		})
		_, err := w.change("operator", func(doc *configuration.Document) error {
			doc.Models[0].ColdTime = doc.Classes[1].FirstToken * 30
			return nil
		})
		require.NoError(t, err)
		var wg sync.WaitGroup
		for i := range 120 {
			nd := w.nodes[w.names[1+i%2]]
			wg.Go(func() { _, _ = nd.ask(fmt.Sprintf("q%d", i), tokenHartlebury, "draft", fmt.Sprintf("question %d", i)) })
			time.Sleep(250 * time.Millisecond)
			if i == 40 {
				address, _ := w.nodes["entry-2"].control.EndpointOwner("engine-1")
				if owner := w.at(address); owner != nil {
					owner.stop()
				}
			}
		}
		wg.Wait()
		require.LessOrEqual(t, en.coldPeak, en.coldLimit)
		require.Positive(t, en.coldPeak)
	})
}

// lastDispatch returns when an endpoint last got a run.
func (w *world) streamOf(t *testing.T, stop <-chan struct{}) *sync.WaitGroup {
	t.Helper()
	var wg sync.WaitGroup
	for _, name := range w.names {
		nd := w.nodes[name]
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				wg.Go(func() {
					_, _ = nd.ask(fmt.Sprintf("%s-%d", name, i), tokenHartlebury, "crew", fmt.Sprintf("question %s %d", name, i))
				})
			}
		})
	}
	return &wg
}

func TestNoNewWorkAfterThreeSeconds(t *testing.T) {
	orders := map[string]func(w *world){
		"zone out, watches silent": func(w *world) {
			w.kv.set(func() { w.kv.isWatchSilent = true })
			w.order(func(doc *configuration.Document) { doc.Zones[0].Out = true })
		},
		"zone out, service down after the write": func(w *world) {
			w.order(func(doc *configuration.Document) { doc.Zones[0].Out = true })
			time.Sleep(20 * time.Millisecond)
			w.kv.set(func() { w.kv.isDown = true })
		},
		"endpoint leave by operator": func(w *world) {
			w.order(func(doc *configuration.Document) {
				for i := range doc.Endpoints {
					doc.Endpoints[i].Leaving = doc.Endpoints[i].Name == "engine-1"
				}
			})
		},
		"endpoint leave by list": func(w *world) {
			w.kv.set(func() {
				w.kv.listed = []keyvalue.ListedHost{{Address: "10.0.7.1:80", State: keyvalue.HostLeaving}}
			})
		},
	}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world) {
				w.start(document("mid-a", "mid-b"), "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6")
				stop := make(chan struct{})
				wg := w.streamOf(t, stop)
				time.Sleep(2 * time.Second)
				en := w.engines["10.0.7.1:80"]
				require.Positive(t, en.runs())
				order(w)
				time.Sleep(3 * time.Second)
				before := en.runs()
				time.Sleep(5 * time.Second)
				require.Equal(t, before, en.runs(), "new work more than 3 s after the order")
				close(stop)
				wg.Wait()
				require.Zero(t, w.counted("refusals.stream-broken"), "held streams finish")
			})
		})
	}
}

func (w *world) order(edit func(doc *configuration.Document)) {
	_, err := w.change("operator", func(doc *configuration.Document) error {
		edit(doc)
		return nil
	})
	require.NoError(w.t, err)
}

func (en *fakeEngine) runs() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.opened
}

// TestNotRunIsTrue draws a fault of the first endpoint and asks once: "not run" must mean that no
// engine has opened the run.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := rapid.IntRange(0, 6).Draw(rt, "fault")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			defer w.close()
			w.start(document("mid-a"), "entry-1")
			en := w.engines["10.0.7.1:80"]
			en.set(func() {
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
					en.isCrossed = true
				case 5:
					en.crashOn = "question"
				}
			})
			_, err := w.nodes["entry-1"].ask("q", tokenHartlebury, "crew", "question")
			if err != nil && runOf(err) == refusal.NotRun {
				require.Zero(t, en.runs())
			}
			if fault < 2 {
				require.Equal(t, refusal.NotRun, runOf(err))
			}
		})
	})
}

// TestRetriesStayWithinBudget lets half of the endpoints fail each run after its start.
func TestRetriesStayWithinBudget(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a", "mid-b", "mid-b"), "entry-1")
		for _, address := range []string{"10.0.7.1:80", "10.0.7.3:80"} {
			w.engines[address].set(func() { w.engines[address].isSilent = true })
		}
		const requests = 400
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				_, _ = w.nodes["entry-1"].ask(fmt.Sprintf("q%d", i), tokenHartlebury, "draft", fmt.Sprintf("question %d", i))
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		dispatches := w.counted("dispatches.draft")
		require.LessOrEqual(t, dispatches, requests+requests/10+3, "the budget is a tenth and a reserve of 3")
		for _, en := range w.engines {
			en.set(func() { en.isSilent = false })
		}
		time.Sleep(5 * time.Second)
		for i := range 10 {
			_, err := w.nodes["entry-1"].ask(fmt.Sprintf("after-%d", i), tokenHartlebury, "crew", fmt.Sprintf("after %d", i))
			require.NoError(t, err, "the service recovers by itself")
		}
	})
}

// TestInnocentBesideCrashIsNotRefused runs innocent requests beside one that crashes endpoints.
func TestInnocentBesideCrashIsNotRefused(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a", "mid-a", "mid-a"), "entry-1", "entry-2")
		crashes := 0
		for _, en := range w.engines {
			en.set(func() {
				en.crashOn = "POISON"
				en.tokens = 30
			})
		}
		var wg sync.WaitGroup
		refused := 0
		var mu sync.Mutex
		for i := range 8 {
			wg.Go(func() {
				_, err := w.nodes[w.names[i%2]].ask(fmt.Sprintf("i%d", i), tokenHartlebury, "crew", fmt.Sprintf("innocent %d", i))
				if err != nil && codeOf(err) == refusal.Quarantined {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		for i := range 4 {
			_, err := w.nodes[w.names[i%2]].ask(fmt.Sprintf("p%d", i), tokenHartlebury, "crew", "POISON")
			require.Error(t, err)
		}
		wg.Wait()
		for _, en := range w.engines {
			en.set(func() { crashes += en.crashes })
		}
		require.LessOrEqual(t, crashes, 2)
		require.Zero(t, refused)
	})
}
