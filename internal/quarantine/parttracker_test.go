package quarantine_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const service = "engines"

// newParts returns a tracker of a fleet with one host, and a clock.
func newParts() (*quarantine.PartTracker, *clockwork.FakeClock) {
	ck := clockwork.NewFakeClock()
	return quarantine.NewPartTracker(quarantine.PartOptions{Clock: ck, Host: "host"}), ck
}

func blockedPart(tr *quarantine.PartTracker, parts ...string) string {
	ru, err := tr.Admit(service, parts)
	ru.End()
	var blocked *quarantine.BlockedError
	if errors.As(err, &blocked) {
		return blocked.Part()
	}
	return ""
}

func succeed(t *testing.T, tr *quarantine.PartTracker, parts ...string) {
	t.Helper()
	ru, err := tr.Admit(service, parts)
	require.NoError(t, err)
	ru.Succeeded()
	ru.End()
}

// crashTimes records crashes of a part at different endpoints, one each interval, and responses to other requests.
func crashTimes(t *testing.T, tr *quarantine.PartTracker, ck *clockwork.FakeClock, count int, interval time.Duration) {
	t.Helper()
	for i := range count {
		tr.RecordCrash(quarantine.PartCrash{
			ID: fmt.Sprintf("%d@%d", i, ck.Now().UnixMilli()), Reporter: "other", Scope: service, DetectedAt: ck.Now(), Parts: []string{"team", fmt.Sprint("session-", i), "deadly"},
		})
		ck.Advance(interval)
		succeed(t, tr, "team", "session")
	}
}

func TestPartOfConsecutiveCrashesIsBlocked(t *testing.T) {
	tr, ck := newParts()
	crashTimes(t, tr, ck, 3, 400*time.Millisecond)
	require.Equal(t, "deadly", blockedPart(tr, "team", "session", "deadly"))
	require.Empty(t, blockedPart(tr, "team", "session-1"))
	verdicts := tr.Verdicts()
	require.Len(t, verdicts, 1)
	require.Equal(t, 3, verdicts[0].Crashes)
	require.Equal(t, []string{"other"}, verdicts[0].Reporters)
}

// Guards against refusing the requests of a team after a zone lost power.
func TestCrashesOfOneIncidentBlockNoPart(t *testing.T) {
	tr, ck := newParts()
	crashTimes(t, tr, ck, 9, 10*time.Millisecond)
	ck.Advance(time.Second)
	for range 3 {
		ru, err := tr.Admit(service, []string{"deadly"})
		require.NoError(t, err)
		defer ru.End()
	}
}

// Guards against blocking prompts for crashes that end all endpoints of a service.
func TestCrashesWithoutAnyResponseBlockNoPart(t *testing.T) {
	tr, ck := newParts()
	for i := range 6 {
		tr.RecordCrash(quarantine.PartCrash{ID: fmt.Sprint(i), Reporter: "other", Scope: service, DetectedAt: ck.Now(), Parts: []string{"team"}})
		ck.Advance(time.Second)
	}
	require.Empty(t, blockedPart(tr, "team"))
	require.Empty(t, tr.Verdicts())
}

func TestResponseClearsParts(t *testing.T) {
	tr, ck := newParts()
	crashTimes(t, tr, ck, 2, time.Second)
	succeed(t, tr, "deadly")
	_, cleared, _ := tr.RecentChanges()
	require.Contains(t, cleared, quarantine.Cleared{Part: "deadly", At: ck.Now()})
	crashTimes(t, tr, ck, 2, time.Second)
	require.Empty(t, blockedPart(tr, "deadly"))
	require.Empty(t, tr.Verdicts())
}

func TestRunWithEventAccusesNothing(t *testing.T) {
	tr, ck := newParts()
	ru, err := tr.Admit(service, []string{"team"})
	require.NoError(t, err)
	ru.Succeeded()
	ru.Crashed("a", ck.Now())
	ru.End()
	require.Zero(t, tr.SuspectCount())
}

