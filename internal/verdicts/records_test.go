package verdicts_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/verdicts"
)

// verdict returns a verdict on a part that crashed an endpoint just now.
func (hs *hosts) verdict(part string, strikes int) quarantine.Verdict {
	return quarantine.Verdict{Part: part, Crashes: 4 + strikes, Strikes: strikes, LastCrash: hs.ck.Now(), Reporters: []string{"h1"}}
}

func TestOneHostWritesVerdictOnce(t *testing.T) {
	hs := startHosts(t, 4)
	hs.all[2].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(10 * time.Second)
	require.Equal(t, []string{"deadly"}, hs.st.parts(t))
	hs.all[2].tracker.RecordCrash(quarantine.PartCrash{ID: "late", Reporter: "h2", Scope: service, DetectedAt: hs.ck.Now().Add(-7 * time.Second), Parts: []string{"deadly"}})
	hs.run(5 * time.Second)
	commits, conflicts := hs.st.counts()
	require.Equal(t, 1, commits)
	require.Zero(t, conflicts)
	hs.all[3].tracker.Merge(hs.verdict("deadly", 2))
	hs.run(10 * time.Second)
	commits, conflicts = hs.st.counts()
	require.Equal(t, 2, commits)
	require.Zero(t, conflicts)
}

func TestVerdictIsWrittenWithoutTheFirstHost(t *testing.T) {
	hs := startHosts(t, 3)
	hs.all[0].stop()
	hs.all = hs.all[1:]
	hs.all[1].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(10 * time.Second)
	require.Equal(t, []string{"deadly"}, hs.st.parts(t))
}

func TestVerdictKeepsItsAgeAcrossRestart(t *testing.T) {
	hs := startHosts(t, 3)
	ve := hs.verdict("deadly", 2)
	hs.all[0].tracker.Merge(ve)
	hs.run(5 * time.Second)
	hs.stopAll()
	hs.ck.Advance(20 * time.Second)
	known := hs.start().tracker.Verdicts()
	require.Len(t, known, 1)
	require.WithinDuration(t, ve.LastCrash, known[0].LastCrash, time.Millisecond)
	known[0].LastCrash = ve.LastCrash
	require.Equal(t, ve, known[0])
	_, err := hs.all[0].tracker.Admit(service, []string{"deadly"})
	var blocked *quarantine.BlockedError
	require.ErrorAs(t, err, &blocked)
}

func TestClearedPartLeavesTheStore(t *testing.T) {
	hs := startHosts(t, 3)
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	require.Equal(t, []string{"deadly"}, hs.st.parts(t))
	hs.all[1].tracker.Clear(quarantine.Cleared{Part: "deadly", At: hs.ck.Now()})
	hs.run(time.Minute)
	require.Empty(t, hs.st.parts(t))
	hs.requireVerdicts()
	commits, _ := hs.st.counts()
	require.Equal(t, 2, commits)
}

func TestExpiredVerdictLeavesTheStore(t *testing.T) {
	hs := startHosts(t, 2)
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	hs.ck.Advance(time.Hour + 31*time.Second)
	hs.run(10 * time.Second)
	require.Empty(t, hs.st.parts(t))
	hs.requireVerdicts()
}

// Guards against items that return after their removal, since a host without contact to the store still had the verdict.
func TestRemovalByOperatorClearsPartOnAllHosts(t *testing.T) {
	hs := startHosts(t, 3)
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	hs.requireVerdicts("deadly")
	hs.all[1].isCutOff = true
	hs.st.erase("deadly")
	hs.run(10 * time.Second)
	hs.all[1].isCutOff = false
	hs.run(20 * time.Second)
	require.Empty(t, hs.st.parts(t))
	hs.requireVerdicts()
	commits, _ := hs.st.counts()
	require.Equal(t, 1, commits)
}

func TestRemovalSeenInSnapshotClearsPart(t *testing.T) {
	hs := startHosts(t, 1)
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	hs.st.erase("deadly")
	hs.all[0].list()
	hs.requireVerdicts()
	hs.run(5 * time.Second)
	require.Empty(t, hs.st.parts(t))
}

func TestPartThatCrashesAgainAfterRemovalIsWrittenAgain(t *testing.T) {
	hs := startHosts(t, 2)
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	hs.st.erase("deadly")
	hs.run(5 * time.Second)
	hs.requireVerdicts()
	hs.all[1].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	hs.requireVerdicts("deadly")
	require.Equal(t, []string{"deadly"}, hs.st.parts(t))
}

func TestClearedPartIsRemovedThoughAnotherHostWritesIt(t *testing.T) {
	hs := startHosts(t, 1)
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	stale := hs.verdict("deadly", 2)
	hs.run(2 * time.Second)
	hs.all[0].isCutOff = true
	hs.all[0].tracker.Clear(quarantine.Cleared{Part: "deadly", At: hs.ck.Now()})
	hs.st.write(t, stale)
	hs.run(3 * time.Second)
	_, conflicts := hs.st.counts()
	require.Positive(t, conflicts)
	hs.all[0].isCutOff = false
	hs.run(3 * time.Second)
	require.Empty(t, hs.st.parts(t))
	hs.requireVerdicts()
}

func TestItemOfPartClearedBeforeItIsReadIsRemoved(t *testing.T) {
	hs := startHosts(t, 1)
	stale := hs.verdict("deadly", 1)
	hs.ck.Advance(5 * time.Second)
	hs.all[0].tracker.RecordCrash(quarantine.PartCrash{ID: "first", Reporter: "h2", Scope: service, DetectedAt: hs.ck.Now(), Parts: []string{"deadly"}})
	hs.all[0].tracker.Clear(quarantine.Cleared{Part: "deadly", At: hs.ck.Now()})
	hs.st.write(t, stale)
	hs.run(3 * time.Second)
	require.Empty(t, hs.st.parts(t))
	hs.requireVerdicts()
}

