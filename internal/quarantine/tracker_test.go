package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const fingerprint = quarantine.Fingerprint("same")

// report returns a crash report for a run from runStartMs to detectedAtMs, both in milliseconds from start.
func report(start time.Time, id string, runStartMs, detectedAtMs int) quarantine.Report {
	return quarantine.Report{
		Fingerprint: fingerprint, CrashID: id,
		RunStart: start.Add(time.Duration(runStartMs) * time.Millisecond), DetectedAt: start.Add(time.Duration(detectedAtMs) * time.Millisecond),
	}
}

func TestTwoConsecutiveCrashesRefuseTheRequest(t *testing.T) {
	ck := clockwork.NewFakeClock()
	tr := quarantine.NewTracker(ck)
	require.Equal(t, quarantine.Clear, tr.State(fingerprint))
	tr.RecordReport(report(ck.Now(), "a", 0, 40))
	tr.RecordReport(report(ck.Now(), "a", 0, 40))
	require.Equal(t, quarantine.Suspected, tr.State(fingerprint), "two reports of one crash count once")
	tr.RecordReport(report(ck.Now(), "b", 41, 60))
	require.Equal(t, quarantine.Refused, tr.State(fingerprint))
	ck.Advance(2 * time.Hour)
	require.Equal(t, quarantine.Clear, tr.State(fingerprint))
	require.Zero(t, tr.SuspectCount())
}

// Guards against refusing requests after a rack lost power, which ends many endpoints at once while equal
// lookups run on them.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	ck := clockwork.NewFakeClock()
	tr := quarantine.NewTracker(ck)
	for i, id := range []string{"a", "b", "c", "d"} {
		tr.RecordReport(report(ck.Now(), id, i, 40+i))
	}
	require.Equal(t, quarantine.Suspected, tr.State(fingerprint))
}

func TestClearSuspectClearsTheRequest(t *testing.T) {
	ck := clockwork.NewFakeClock()
	tr, other := quarantine.NewTracker(ck), quarantine.NewTracker(ck)
	first := report(ck.Now(), "a", 0, 40)
	tr.RecordReport(first)
	other.RecordReport(first)
	tr.ClearSuspect(fingerprint)
	require.Equal(t, quarantine.Clear, tr.State(fingerprint))
	crashes, cleared := tr.RecentChanges()
	require.Empty(t, crashes)
	require.Equal(t, []quarantine.ClearedRequest{{Fingerprint: fingerprint, At: ck.Now()}}, cleared)
	for _, cl := range cleared {
		other.MergeCleared(cl)
	}
	require.Equal(t, quarantine.Clear, other.State(fingerprint))
	tr.RecordReport(first)
	require.Equal(t, quarantine.Clear, tr.State(fingerprint), "a late report of a cleared crash does not count")
	tr.RecordReport(report(ck.Now(), "b", 100, 140))
	require.Equal(t, quarantine.Suspected, tr.State(fingerprint))
}

func TestRecentChangesExpire(t *testing.T) {
	ck := clockwork.NewFakeClock()
	tr := quarantine.NewTracker(ck)
	tr.RecordReport(report(ck.Now(), "a", -40, 0))
	crashes, _ := tr.RecentChanges()
	require.Len(t, crashes, 1)
	ck.Advance(2 * time.Second)
	crashes, _ = tr.RecentChanges()
	require.Empty(t, crashes)
}

// Guards against delays that reorder crashes: on a machine with four other busy processes the report of the
// first crash arrived later than that of the second, so that the two seemed to overlap.
func TestReportsWithDifferentDelaysKeepTheirOrder(t *testing.T) {
	ck := clockwork.NewFakeClock()
	tr := quarantine.NewTracker(ck)
	record := func(id, reporter string, runStartMs, detectedAtMs, delay int) {
		re := report(ck.Now(), id, runStartMs+delay, detectedAtMs+delay)
		re.Reporter = reporter
		tr.RecordReport(re)
	}
	record("a", "host-1", 0, 40, 300)
	record("b", "host-1", 41, 60, 20)
	record("a", "host-1", 0, 40, 20)
	require.Equal(t, quarantine.Refused, tr.State(fingerprint), "a repeated report with a shorter delay corrects the time")
	tr = quarantine.NewTracker(ck)
	record("a", "host-1", 0, 40, 0)
	record("b", "host-2", 0, 40, 300)
	require.Equal(t, quarantine.Suspected, tr.State(fingerprint), "two hosts reported crashes of the same time")
	record("c", "host-2", 2000, 2040, 0)
	require.Equal(t, quarantine.Refused, tr.State(fingerprint))
}

// relay sends what one host tells the others to another one.
func relay(from, to *quarantine.Tracker) {
	crashes, cleared := from.RecentChanges()
	for _, cr := range crashes {
		to.RecordReport(cr)
	}
	for _, cl := range cleared {
		to.MergeCleared(cl)
	}
}

func TestHostThatStartsLaterRefusesCrashingRequest(t *testing.T) {
	ck := clockwork.NewFakeClock()
	first, later := quarantine.NewTracker(ck), quarantine.NewTracker(ck)
	for i := range 3 {
		first.RecordCrash(fmt.Sprint(i), fingerprint)
		ck.Advance(time.Second)
	}
	require.Equal(t, quarantine.Refused, first.State(fingerprint))
	ck.Advance(3 * time.Second)
	for range 100 {
		relay(first, later)
		ck.Advance(50 * time.Millisecond)
	}
	require.Equal(t, quarantine.Refused, later.State(fingerprint))
}

func TestRequestThatCrashesAfterAResponseIsRefused(t *testing.T) {
	ck := clockwork.NewFakeClock()
	hosts := []*quarantine.Tracker{quarantine.NewTracker(ck), quarantine.NewTracker(ck)}
	refused := 0
	for i := range 1200 {
		host := i / 20 % 2
		switch {
		case i%20 != 0:
		case hosts[host].State(fingerprint) == quarantine.Refused:
			refused++
		case i == 20:
			hosts[host].ClearSuspect(fingerprint)
		default:
			hosts[host].RecordReport(quarantine.Report{
				Fingerprint: fingerprint, CrashID: fmt.Sprint(i), Reporter: fmt.Sprint(host),
				RunStart: ck.Now().Add(-time.Millisecond), DetectedAt: ck.Now(),
			})
		}
		ck.Advance(25 * time.Millisecond)
		relay(hosts[0], hosts[1])
		ck.Advance(25 * time.Millisecond)
		relay(hosts[1], hosts[0])
	}
	require.Greater(t, refused, 50)
}
