package quarantine_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const same = quarantine.Fingerprint("same")

// run reports that a request ran from began to at, in milliseconds from start.
func run(start time.Time, id string, began, at int) quarantine.Report {
	return quarantine.Report{
		Fingerprint: same, ID: id,
		Began: start.Add(time.Duration(began) * time.Millisecond), At: start.Add(time.Duration(at) * time.Millisecond),
	}
}

func TestCrashesInTurnRefuse(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewBoard(ck)
	require.Equal(t, quarantine.Clear, bd.Standing(same))
	bd.Record(run(ck.Now(), "a", 0, 40))
	bd.Record(run(ck.Now(), "a", 0, 40))
	require.Equal(t, quarantine.Suspected, bd.Standing(same), "two hosts told of one crash")
	bd.Record(run(ck.Now(), "b", 41, 60))
	require.Equal(t, quarantine.Refused, bd.Standing(same))
	ck.Advance(2 * time.Hour)
	require.Equal(t, quarantine.Clear, bd.Standing(same))
	require.Zero(t, bd.Size())
}

// A rack that loses power ends many endpoints at once, and equal lookups with them.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewBoard(ck)
	for i, id := range []string{"a", "b", "c", "d"} {
		bd.Record(run(ck.Now(), id, i, 40+i))
	}
	require.Equal(t, quarantine.Suspected, bd.Standing(same))
}

func TestAnswerClears(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd, other := quarantine.NewBoard(ck), quarantine.NewBoard(ck)
	first := run(ck.Now(), "a", 0, 40)
	bd.Record(first)
	other.Record(first)
	bd.Forget(same)
	require.Equal(t, quarantine.Clear, bd.Standing(same))
	crashes, cleared := bd.News()
	require.Empty(t, crashes)
	require.Equal(t, []quarantine.Fingerprint{same}, cleared)
	for _, fp := range cleared {
		other.Forget(fp)
	}
	require.Equal(t, quarantine.Clear, other.Standing(same))
	bd.Record(first)
	require.Equal(t, quarantine.Clear, bd.Standing(same), "old news arrive again")
	bd.Record(run(ck.Now(), "b", 100, 140))
	require.Equal(t, quarantine.Suspected, bd.Standing(same))
}

func TestNewsAreToldForAWhile(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewBoard(ck)
	bd.Record(run(ck.Now(), "a", -40, 0))
	crashes, _ := bd.News()
	require.Len(t, crashes, 1)
	ck.Advance(2 * time.Second)
	crashes, _ = bd.News()
	require.Empty(t, crashes)
}

// Under load the news of a first crash came later than that of the second, and the crashes seemed to
// overlap (failed once beside four busy processes).
func TestNewsWithDifferentDelaysKeepTheirOrder(t *testing.T) {
	ck := clockwork.NewFakeClock()
	bd := quarantine.NewBoard(ck)
	told := func(id, teller string, began, at, delay int) {
		re := run(ck.Now(), id, began+delay, at+delay)
		re.Teller = teller
		bd.Record(re)
	}
	told("a", "host-1", 0, 40, 300)
	told("b", "host-1", 41, 60, 20)
	told("a", "host-1", 0, 40, 20)
	require.Equal(t, quarantine.Refused, bd.Standing(same), "one digest has told both")
	bd = quarantine.NewBoard(ck)
	told("a", "host-1", 0, 40, 0)
	told("b", "host-2", 0, 40, 300)
	require.Equal(t, quarantine.Suspected, bd.Standing(same), "two hosts told of one moment")
	told("c", "host-2", 2000, 2040, 0)
	require.Equal(t, quarantine.Refused, bd.Standing(same))
}
