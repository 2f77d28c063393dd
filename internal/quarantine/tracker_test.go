package quarantine_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const fingerprint = quarantine.Fingerprint("same")

// report returns a crash report for a run from began to at, both in milliseconds from start.
func report(start time.Time, id string, began, at int) quarantine.Report {
	return quarantine.Report{
		Fingerprint: fingerprint, CrashID: id,
		RunStart: start.Add(time.Duration(began) * time.Millisecond), DetectedAt: start.Add(time.Duration(at) * time.Millisecond),
	}
}

func TestTwoConsecutiveCrashesRefuseTheRequest(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewTracker(ck)
	require.Equal(t, quarantine.Clear, bd.State(fingerprint))
	bd.RecordReport(report(ck.Now(), "a", 0, 40))
	bd.RecordReport(report(ck.Now(), "a", 0, 40))
	require.Equal(t, quarantine.Suspected, bd.State(fingerprint), "two reports of one crash count once")
	bd.RecordReport(report(ck.Now(), "b", 41, 60))
	require.Equal(t, quarantine.Refused, bd.State(fingerprint))
	ck.Advance(2 * time.Hour)
	require.Equal(t, quarantine.Clear, bd.State(fingerprint))
	require.Zero(t, bd.SuspectCount())
}

// Guards against refusing requests after a rack lost power, which ends many endpoints at once while equal
// lookups run on them.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewTracker(ck)
	for i, id := range []string{"a", "b", "c", "d"} {
		bd.RecordReport(report(ck.Now(), id, i, 40+i))
	}
	require.Equal(t, quarantine.Suspected, bd.State(fingerprint))
}

func TestForgetClearsTheRequest(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd, other := quarantine.NewTracker(ck), quarantine.NewTracker(ck)
	first := report(ck.Now(), "a", 0, 40)
	bd.RecordReport(first)
	other.RecordReport(first)
	bd.ClearSuspect(fingerprint)
	require.Equal(t, quarantine.Clear, bd.State(fingerprint))
	crashes, cleared := bd.RecentChanges()
	require.Empty(t, crashes)
	require.Equal(t, []quarantine.Fingerprint{fingerprint}, cleared)
	for _, fp := range cleared {
		other.ClearSuspect(fp)
	}
	require.Equal(t, quarantine.Clear, other.State(fingerprint))
	bd.RecordReport(first)
	require.Equal(t, quarantine.Clear, bd.State(fingerprint), "a late report of a cleared crash does not count")
	bd.RecordReport(report(ck.Now(), "b", 100, 140))
	require.Equal(t, quarantine.Suspected, bd.State(fingerprint))
}

func TestNewsExpires(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewTracker(ck)
	bd.RecordReport(report(ck.Now(), "a", -40, 0))
	crashes, _ := bd.RecentChanges()
	require.Len(t, crashes, 1)
	ck.Advance(2 * time.Second)
	crashes, _ = bd.RecentChanges()
	require.Empty(t, crashes)
}

// Guards against delays that reorder crashes: under load the report of the first crash arrived later than
// that of the second, so that the two seemed to overlap (failed once beside four busy processes).
func TestReportsWithDifferentDelaysKeepTheirOrder(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewTracker(ck)
	record := func(id, reporter string, began, at, delay int) {
		re := report(ck.Now(), id, began+delay, at+delay)
		re.Reporter = reporter
		bd.RecordReport(re)
	}
	record("a", "host-1", 0, 40, 300)
	record("b", "host-1", 41, 60, 20)
	record("a", "host-1", 0, 40, 20)
	require.Equal(t, quarantine.Refused, bd.State(fingerprint), "a repeated report with a shorter delay corrects the time")
	bd = quarantine.NewTracker(ck)
	record("a", "host-1", 0, 40, 0)
	record("b", "host-2", 0, 40, 300)
	require.Equal(t, quarantine.Suspected, bd.State(fingerprint), "two hosts reported crashes of the same time")
	record("c", "host-2", 2000, 2040, 0)
	require.Equal(t, quarantine.Refused, bd.State(fingerprint))
}