func TestSuspectedPartIsTriedOneAtATime(t *testing.T) {
	tr, ck := newParts()
	crashTimes(t, tr, ck, 2, 400*time.Millisecond)
	ru, err := tr.Admit(service, []string{"deadly"})
	require.NoError(t, err)
	_, err = tr.Admit(service, []string{"deadly"})
	var blocked *quarantine.BlockedError
	require.ErrorAs(t, err, &blocked)
	require.True(t, blocked.IsTransient())
	ru.End()
	require.Empty(t, blockedPart(tr, "deadly"))
}

func TestTrialThatCrashesExtendsTheBlock(t *testing.T) {
	tr, ck := newParts()
	crashTimes(t, tr, ck, 3, 400*time.Millisecond)
	for _, block := range []time.Duration{30 * time.Second, 2 * time.Minute, 8 * time.Minute, 32 * time.Minute, time.Hour, time.Hour} {
		require.Equal(t, "deadly", blockedPart(tr, "deadly"))
		ck.Advance(block - 2*time.Second)
		require.Equal(t, "deadly", blockedPart(tr, "deadly"), "%s", block)
		ck.Advance(2100 * time.Millisecond)
		ru, err := tr.Admit(service, []string{"deadly"})
		require.NoError(t, err, "%s", block)
		require.Equal(t, "deadly", blockedPart(tr, "deadly"))
		ru.Crashed(fmt.Sprint(block, ck.Now()), ck.Now())
		ru.End()
	}
	require.Equal(t, 9, tr.Verdicts()[0].Crashes)
}

func TestRequestWithoutCompanionIsTriedBeforeTheBlockEnds(t *testing.T) {
	tr, ck := newParts()
	for i := range 3 {
		tr.RecordCrash(quarantine.PartCrash{ID: fmt.Sprint(i), Reporter: "other", Scope: service, DetectedAt: ck.Now(), Parts: []string{"session", "deadly"}})
		ck.Advance(time.Second)
		succeed(t, tr, "team")
	}
	require.Equal(t, "session", blockedPart(tr, "session", "deadly"))
	require.Len(t, tr.Verdicts(), 2)
	require.Equal(t, []string{"session"}, tr.Verdicts()[0].Companions)
	succeed(t, tr, "session")
	require.Len(t, tr.Verdicts(), 1)
	require.Equal(t, "deadly", blockedPart(tr, "session", "deadly"))
	require.Equal(t, "deadly", blockedPart(tr, "deadly"), "its companion is cleared, so the evidence is unambiguous")
}

func TestOneHostTriesBlockedPart(t *testing.T) {
	ck := clockwork.NewFakeClock()
	var names []string
	for i := range 295 {
		names = append(names, fmt.Sprint("host-", i))
	}
	var fleet []*quarantine.PartTracker
	for _, name := range names {
		tr := quarantine.NewPartTracker(quarantine.PartOptions{Clock: ck, Host: name, Hosts: func() []string { return names }})
		tr.Merge(quarantine.Verdict{Part: "deadly", Crashes: 5, Strikes: 1, LastCrash: ck.Now()})
		fleet = append(fleet, tr)
	}
	ck.Advance(31 * time.Second)
	tried := 0
	for _, tr := range fleet {
		if blockedPart(tr, "deadly") == "" {
			tried++
		}
	}
	require.Equal(t, 1, tried)
}

