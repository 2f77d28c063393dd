package session_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bergamotway/bergamotway/internal/booking"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

// TestBookingHostKilledAfterIntent kills the host between intent and dispatch.
func TestBookingHostKilledAfterIntent(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2")
		a, b := w.nodes["entry-1"], w.nodes["entry-2"]
		req := booking.Request{ID: booking.NewID("hartlebury", "desk\x00visit"), Intent: "i-1", Body: "other"}
		d, _, err := a.control.Bookings.Begin(context.Background(), req)
		require.NoError(t, err)
		require.Equal(t, booking.Proceed, d.Verdict)
		a.stop()
		rec, err := b.control.Bookings.Look(context.Background(), req.ID)
		require.NoError(t, err)
		require.Equal(t, booking.Intended, rec.State)
		d, _, err = b.control.Bookings.Begin(context.Background(), booking.Request{ID: req.ID, Intent: "i-2", Body: "other"})
		require.NoError(t, err)
		require.Equal(t, booking.Pending, d.Verdict, "a second host must not run what the first may have run")
	})
}

// TestBookingHostKilledWhileServiceRuns kills the host between dispatch and outcome.
func TestBookingHostKilledWhileServiceRuns(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2")
		a, b := w.nodes["entry-1"], w.nodes["entry-2"]
		w.desk.set(func() { w.desk.wait = 20 * time.Second })
		go func() { _, _ = a.book(tokenHartlebury, "visit", "monday") }()
		time.Sleep(time.Second)
		a.set(func() { a.isDown = true })
		a.cancel()
		w.desk.set(func() { w.desk.wait = 0 })
		_, err := b.book(tokenHartlebury, "visit", "monday")
		require.Equal(t, refusal.OutcomeUnknown, codeOf(err))
		require.Equal(t, refusal.MayHaveRun, runOf(err))
		require.Equal(t, 1, w.desk.plain.Runs("visit"))
		time.Sleep(30 * time.Second)
	})
}

// TestBookingOwnerKilledAfterOutcome kills the host that wrote the outcome; the resend gets it.
func TestBookingOwnerKilledAfterOutcome(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2", "entry-3")
		first, err := w.nodes["entry-1"].book(tokenHartlebury, "visit", "monday")
		require.NoError(t, err)
		w.nodes["entry-1"].stop()
		for _, name := range []string{"entry-2", "entry-3"} {
			again, err := w.nodes[name].book(tokenHartlebury, "visit", "monday")
			require.NoError(t, err)
			require.Equal(t, first, again)
		}
		require.Equal(t, 1, w.desk.plain.Runs("visit"))
	})
}

// TestBookingResendsRace sends one booking through all hosts at once.
func TestBookingResendsRace(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2", "entry-3")
		var wg sync.WaitGroup
		for _, name := range w.names {
			for range 3 {
				wg.Go(func() { _, _ = w.nodes[name].book(tokenHartlebury, "visit", "monday") })
			}
		}
		wg.Wait()
		require.Equal(t, 1, w.desk.plain.Runs("visit"))
	})
}

// TestBookingFrozenHostWakesTooLate freezes a host after its intent until others gave it up.
func TestBookingFrozenHostWakesTooLate(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2")
		a, b := w.nodes["entry-1"], w.nodes["entry-2"]
		done := make(chan error, 1)
		w.kv.set(func() { w.kv.loseAnswers = 0 })
		a.set(func() { a.isFrozen = true })
		go func() {
			_, err := a.book(tokenHartlebury, "visit", "monday")
			done <- err
		}()
		time.Sleep(30 * time.Second)
		a.set(func() { a.isFrozen = false })
		err := <-done
		require.Equal(t, refusal.NotRun, runOf(err))
		require.Zero(t, w.desk.plain.Runs("visit"))
		time.Sleep(10 * time.Second)
		_, err = b.book(tokenHartlebury, "visit", "monday")
		require.NoError(t, err)
		require.Equal(t, 1, w.desk.plain.Runs("visit"))
	})
}

// TestBookingSettledByOperator settles an unknown outcome both ways.
func TestBookingSettledByOperator(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2")
		a := w.nodes["entry-1"]
		w.desk.set(func() { w.desk.dieBefore = true })
		for _, key := range []string{"ran", "not-run"} {
			_, err := a.book(tokenHartlebury, key, "monday")
			require.Equal(t, refusal.OutcomeUnknown, codeOf(err))
		}
		w.desk.set(func() { w.desk.dieBefore = false })
		id := func(key string) string { return booking.NewID("hartlebury", "desk\x00"+key) }
		var se *booking.SettleError
		require.ErrorAs(t, a.control.Ledger.Settle(context.Background(), id("ran"), true), &se, "too early")
		time.Sleep(2 * time.Minute)
		require.NoError(t, a.control.Ledger.Settle(context.Background(), id("ran"), true))
		require.NoError(t, a.control.Ledger.Settle(context.Background(), id("not-run"), false))
		_, err := a.book(tokenHartlebury, "ran", "monday")
		require.Equal(t, refusal.MayHaveRun, runOf(err))
		_, err = a.book(tokenHartlebury, "not-run", "monday")
		require.NoError(t, err)
		require.Zero(t, w.desk.plain.Runs("ran"))
		require.Equal(t, 1, w.desk.plain.Runs("not-run"))
	})
}

// TestBookingAtMostOnceUnderRandomFaults draws hosts, kills, cuts, lost answers and outages. The
// service's own record is the judge, and a refusal that says "not run" must be true.
func TestBookingAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 11), 8, 24).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			defer w.close()
			w.start(document("mid-a"), "entry-1", "entry-2", "entry-3")
			var wg sync.WaitGroup
			for i, step := range steps {
				w.bookingStep(&wg, i, step)
				time.Sleep(300 * time.Millisecond)
			}
			wg.Wait()
			time.Sleep(time.Minute)
			most, _ := w.desk.plain.Most()
			require.LessOrEqual(t, most, 1, "steps %v", steps)
		})
	})
}

func (w *world) bookingStep(wg *sync.WaitGroup, i, step int) {
	nd := w.nodes[w.names[i%len(w.names)]]
	switch step {
	case 0:
		w.kv.set(func() { w.kv.isDown = !w.kv.isDown })
	case 1:
		w.kv.set(func() { w.kv.loseAnswers = 4 })
	case 2:
		w.desk.set(func() { w.desk.dieAfter = !w.desk.dieAfter })
	case 3:
		nd.set(func() { nd.isFrozen = !nd.isFrozen })
	case 4:
		nd.set(func() { nd.cut["platform"] = !nd.cut["platform"] })
	case 5:
		other := w.names[(i+1)%len(w.names)]
		nd.set(func() { nd.cut[other] = !nd.cut[other] })
	default:
		key := fmt.Sprintf("visit-%d", step%3)
		wg.Go(func() {
			before := w.desk.plain.Runs(key)
			_, err := nd.book(tokenHartlebury, key, "monday")
			if err != nil && runOf(err) == refusal.NotRun && codeOf(err) != refusal.NotReady {
				// Other attempts may run meanwhile, but none may have run before and be denied.
				require.LessOrEqual(w.t, before, 1)
			}
		})
	}
}
