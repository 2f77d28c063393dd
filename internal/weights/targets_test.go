package weights_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

func TestOlderVersionExpires(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	ho := startHost(t, ck, st)
	run(t, ck, 5*time.Second, ho)
	require.Equal(t, uint64(1), ho.targets.Target(modelName))
	st.selectVersion(2)
	ho.deliver()
	require.Equal(t, uint64(2), ho.targets.Target(modelName))
	run(t, ck, maxAge-100*time.Millisecond, ho)
	require.False(t, ho.targets.IsExpired(modelName, 1))
	run(t, ck, 200*time.Millisecond, ho)
	require.True(t, ho.targets.IsExpired(modelName, 1))
	require.False(t, ho.targets.IsExpired(modelName, 2))
}

func TestRestartedHostReadsTheAgeFromTheRecord(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	first := startHost(t, ck, st)
	run(t, ck, 5*time.Second, first)
	st.selectVersion(2)
	first.deliver()
	run(t, ck, 3*time.Second, first)
	first.stop()
	ck.Advance(5 * time.Second)
	second := startHost(t, ck, st)
	run(t, ck, maxAge-8100*time.Millisecond, second)
	require.False(t, second.targets.IsExpired(modelName, 1))
	run(t, ck, 200*time.Millisecond, second)
	require.True(t, second.targets.IsExpired(modelName, 1))
}

func TestVersionNamedWhileAllHostsWereDownExpiresInTime(t *testing.T) {
	for _, downtime := range []time.Duration{time.Second, 6 * time.Second, time.Minute} {
		t.Run(downtime.String(), func(t *testing.T) {
			ck, st := clockwork.NewFakeClock(), newMemoryStore()
			st.selectVersion(1)
			first, second := startHost(t, ck, st), startHost(t, ck, st)
			run(t, ck, 10*time.Second, first, second)
			first.stop()
			second.stop()
			st.selectVersion(2)
			ck.Advance(downtime)
			restarted := startHost(t, ck, st)
			run(t, ck, maxAge+100*time.Millisecond-downtime, restarted)
			require.True(t, restarted.targets.IsExpired(modelName, 1))
			require.False(t, restarted.targets.IsExpired(modelName, 2))
		})
	}
}

func TestFirstVersionNamedWhileAllHostsWereDownExpiresInTime(t *testing.T) {
	const downtime = time.Second
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	first := startHost(t, ck, st)
	run(t, ck, 10*time.Second, first)
	first.stop()
	st.selectVersion(2)
	ck.Advance(downtime)
	restarted := startHost(t, ck, st)
	run(t, ck, maxAge-downtime+100*time.Millisecond, restarted)
	require.True(t, restarted.targets.IsExpired(modelName, 1))
}

func TestVersionNamedInAShortDowntimeIsUsedForMostOfItsTime(t *testing.T) {
	// Checkpoints are two seconds apart, and a host checks every second whether one is due.
	const downtime, uncertainty = time.Second, 3 * time.Second
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	first := startHost(t, ck, st)
	run(t, ck, 10*time.Second, first)
	first.stop()
	st.selectVersion(2)
	ck.Advance(downtime)
	restarted := startHost(t, ck, st)
	run(t, ck, maxAge-downtime-uncertainty-100*time.Millisecond, restarted)
	require.False(t, restarted.targets.IsExpired(modelName, 1))
}

func TestHostThatLostTheStoreCountsTheAgeFromItsLastContact(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	ho := startHost(t, ck, st)
	run(t, ck, 5*time.Second, ho)
	ho.targets.Interrupt()
	st.selectVersion(2)
	ck.Advance(6 * time.Second)
	ho.deliver()
	run(t, ck, maxAge-6*time.Second+100*time.Millisecond, ho)
	require.True(t, ho.targets.IsExpired(modelName, 1))
}

func TestSuspendedHostCountsTheTimeOfItsSuspension(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	ho := startHost(t, ck, st)
	run(t, ck, 5*time.Second, ho)
	st.selectVersion(2)
	ho.deliver()
	ho.suspended += 8 * time.Second
	run(t, ck, maxAge-8*time.Second+100*time.Millisecond, ho)
	require.True(t, ho.targets.IsExpired(modelName, 1))
}

func TestCheckpointIsNotWrittenOverASelectionThatNoHostHasSeen(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	first := startHost(t, ck, st)
	run(t, ck, 10*time.Second, first)
	st.selectVersion(2)
	advance(t, ck, 4*time.Second, 1)
	first.stop()
	restarted := startHost(t, ck, st)
	run(t, ck, maxAge-4*time.Second+100*time.Millisecond, restarted)
	require.True(t, restarted.targets.IsExpired(modelName, 1))
}

func TestOneHostAtATimeWritesCheckpoints(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	hosts := []*host{startHost(t, ck, st), startHost(t, ck, st), startHost(t, ck, st)}
	run(t, ck, 5*time.Second, hosts...)
	before := st.commits
	run(t, ck, 60*time.Second, hosts...)
	require.LessOrEqual(t, st.commits-before, 30)
	require.GreaterOrEqual(t, st.commits-before, 20)
}

