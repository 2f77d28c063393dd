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

// promptOfPieces returns a prompt with a text that fills about the given number of prefix cache pieces,
// and a question after it.
func promptOfPieces(subject string, pieces int) string {
	sentence := subject + " was ground at 18 degrees. "
	return strings.Repeat(sentence, 1+pieces*history.PieceTokens*history.BytesPerToken/len(sentence)) + "Which edge?"
}

// TestSessionOrdinaryDay runs chat requests and bookings without faults, and the refusals of invalid
// ones. The second host must reuse the history that the first left in the prefix cache.
func TestSessionOrdinaryDay(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-b"), "entry-1", "entry-2")
		a, b := fl.nodes["entry-1"], fl.nodes["entry-2"]
		first, err := a.sendChat("q1", tokenHartlebury, "crew", promptOfPieces("the boning knife", 3))
		require.NoError(t, err)
		time.Sleep(time.Minute)
		again, err := b.sendChat("q2", tokenHartlebury, "crew", promptOfPieces("the boning knife", 3))
		require.NoError(t, err)
		require.Equal(t, first, again)
		_, err = a.sendChat("q3", "wrong-token", "crew", "hello")
		require.Equal(t, refusal.Unauthenticated, codeOf(err))
		_, err = a.sendChat("q4", tokenHartlebury, "no-such-class", "hello")
		require.Equal(t, refusal.UnknownClass, codeOf(err))
		_, err = a.sendBooking(tokenHartlebury, "visit-1", "monday")
		require.NoError(t, err)
		_, err = b.sendBooking(tokenHartlebury, "visit-1", "monday")
		require.NoError(t, err)
		_, err = b.sendBooking(tokenHartlebury, "visit-1", "tuesday")
		require.Equal(t, refusal.KeyConflict, codeOf(err))
		_, err = b.sendBooking(tokenCascade, "visit-1", "monday")
		require.NoError(t, err)
		_, err = b.sendBooking(tokenHartlebury, "", "monday")
		require.Equal(t, refusal.KeyMissing, codeOf(err))
		fl.assertGolden()
	})
}

// TestSessionZoneOutAndBack takes an availability zone out and brings it back while watches report no
// changes. No request may reach the zone while it is out.
func TestSessionZoneOutAndBack(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-b"), "entry-1", "entry-2", "entry-3")
		fl.platform.withLock(func() { fl.platform.isWatchSilent = true })
		_, err := fl.changeConfiguration("operator", func(doc *configuration.Document) error {
			doc.Zones[0].OutOfService = true
			return nil
		})
		require.NoError(t, err)
		fl.logf("operator takes mid-a out")
		time.Sleep(3 * time.Second)
		for _, name := range fl.hostNames {
			_, err = fl.nodes[name].sendChat("out-"+name, tokenHartlebury, "crew", "which steel for "+name)
			require.NoError(t, err)
		}
		_, err = fl.changeConfiguration("operator", func(doc *configuration.Document) error {
			doc.Zones[0].OutOfService = false
			doc.Zones[0].InServiceSinceMs = time.Now().UnixMilli()
			return nil
		})
		require.NoError(t, err)
		fl.logf("operator brings mid-a back")
		time.Sleep(45 * time.Second)
		for _, name := range fl.hostNames {
			_, err = fl.nodes[name].sendChat("in-"+name, tokenHartlebury, "crew", "which steel for "+name)
			require.NoError(t, err)
		}
		fl.assertGolden()
	})
}

// TestSessionEngineDiesMidStream crashes the engine in the middle of an answer. The answer must resume at
// another engine without a lost or repeated token.
func TestSessionEngineDiesMidStream(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a", "mid-b"), "entry-1", "entry-2")
		for _, en := range fl.engines {
			en.withLock(func() { en.answerTokens = 8 })
		}
		go func() {
			time.Sleep(60 * time.Millisecond)
			for _, en := range fl.engines {
				en.withLock(func() {
					if len(en.cancelByRun) > 0 {
						en.crash(5 * time.Second)
					}
				})
			}
		}()
		text, err := fl.nodes["entry-1"].sendChat("q1", tokenHartlebury, "crew", "hello")
		require.NoError(t, err)
		require.Equal(t, "v1.0 v1.1 v1.2 v1.3 v1.4 v1.5 v1.6 v1.7 ", text)
		fl.assertGolden()
	})
}

// TestSessionCrashingRequest sends a request that crashes each engine that runs it. All hosts must
// refuse it after two crashes, and still serve other requests.
func TestSessionCrashingRequest(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-a", "mid-b", "mid-b"), "entry-1", "entry-2")
		crashes := func() int {
			n := 0
			for _, en := range fl.engines {
				en.withLock(func() { n += en.crashCount })
			}
			return n
		}
		for _, en := range fl.engines {
			en.withLock(func() { en.crashOn = "POISON" })
		}
		_, err := fl.nodes["entry-1"].sendChat("p1", tokenHartlebury, "crew", "POISON")
		require.Error(t, err)
		for _, name := range []string{"entry-2", "entry-1"} {
			_, err = fl.nodes[name].sendChat("again-"+name, tokenHartlebury, "crew", "POISON")
			require.Equal(t, refusal.Quarantined, codeOf(err))
			require.Equal(t, refusal.NotRun, runStateOf(err))
		}
		require.LessOrEqual(t, crashes(), 2)
		time.Sleep(20 * time.Second)
		_, err = fl.nodes["entry-2"].sendChat("innocent", tokenHartlebury, "crew", "hello")
		require.NoError(t, err)
		fl.assertGolden()
	})
}

// TestSessionPlatformOutage takes the platform down for a minute. Chat must go on; bookings must be
// refused as not run, and can be sent again after the outage.
func TestSessionPlatformOutage(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a", "mid-b"), "entry-1", "entry-2")
		_, err := fl.nodes["entry-1"].sendBooking(tokenHartlebury, "before", "monday")
		require.NoError(t, err)
		fl.platform.withLock(func() { fl.platform.isDown = true })
		fl.logf("the key-value service goes down")
		time.Sleep(time.Minute)
		_, err = fl.nodes["entry-1"].sendChat("q1", tokenHartlebury, "crew", "hello")
		require.NoError(t, err, "chat does not depend on the platform")
		_, err = fl.nodes["entry-1"].sendBooking(tokenHartlebury, "during", "monday")
		require.Equal(t, refusal.LedgerUnavailable, codeOf(err))
		require.Equal(t, refusal.NotRun, runStateOf(err))
		require.Zero(t, fl.service.record.RunCount("during"))
		fl.platform.withLock(func() { fl.platform.isDown = false })
		fl.logf("the key-value service comes back")
		time.Sleep(10 * time.Second)
		_, err = fl.nodes["entry-2"].sendBooking(tokenHartlebury, "during", "monday")
		require.NoError(t, err, "a refused call may be sent again")
		require.Equal(t, 1, fl.service.record.RunCount("during"))
		fl.assertGolden()
	})
}
