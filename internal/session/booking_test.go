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

// TestBookingHostKilledAfterIntent kills the host after its intent is in the ledger and before it
// dispatches the call. Another host can't tell this from a dispatched call and must not run it.
func TestBookingHostKilledAfterIntent(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2")
		a, b := fl.nodes["entry-1"], fl.nodes["entry-2"]
		att := booking.Attempt{BookingID: booking.NewID("hartlebury", "desk\x00visit"), AttemptID: "i-1", RequestHash: "other"}
		d, _, err := a.controlPlane.BookingRouter.Begin(context.Background(), att)
		require.NoError(t, err)
		require.Equal(t, booking.Proceed, d.Verdict)
		a.kill()
		rec, err := b.controlPlane.BookingRouter.Get(context.Background(), att.BookingID)
		require.NoError(t, err)
		require.Equal(t, booking.Intended, rec.State)
		d, _, err = b.controlPlane.BookingRouter.Begin(context.Background(), booking.Attempt{BookingID: att.BookingID, AttemptID: "i-2", RequestHash: "other"})
		require.NoError(t, err)
		require.Equal(t, booking.Pending, d.Verdict, "a second host must not run what the first may have run")
	})
}

// TestBookingHostKilledWhileServiceRuns kills the host while the service runs the call, so that no
// outcome is recorded. A resend through another host must not run the call again.
func TestBookingHostKilledWhileServiceRuns(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2")
		a, b := fl.nodes["entry-1"], fl.nodes["entry-2"]
		fl.service.withLock(func() { fl.service.runDelay = 20 * time.Second })
		go func() { _, _ = a.sendBooking(tokenHartlebury, "visit", "monday") }()
		time.Sleep(time.Second)
		a.withLock(func() { a.isDown = true })
		a.cancel()
		fl.service.withLock(func() { fl.service.runDelay = 0 })
		_, err := b.sendBooking(tokenHartlebury, "visit", "monday")
		require.Equal(t, refusal.OutcomeUnknown, codeOf(err))
		require.Equal(t, refusal.MayHaveRun, runStateOf(err))
		require.Equal(t, 1, fl.service.record.RunCount("visit"))
		time.Sleep(30 * time.Second)
	})
}

// TestBookingOwnerKilledAfterOutcome kills the host that recorded the outcome. Resends through other
// hosts must get the recorded response.
func TestBookingOwnerKilledAfterOutcome(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2", "entry-3")
		first, err := fl.nodes["entry-1"].sendBooking(tokenHartlebury, "visit", "monday")
		require.NoError(t, err)
		fl.nodes["entry-1"].kill()
		for _, name := range []string{"entry-2", "entry-3"} {
			again, err := fl.nodes[name].sendBooking(tokenHartlebury, "visit", "monday")
			require.NoError(t, err)
			require.Equal(t, first, again)
		}
		require.Equal(t, 1, fl.service.record.RunCount("visit"))
	})
}

// TestBookingConcurrentResendsRunOnce sends the same booking three times through each host at once.
// The service must run it once.
func TestBookingConcurrentResendsRunOnce(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2", "entry-3")
		var wg sync.WaitGroup
		for _, name := range fl.hostNames {
			for range 3 {
				wg.Go(func() { _, _ = fl.nodes[name].sendBooking(tokenHartlebury, "visit", "monday") })
			}
		}
		wg.Wait()
		require.Equal(t, 1, fl.service.record.RunCount("visit"))
	})
}

// TestBookingOnFrozenHostNotRun sends a booking to a host that is frozen for 30 s, until its calls
// have timed out and the other host counts it as dead. The host must not run the call when it resumes,
// and must refuse it as not run; a resend through the other host runs it once.
func TestBookingOnFrozenHostNotRun(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2")
		a, b := fl.nodes["entry-1"], fl.nodes["entry-2"]
		done := make(chan error, 1)
		fl.platform.withLock(func() { fl.platform.responsesToLose = 0 })
		a.withLock(func() { a.isFrozen = true })
		go func() {
			_, err := a.sendBooking(tokenHartlebury, "visit", "monday")
			done <- err
		}()
		time.Sleep(30 * time.Second)
		a.withLock(func() { a.isFrozen = false })
		err := <-done
		require.Equal(t, refusal.NotRun, runStateOf(err))
		require.Zero(t, fl.service.record.RunCount("visit"))
		time.Sleep(10 * time.Second)
		_, err = b.sendBooking(tokenHartlebury, "visit", "monday")
		require.NoError(t, err)
		require.Equal(t, 1, fl.service.record.RunCount("visit"))
	})
}

