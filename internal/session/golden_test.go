package session_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

// past returns a history of n pieces and a question.
func past(subject string, n int) string {
	unit := subject + " was ground at 18 degrees. "
	return strings.Repeat(unit, 1+n*history.PieceTokens*history.BytesPerToken/len(unit)) + "Which edge?"
}

func TestSessionOrdinaryDay(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-b"), "entry-1", "entry-2")
		a, b := w.nodes["entry-1"], w.nodes["entry-2"]
		first, err := a.ask("q1", tokenHartlebury, "crew", past("the boning knife", 3))
		require.NoError(t, err)
		time.Sleep(time.Minute)
		again, err := b.ask("q2", tokenHartlebury, "crew", past("the boning knife", 3))
		require.NoError(t, err)
		require.Equal(t, first, again)
		_, err = a.ask("q3", "wrong-token", "crew", "hello")
		require.Equal(t, refusal.Unauthenticated, codeOf(err))
		_, err = a.ask("q4", tokenHartlebury, "no-such-class", "hello")
		require.Equal(t, refusal.UnknownClass, codeOf(err))
		_, err = a.book(tokenHartlebury, "visit-1", "monday")
		require.NoError(t, err)
		_, err = b.book(tokenHartlebury, "visit-1", "monday")
		require.NoError(t, err)
		_, err = b.book(tokenHartlebury, "visit-1", "tuesday")
		require.Equal(t, refusal.KeyConflict, codeOf(err))
		_, err = b.book(tokenCascade, "visit-1", "monday")
		require.NoError(t, err)
		_, err = b.book(tokenHartlebury, "", "monday")
		require.Equal(t, refusal.KeyMissing, codeOf(err))
		w.golden()
	})
}

func TestSessionZoneOutAndBack(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-b"), "entry-1", "entry-2", "entry-3")
		w.kv.set(func() { w.kv.isWatchSilent = true })
		_, err := w.change("operator", func(doc *configuration.Document) error {
			doc.Zones[0].Out = true
			return nil
		})
		require.NoError(t, err)
		w.logf("operator takes mid-a out")
		time.Sleep(3 * time.Second)
		for _, name := range w.names {
			_, err = w.nodes[name].ask("out-"+name, tokenHartlebury, "crew", "which steel for "+name)
			require.NoError(t, err)
		}
		_, err = w.change("operator", func(doc *configuration.Document) error {
			doc.Zones[0].Out = false
			doc.Zones[0].InSince = time.Now().UnixMilli()
			return nil
		})
		require.NoError(t, err)
		w.logf("operator brings mid-a back")
		time.Sleep(45 * time.Second)
		for _, name := range w.names {
			_, err = w.nodes[name].ask("in-"+name, tokenHartlebury, "crew", "which steel for "+name)
			require.NoError(t, err)
		}
		w.golden()
	})
}

func TestSessionEngineDiesMidStream(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a", "mid-b"), "entry-1", "entry-2")
		for _, en := range w.engines {
			en.set(func() { en.tokens = 8 })
		}
		go func() {
			time.Sleep(60 * time.Millisecond)
			for _, en := range w.engines {
				en.set(func() {
					if len(en.running) > 0 {
						en.crash(5 * time.Second)
					}
				})
			}
		}()
		text, err := w.nodes["entry-1"].ask("q1", tokenHartlebury, "crew", "hello")
		require.NoError(t, err)
		require.Equal(t, "v1.0 v1.1 v1.2 v1.3 v1.4 v1.5 v1.6 v1.7 ", text)
		w.golden()
	})
}

func TestSessionCrashingRequest(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-a", "mid-b", "mid-b"), "entry-1", "entry-2")
		crashes := func() int {
			n := 0
			for _, en := range w.engines {
				en.set(func() { n += en.crashes })
			}
			return n
		}
		for _, en := range w.engines {
			en.set(func() { en.crashOn = "POISON" })
		}
		_, err := w.nodes["entry-1"].ask("p1", tokenHartlebury, "crew", "POISON")
		require.Error(t, err)
		for _, name := range []string{"entry-2", "entry-1"} {
			_, err = w.nodes[name].ask("again-"+name, tokenHartlebury, "crew", "POISON")
			require.Equal(t, refusal.Quarantined, codeOf(err))
			require.Equal(t, refusal.NotRun, runOf(err))
		}
		require.LessOrEqual(t, crashes(), 2)
		time.Sleep(20 * time.Second)
		_, err = w.nodes["entry-2"].ask("innocent", tokenHartlebury, "crew", "hello")
		require.NoError(t, err)
		w.golden()
	})
}

func TestSessionPlatformOutage(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a", "mid-b"), "entry-1", "entry-2")
		_, err := w.nodes["entry-1"].book(tokenHartlebury, "before", "monday")
		require.NoError(t, err)
		w.kv.set(func() { w.kv.isDown = true })
		w.logf("the key-value service goes down")
		time.Sleep(time.Minute)
		_, err = w.nodes["entry-1"].ask("q1", tokenHartlebury, "crew", "hello")
		require.NoError(t, err, "chat goes on")
		_, err = w.nodes["entry-1"].book(tokenHartlebury, "during", "monday")
		require.Equal(t, refusal.LedgerUnavailable, codeOf(err))
		require.Equal(t, refusal.NotRun, runOf(err))
		require.Zero(t, w.desk.plain.Runs("during"))
		w.kv.set(func() { w.kv.isDown = false })
		w.logf("the key-value service comes back")
		time.Sleep(10 * time.Second)
		_, err = w.nodes["entry-2"].book(tokenHartlebury, "during", "monday")
		require.NoError(t, err, "a refused call may be sent again")
		require.Equal(t, 1, w.desk.plain.Runs("during"))
		w.golden()
	})
}