func TestVerdictsMergeAndIgnoreClearedParts(t *testing.T) {
	tr, ck := newParts()
	tr.Merge(quarantine.Verdict{Part: "a", Crashes: 4, Strikes: 1, LastCrash: ck.Now(), Reporters: []string{"h1"}})
	tr.Merge(quarantine.Verdict{Part: "a", Crashes: 6, Strikes: 2, LastCrash: ck.Now().Add(-time.Second), Reporters: []string{"h2"}})
	require.Equal(t, []quarantine.Verdict{{Part: "a", Crashes: 6, Strikes: 2, LastCrash: ck.Now().Add(-time.Second), Reporters: []string{"h1", "h2"}}}, tr.Verdicts())
	old := tr.Verdicts()[0]
	ck.Advance(3 * time.Second)
	tr.Clear(quarantine.Cleared{Part: "a", At: ck.Now()})
	tr.Merge(old)
	require.Empty(t, tr.Verdicts())
	_, cleared, _ := tr.RecentChanges()
	require.Equal(t, []quarantine.Cleared{{Part: "a", At: ck.Now()}}, cleared)
	tr.Block("a")
	require.Equal(t, "a", blockedPart(tr, "a"))
}

func TestResponseClearsPartOfOperatorAfterTheBlock(t *testing.T) {
	tr, ck := newParts()
	ve := quarantine.Verdict{Part: "a", Strikes: 1, LastCrash: ck.Now(), ByOperator: true}
	require.True(t, tr.Merge(ve))
	tr.Clear(quarantine.Cleared{Part: "a", At: ck.Now()})
	require.Equal(t, "a", blockedPart(tr, "a"))
	ck.Advance(31 * time.Second)
	succeed(t, tr, "a")
	require.Empty(t, tr.Verdicts())
	require.False(t, tr.Merge(quarantine.Verdict{Part: "a", Strikes: 1, LastCrash: ck.Now()}))
	ve.LastCrash = ck.Now()
	require.True(t, tr.Merge(ve))
	require.Equal(t, "a", blockedPart(tr, "a"))
	tr.Release("a")
	require.Empty(t, blockedPart(tr, "a"))
}

// Guards against relayed verdicts whose age shrinks with each relay, so that a block would never end.
func TestEchoedVerdictKeepsItsAge(t *testing.T) {
	tr, ck := newParts()
	tr.Merge(quarantine.Verdict{Part: "a", Crashes: 4, Strikes: 1, LastCrash: ck.Now()})
	first := tr.Verdicts()[0].LastCrash
	for range 100 {
		ck.Advance(200 * time.Millisecond)
		ve := tr.Verdicts()[0]
		ve.LastCrash = ve.LastCrash.Add(200 * time.Millisecond)
		tr.Merge(ve)
	}
	require.Equal(t, first, tr.Verdicts()[0].LastCrash)
}

// Guards against memory that grows with the number of parts, and against new parts that displace known ones.
func TestManyPartsTakeBoundedMemoryAndKeepVerdicts(t *testing.T) {
	tr, ck := newParts()
	crashTimes(t, tr, ck, 3, 400*time.Millisecond)
	require.Equal(t, "deadly", blockedPart(tr, "deadly"))
	for i := range 20000 {
		ck.Advance(time.Millisecond)
		tr.RecordCrash(quarantine.PartCrash{
			ID: fmt.Sprint("c", i), Reporter: "other", Scope: service, DetectedAt: ck.Now(),
			Parts: []string{fmt.Sprint("x", i), fmt.Sprint("y", i), fmt.Sprint("z", i)},
		})
	}
	require.LessOrEqual(t, tr.SuspectCount(), 4096)
	require.Equal(t, "deadly", blockedPart(tr, "deadly"))
	for i := range 1000 {
		tr.Merge(quarantine.Verdict{Part: fmt.Sprint("v", i), Crashes: 1, Strikes: 1, LastCrash: ck.Now()})
	}
	require.Len(t, tr.Verdicts(), 256)
	_, _, sent := tr.RecentChanges()
	require.Len(t, sent, 32)
	require.Equal(t, "deadly", sent[0].Part)
}

