package booking_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/booking"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/service"
	"github.com/bergamotway/bergamotway/internal/standin/keyvalue"
)

// startLedgers starts n ledgers that share one key-value service, as on n hosts that all consider
// themselves the owner of every range.
func startLedgers(t *testing.T, kv *keyvalue.Service, n int) []*booking.Ledger {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var out []*booking.Ledger
	for range n {
		ld := booking.NewLedger(kv, booking.Options{Clock: clock.System()})
		done := make(chan struct{})
		go func() {
			defer close(done)
			ld.Run(ctx)
		}()
		t.Cleanup(func() { <-done })
		out = append(out, ld)
	}
	t.Cleanup(cancel)
	return out
}

// TestTwoWritersCannotBothRecord checks that a host whose copy of the log is stale cannot record a second
// intent for a booking.
func TestTwoWritersCannotBothRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lds := startLedgers(t, keyvalue.New(clock.System()), 2)
		ctx := context.Background()
		id := booking.NewID("t", "visit")
		for _, ld := range lds {
			_, err := ld.Get(ctx, id)
			require.NoError(t, err)
		}
		first, err := lds[0].Begin(ctx, booking.Attempt{BookingID: id, AttemptID: "a", RequestHash: "b"})
		require.NoError(t, err)
		require.Equal(t, booking.Proceed, first.Verdict)
		second, err := lds[1].Begin(ctx, booking.Attempt{BookingID: id, AttemptID: "c", RequestHash: "b"})
		require.NoError(t, err)
		require.Equal(t, booking.Pending, second.Verdict)
	})
}

// TestLogIsCutIntoSegments writes more records than a head holds, from two hosts. A third host that starts
// later must find all bookings with their complete responses, half of which are too large for the log.
func TestLogIsCutIntoSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := keyvalue.New(clock.System())
		lds := startLedgers(t, kv, 2)
		ctx := context.Background()
		const bookings = 600
		largeBody := strings.Repeat("x", 10_000)
		for i := range bookings {
			att := booking.Attempt{BookingID: booking.NewID("t", fmt.Sprint(i)), AttemptID: fmt.Sprint("i", i), RequestHash: "b"}
			d, err := lds[i%2].Begin(ctx, att)
			require.NoError(t, err)
			require.Equal(t, booking.Proceed, d.Verdict)
			require.NoError(t, lds[i%2].Finish(ctx, att, service.Response{Status: 200, Body: []byte(largeBody[:200+i%2*9800])}))
		}
		late := startLedgers(t, kv, 1)[0]
		for i := range bookings {
			id := booking.NewID("t", fmt.Sprint(i))
			d, err := late.Begin(ctx, booking.Attempt{BookingID: id, AttemptID: "again", RequestHash: "b"})
			require.NoError(t, err)
			require.Equal(t, booking.Replay, d.Verdict, "booking %d", i)
			rec, err := late.Get(ctx, id)
			require.NoError(t, err)
			rsp, err := late.LoadResponse(ctx, rec)
			require.NoError(t, err)
			require.Len(t, rsp.Body, 200+i%2*9800)
		}
	})
}