// Guards against responses to requests that were running already, which undid what an operator had set.
func TestPartBlockedByOperatorStaysBlocked(t *testing.T) {
	hs := startHosts(t, 3)
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	hs.all[1].tracker.Clear(quarantine.Cleared{Part: "deadly", At: hs.ck.Now()})
	hs.run(step)
	ve := quarantine.Verdict{Part: "deadly", Strikes: 5, LastCrash: hs.ck.Now(), ByOperator: true}
	hs.st.write(t, ve)
	hs.run(step)
	hs.all[2].tracker.Clear(quarantine.Cleared{Part: "deadly", At: hs.ck.Now()})
	hs.run(10 * time.Second)
	hs.requireVerdicts("deadly")
	commits, _ := hs.st.counts()
	require.Equal(t, 1, commits, "hosts do not rewrite what an operator has set")
	hs.stopAll()
	hs.start()
	hs.all[0].tracker.Clear(quarantine.Cleared{Part: "deadly", At: hs.ck.Now()})
	hs.requireVerdicts("deadly")
	hs.st.erase("deadly")
	hs.run(5 * time.Second)
	hs.requireVerdicts()
	require.Empty(t, hs.st.parts(t))
}

// Guards against writes that grow with the number of parts.
func TestManyVerdictsTakeBoundedItemsAndWrites(t *testing.T) {
	hs := startHosts(t, 1)
	for i := range 200 {
		hs.all[0].tracker.Merge(hs.verdict(fmt.Sprint("part-", i), 1))
	}
	hs.all[0].tracker.Merge(hs.verdict("strongest", 3))
	hs.run(time.Second)
	commits, _ := hs.st.counts()
	require.LessOrEqual(t, commits, 4)
	require.Contains(t, hs.st.parts(t), "strongest")
	hs.run(20 * time.Second)
	require.Len(t, hs.st.parts(t), 32)
}

func TestFailedWriteIsLoggedAndRepeated(t *testing.T) {
	hs := startHosts(t, 1)
	hs.st.isDown = true
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(2 * time.Second)
	require.Contains(t, hs.all[0].logs.LastEntry().Data["cause"], errDown.Error())
	hs.st.mu.Lock()
	hs.st.isDown = false
	hs.st.mu.Unlock()
	hs.run(2 * time.Second)
	require.Equal(t, []string{"deadly"}, hs.st.parts(t))
}

func TestInvalidItemsAreLoggedAndLeft(t *testing.T) {
	hs := startHosts(t, 1)
	value, err := verdicts.Encode(hs.verdict("deadly", 1))
	require.NoError(t, err)
	for _, it := range []metastore.Item{
		{Key: prefix + "a", Value: []byte("{"), Revision: at(1)},
		{Key: prefix + "b", Value: []byte(`{"part":"%zz"}`), Revision: at(2)},
		{Key: prefix + "c", Value: value, Revision: at(3)},
		{Key: prefix + "d", Revision: at(4)},
	} {
		hs.all[0].logs.Reset()
		hs.all[0].records.ApplyEvent(metastore.Event{Item: it})
		require.Len(t, hs.all[0].logs.AllEntries(), 1, it.Key)
	}
	hs.run(3 * time.Second)
	hs.requireVerdicts()
	commits, conflicts := hs.st.counts()
	require.Zero(t, commits+conflicts)
}

func TestRecordHoldsAnyPart(t *testing.T) {
	now := clockwork.NewFakeClock().Now().Truncate(time.Millisecond)
	for _, part := range []string{"aa01", "a/b c%", "\xff\x00é\n", "\u2028"} {
		want := quarantine.Verdict{Part: part, Crashes: 3, Strikes: 2, LastCrash: now.Add(-time.Minute), Reporters: []string{"h1"}, Companions: []string{part + "2"}, ByOperator: true}
		value, err := verdicts.Encode(want)
		require.NoError(t, err)
		got, err := verdicts.Decode(value, now)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Regexp(t, "^hosts/quarantine/[0-9a-f]{32}$", verdicts.Key(prefix, part))
	}
}

func TestCrashInTheFutureCountsAsNow(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	value, err := verdicts.Encode(quarantine.Verdict{Part: "a", Strikes: 1, LastCrash: now.Add(time.Hour)})
	require.NoError(t, err)
	ve, err := verdicts.Decode(value, now)
	require.NoError(t, err)
	require.Equal(t, now, ve.LastCrash)
}

// Guards against a part that crashes endpoints again because the store was restored from a copy without its verdict, and
// against a block that an operator had removed and the copy still has.
func TestVerdictsRemainWhenStoreIsRestored(t *testing.T) {
	hs := startHosts(t, 3)
	operators := hs.verdict("unblocked", 1)
	operators.ByOperator = true
	hs.st.write(t, operators)
	hs.run(time.Second)
	restore := hs.backup()
	hs.all[0].tracker.Merge(hs.verdict("deadly", 1))
	hs.run(5 * time.Second)
	hs.st.erase("unblocked")
	hs.run(time.Second)
	hs.requireVerdicts("deadly")
	restore()
	hs.requireVerdicts("deadly")
	hs.run(10 * time.Second)
	hs.requireVerdicts("deadly")
	require.Equal(t, []string{"deadly"}, hs.st.parts(t))
}