func TestVersionNamedWhileARecordIsWrittenIsRecorded(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	ho := startHost(t, ck, st)
	run(t, ck, 5*time.Second, ho)
	st.onCommit = func(tx metastore.Transaction) {
		if strings.HasPrefix(tx.Puts[0].Key, recordPrefix) {
			st.onCommit = nil
			st.selectVersion(3)
			ho.deliver()
		}
	}
	st.selectVersion(2)
	ho.deliver()
	run(t, ck, 6*time.Second, ho)
	ho.stop()
	require.Contains(t, string(st.items[recordPrefix+modelName].Value), `"3":`)
}

func TestVersionNamedInTheFirstSecondsOfAFleetExpiresInTime(t *testing.T) {
	const downtime = 3 * time.Second
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	first := startHost(t, ck, st)
	run(t, ck, 1500*time.Millisecond, first)
	first.stop()
	st.selectVersion(2)
	ck.Advance(downtime)
	restarted := startHost(t, ck, st)
	run(t, ck, maxAge-downtime+100*time.Millisecond, restarted)
	require.True(t, restarted.targets.IsExpired(modelName, 1))
}

func TestVersionWithoutARecordIsAtLeastAsOldAsALaterCheckpoint(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	first := startHost(t, ck, st)
	run(t, ck, 5*time.Second, first)
	st.selectVersion(2)
	run(t, ck, 5*time.Second, first)
	first.stop()
	delete(st.items, recordPrefix+modelName)
	ck.Advance(10 * time.Second)
	restarted := startHost(t, ck, st)
	run(t, ck, maxAge-10*time.Second+time.Second, restarted)
	require.True(t, restarted.targets.IsExpired(modelName, 1))
}

func TestRecordKeepsTheAgeOfAVersionBelowAMuchHigherOne(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	first := startHost(t, ck, st)
	run(t, ck, 5*time.Second, first)
	st.selectVersion(2)
	run(t, ck, 10*time.Second, first)
	st.selectVersion(9)
	run(t, ck, 3*time.Second, first)
	first.stop()
	ck.Advance(time.Second)
	second := startHost(t, ck, st)
	run(t, ck, 2*time.Second, second)
	require.True(t, second.targets.IsExpired(modelName, 1))
}

func TestRecordOfAHostWhoseClockIsBehindDoesNotExpireWeightsEarly(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	ho := startHost(t, ck, st)
	run(t, ck, 5*time.Second, ho)
	st.selectVersion(2)
	ho.deliver()
	value := fmt.Sprintf(`{"2":%d}`, ck.Now().Add(-maxAge-5*time.Second).UnixMilli())
	require.NoError(t, ho.targets.ApplyItem(metastore.Item{Key: recordPrefix + modelName, Revision: at(99), Value: []byte(value)}))
	run(t, ck, maxAge-time.Second, ho)
	require.False(t, ho.targets.IsExpired(modelName, 1))
}

func TestVersionNamedAfterAQuietTimeCountsFromItsChange(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	ho := startHost(t, ck, st)
	run(t, ck, 5*time.Second, ho)
	// A relay confirms the state without a call as long as nothing changes.
	ck.Advance(10 * time.Second)
	st.selectVersion(2)
	ho.deliver()
	run(t, ck, maxAge-time.Second, ho)
	require.False(t, ho.targets.IsExpired(modelName, 1))
}

func TestStepOfTheWallClockDoesNotChangeStoredAges(t *testing.T) {
	for _, step := range []time.Duration{-3 * time.Second, 3 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			ck, st := clockwork.NewFakeClock(), newMemoryStore()
			st.selectVersion(1)
			first := startHost(t, ck, st)
			run(t, ck, 10*time.Second, first)
			first.clockStep = step
			st.selectVersion(2)
			first.deliver()
			run(t, ck, 5*time.Second, first)
			first.stop()
			restarted := startHost(t, ck, st)
			run(t, ck, maxAge-5*time.Second-200*time.Millisecond, restarted)
			require.False(t, restarted.targets.IsExpired(modelName, 1))
			run(t, ck, 400*time.Millisecond, restarted)
			require.True(t, restarted.targets.IsExpired(modelName, 1))
		})
	}
}

func TestLastingStepOfTheWallClockIsAdopted(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	first := startHost(t, ck, st)
	run(t, ck, 10*time.Second, first)
	first.clockStep = time.Hour
	run(t, ck, 2*time.Minute, first)
	st.selectVersion(2)
	first.deliver()
	run(t, ck, 5*time.Second, first)
	first.stop()
	var record map[uint64]int64
	require.NoError(t, json.Unmarshal(st.items[recordPrefix+modelName].Value, &record))
	require.InDelta(t, ck.Now().Add(time.Hour-5*time.Second).UnixMilli(), record[2], 1)
}

// Guards against a record that hosts believe to be in a store which was restored from a copy without it, and against
// a checkpoint that counts as older because its revision was given out before.
func TestRecordsAreWrittenAgainWhenStoreIsRestored(t *testing.T) {
	ck, st := clockwork.NewFakeClock(), newMemoryStore()
	st.selectVersion(1)
	ho := startHost(t, ck, st)
	run(t, ck, 10*time.Second, ho)
	require.True(t, st.has(recordPrefix+modelName) && st.has(checkpointKey))
	st.restoreEmpty()
	ho.applied = metastore.Revision{}
	ho.targets.Restore()
	run(t, ck, 10*time.Second, ho)
	require.True(t, st.has(recordPrefix+modelName) && st.has(checkpointKey))
	first := st.items[checkpointKey].Revision
	run(t, ck, 10*time.Second, ho)
	require.True(t, st.items[checkpointKey].Revision.After(first))
}