// Guards against a response whose announcement, repeated for two seconds, cleared the crashes after it.
func TestPartThatCrashesAfterAResponseIsBlocked(t *testing.T) {
	ck := clockwork.NewFakeClock()
	hosts := func() []string { return []string{"a", "b"} }
	var fleet []*quarantine.PartTracker
	for _, name := range hosts() {
		fleet = append(fleet, quarantine.NewPartTracker(quarantine.PartOptions{Clock: ck, Host: name, Hosts: hosts}))
	}
	sent := 0
	for step := range 1200 {
		tr, other := fleet[step/20%2], fleet[(step/20+1)%2]
		if ru, err := tr.Admit(service, []string{"deadly"}); step%20 == 0 && err == nil {
			if sent++; sent == 2 {
				ru.Succeeded()
			} else {
				ru.Crashed(fmt.Sprint("crash-", step), ck.Now())
			}
			ru.End()
		}
		ru, err := other.Admit(service, []string{"sound"})
		require.NoError(t, err)
		ru.Succeeded()
		ru.End()
		ck.Advance(50 * time.Millisecond)
		for i, from := range fleet {
			crashes, cleared, verdicts := from.RecentChanges()
			for _, pc := range crashes {
				fleet[1-i].RecordCrash(pc)
			}
			for _, cl := range cleared {
				fleet[1-i].Clear(cl)
			}
			for _, ve := range verdicts {
				fleet[1-i].Merge(ve)
			}
		}
	}
	require.LessOrEqual(t, sent, 8)
}

func TestPartOfFullEnginesIsBlocked(t *testing.T) {
	tr, ck := newParts()
	for i := range 20 {
		for reporter := range 12 {
			var parts []string
			for k := range 6 {
				parts = append(parts, fmt.Sprintf("session-%d-%d-%d", i, reporter, k))
			}
			if reporter == 11 {
				parts = append(parts, "deadly")
			}
			tr.RecordCrash(quarantine.PartCrash{ID: fmt.Sprint(i), Reporter: fmt.Sprint("h", reporter), Scope: service, DetectedAt: ck.Now(), Parts: parts})
		}
		ck.Advance(400 * time.Millisecond)
		succeed(t, tr, "team")
	}
	require.Equal(t, "deadly", blockedPart(tr, "deadly"))
}

func TestTellingCompanionsApartCostsAtMostThreeCrashes(t *testing.T) {
	tr, ck := newParts()
	all := []string{"a", "b", "c", "d", "deadly"}
	for i := range 5 {
		tr.RecordCrash(quarantine.PartCrash{ID: fmt.Sprint(i), Reporter: "other", Scope: service, DetectedAt: ck.Now(), Parts: all})
		ck.Advance(700 * time.Millisecond)
		succeed(t, tr, "team")
	}
	ck.Advance(4 * time.Second)
	sent := 0
	for i := range 40 {
		ck.Advance(500 * time.Millisecond)
		parts := slices.Delete(slices.Clone(all), i%4, i%4+1)
		if ru, err := tr.Admit(service, parts); err == nil {
			sent++
			ru.Crashed(fmt.Sprint("trial-", i), ck.Now())
			ru.End()
		}
	}
	require.LessOrEqual(t, sent, 3)
}

// Guards against a host that is not registered, and tries a blocked part beside the one whose turn it is.
func TestUnregisteredHostTriesNoBlockedPart(t *testing.T) {
	ck := clockwork.NewFakeClock()
	hosts := []string{"other"}
	tr := quarantine.NewPartTracker(quarantine.PartOptions{Clock: ck, Host: "host", Hosts: func() []string { return hosts }})
	tr.Merge(quarantine.Verdict{Part: "deadly", Crashes: 5, Strikes: 1, LastCrash: ck.Now(), Reporters: []string{"other"}})
	ck.Advance(31 * time.Second)
	_, err := tr.Admit(service, []string{"deadly"})
	require.Error(t, err)
	hosts = []string{"host"}
	_, err = tr.Admit(service, []string{"deadly"})
	require.NoError(t, err)
}