// TestBookingSettledByOperator lets an operator settle two bookings of unknown outcome, one as run and
// one as not run. Settling is refused while the attempt may still be dispatched.
func TestBookingSettledByOperator(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2")
		a := fl.nodes["entry-1"]
		fl.service.withLock(func() { fl.service.breaksBeforeRun = true })
		for _, key := range []string{"ran", "not-run"} {
			_, err := a.sendBooking(tokenHartlebury, key, "monday")
			require.Equal(t, refusal.OutcomeUnknown, codeOf(err))
		}
		fl.service.withLock(func() { fl.service.breaksBeforeRun = false })
		id := func(key string) string { return booking.NewID("hartlebury", "desk\x00"+key) }
		var se *booking.SettleError
		require.ErrorAs(t, a.controlPlane.BookingLedger.Settle(context.Background(), id("ran"), true), &se, "the attempt may still be dispatched")
		time.Sleep(2 * time.Minute)
		require.NoError(t, a.controlPlane.BookingLedger.Settle(context.Background(), id("ran"), true))
		require.NoError(t, a.controlPlane.BookingLedger.Settle(context.Background(), id("not-run"), false))
		_, err := a.sendBooking(tokenHartlebury, "ran", "monday")
		require.Equal(t, refusal.MayHaveRun, runStateOf(err))
		_, err = a.sendBooking(tokenHartlebury, "not-run", "monday")
		require.NoError(t, err)
		require.Zero(t, fl.service.record.RunCount("ran"))
		require.Equal(t, 1, fl.service.record.RunCount("not-run"))
	})
}

// TestBookingAtMostOnceUnderRandomFaults mixes bookings with random platform outages, lost responses,
// broken service connections, frozen hosts and cut links. The record of the service must show at most
// one run of each key, also when a refusal says "not run".
func TestBookingAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.IntRange(0, 11), 8, 24).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t)
			defer fl.close()
			fl.start(newDocument("mid-a"), "entry-1", "entry-2", "entry-3")
			var wg sync.WaitGroup
			for i, action := range actions {
				fl.runAction(&wg, i, action)
				time.Sleep(300 * time.Millisecond)
			}
			wg.Wait()
			time.Sleep(time.Minute)
			maxRuns, _ := fl.service.record.MaxRunCount()
			require.LessOrEqual(t, maxRuns, 1, "actions %v", actions)
		})
	})
}

// runAction switches a fault on or off (actions 0 to 5) or sends a booking in the background.
func (fl *fleet) runAction(wg *sync.WaitGroup, i, action int) {
	nd := fl.nodes[fl.hostNames[i%len(fl.hostNames)]]
	switch action {
	case 0:
		fl.platform.withLock(func() { fl.platform.isDown = !fl.platform.isDown })
	case 1:
		fl.platform.withLock(func() { fl.platform.responsesToLose = 4 })
	case 2:
		fl.service.withLock(func() { fl.service.breaksAfterRun = !fl.service.breaksAfterRun })
	case 3:
		nd.withLock(func() { nd.isFrozen = !nd.isFrozen })
	case 4:
		nd.withLock(func() { nd.cutFrom["platform"] = !nd.cutFrom["platform"] })
	case 5:
		other := fl.hostNames[(i+1)%len(fl.hostNames)]
		nd.withLock(func() { nd.cutFrom[other] = !nd.cutFrom[other] })
	default:
		key := fmt.Sprintf("visit-%d", action%3)
		wg.Go(func() {
			runsBefore := fl.service.record.RunCount(key)
			_, err := nd.sendBooking(tokenHartlebury, key, "monday")
			if err != nil && runStateOf(err) == refusal.NotRun && codeOf(err) != refusal.NotReady {
				// Other attempts may run the key in the meantime, so only the runs before this attempt
				// are checked.
				require.LessOrEqual(fl.t, runsBefore, 1)
			}
		})
	}
}
