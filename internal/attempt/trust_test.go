package attempt_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

// trustFixture is a pool with an endpoint that can start again in place.
type trustFixture struct {
	t           *testing.T
	ep          *site.Endpoint
	target      attempt.Target
	pool        *attempt.Pool
	clock       *clockwork.FakeClock
	isConfirmed atomic.Bool
}

func newTrustFixture(t *testing.T) *trustFixture {
	ep, err := site.NewEndpoint(site.EndpointOptions{ID: "engine", Model: site.Model, EventCount: 3, EventInterval: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(ep.Close)
	fx := &trustFixture{t: t, ep: ep, clock: clockwork.NewFakeClockAt(time.Unix(1, 0))}
	fx.isConfirmed.Store(true)
	_, entry := ep.Entry("ready")
	born, isNumber := entry["born"].(int64)
	require.True(t, isNumber)
	fx.target = attempt.Target{ID: "engine", Address: ep.Address(), StartTimeMs: born}
	fx.pool = attempt.NewPool(attempt.Options{Clock: fx.clock, StartCodec: platform.StartCodec{}, IsConfirmed: fx.isConfirmed.Load})
	return fx
}

// begin sends a request.
func (fx *trustFixture) begin(need attempt.StartNeed) (*attempt.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	fx.t.Cleanup(cancel)
	head := "POST / HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nX-Expect-Instance: engine\r\nContent-Length: 0\r\n\r\n"
	return fx.pool.SendToStart(ctx, fx.target, need, 4, "POST", []byte(head), nil)
}

// exchange sends a request and reads the response.
func (fx *trustFixture) exchange(need attempt.StartNeed) (isKnown, isVerified bool) {
	rs, err := fx.begin(need)
	require.NoError(fx.t, err)
	isKnown, isVerified = rs.IsStartKnown(), rs.IsStartVerified()
	_, err = io.ReadAll(rs)
	require.NoError(fx.t, err)
	rs.Close()
	return isKnown, isVerified
}

// restart ends the endpoint and starts it again in place.
func (fx *trustFixture) restart() {
	fx.ep.Close()
	require.NoError(fx.t, fx.ep.Restart())
	require.Equal(fx.t, fx.target.Address, fx.ep.Address())
}

// Guards against questions that cost an endpoint something while nothing is in doubt.
func TestNothingIsAskedWithoutADoubt(t *testing.T) {
	t.Parallel()
	fx := newTrustFixture(t)
	for range 20 {
		isKnown, isVerified := fx.exchange(attempt.KnownStart)
		require.True(t, isKnown)
		require.False(t, isVerified)
		// Longer than a connection is kept idle.
		fx.clock.Advance(5 * time.Second)
	}
	require.Zero(t, fx.ep.ReportCount())
}

// Guards against another start that answers before anything shows that the known one has ended, and against asking more than once.
func TestContinuedRequestIsSentWhereTheStartHasAnswered(t *testing.T) {
	t.Parallel()
	fx := newTrustFixture(t)
	for i := range 4 {
		for range 3 {
			_, isVerified := fx.exchange(attempt.VerifiedStart)
			require.True(t, isVerified)
		}
		require.Equal(t, i+1, fx.ep.ReportCount(), "a connection is asked once")
		// Longer than a connection is kept idle.
		fx.clock.Advance(5 * time.Second)
	}
	fx.restart()
	_, err := fx.begin(attempt.VerifiedStart)
	var other *attempt.OtherStartError
	require.ErrorAs(t, err, &other)
}

// Guards against a request that is sent to another start after the connections to the known one have broken.
func TestBrokenConnectionPutsTheStartInDoubt(t *testing.T) {
	t.Parallel()
	fx := newTrustFixture(t)
	fx.exchange(attempt.KnownStart)
	fx.restart()
	for _, need := range []attempt.StartNeed{attempt.KnownStart, attempt.VerifiedStart} {
		_, err := fx.begin(need)
		var unsent *attempt.NotSentError
		require.ErrorAs(t, err, &unsent)
		var other *attempt.OtherStartError
		require.ErrorAs(t, err, &other)
	}
	// Whoever does not mind is served, on a connection that is not taken for one to the known start.
	for range 2 {
		isKnown, _ := fx.exchange(attempt.AnyStart)
		require.False(t, isKnown)
	}
	_, err := fx.begin(attempt.KnownStart)
	var other *attempt.OtherStartError
	require.ErrorAs(t, err, &other)
	require.Len(t, fx.ep.RecordedRequests(), 3)
}

// Guards against a start that stays in doubt, and costs a question each time, after it has answered.
func TestDoubtEndsWithAnAnswer(t *testing.T) {
	t.Parallel()
	fx := newTrustFixture(t)
	fx.ep.InjectFaults(site.ResetConnection)
	_, err := fx.begin(attempt.KnownStart)
	require.Error(t, err)
	for range 5 {
		isKnown, _ := fx.exchange(attempt.KnownStart)
		require.True(t, isKnown)
		fx.clock.Advance(5 * time.Second)
	}
	require.Equal(t, 1, fx.ep.ReportCount())
}

// Guards against a host that does not learn of new starts and trusts one that it last heard of long ago.
func TestUnconfirmedStartIsAskedFromTimeToTime(t *testing.T) {
	t.Parallel()
	fx := newTrustFixture(t)
	fx.exchange(attempt.KnownStart)
	fx.isConfirmed.Store(false)
	// The connection from before belongs to the start.
	isKnown, _ := fx.exchange(attempt.KnownStart)
	require.True(t, isKnown)
	require.Zero(t, fx.ep.ReportCount())
	var open []*attempt.Response
	for range 4 {
		rs, err := fx.begin(attempt.KnownStart)
		require.NoError(t, err)
		require.True(t, rs.IsStartKnown())
		open = append(open, rs)
	}
	require.Equal(t, 1, fx.ep.ReportCount())
	for _, rs := range open {
		rs.Close()
	}
	fx.clock.Advance(5 * time.Second)
	fx.exchange(attempt.KnownStart)
	require.Equal(t, 2, fx.ep.ReportCount())
}

// Guards against refusing what begins at endpoints that do not say which start they are, and against continuing there.
func TestEndpointThatSaysNothingOfItsStartServesWhatBegins(t *testing.T) {
	t.Parallel()
	target, _ := serve(t, respondAlways(answer(404, "not here")))
	target.StartTimeMs = 7
	po := attempt.NewPool(attempt.Options{StartCodec: startCodec{}, IsConfirmed: func() bool { return false }})
	head := []byte("POST / HTTP/1.1\r\nHost: x\r\n\r\n")
	rs, err := po.SendToStart(t.Context(), target, attempt.KnownStart, 4, "POST", head, nil)
	require.NoError(t, err)
	require.False(t, rs.IsStartKnown())
	rs.Close()
	_, err = po.SendToStart(t.Context(), target, attempt.VerifiedStart, 4, "POST", head, nil)
	var unsent *attempt.NotSentError
	require.ErrorAs(t, err, &unsent)
	require.True(t, unsent.IsUnverified(), "it answered, and must not count as unreachable")
	// An entry without a start time says nothing that could be compared.
	target.StartTimeMs = 0
	rs, err = po.SendToStart(t.Context(), target, attempt.VerifiedStart, 4, "POST", head, nil)
	require.NoError(t, err)
	require.True(t, rs.IsStartKnown())
	rs.Close()
}

// Guards against a connection to another start that is opened before the host has noticed that those to the known one have broken.
func TestConnectionOpenedRightBeforeADoubtIsAsked(t *testing.T) {
	t.Parallel()
	for name, isRestarted := range map[string]bool{"restarted": true, "alive": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newTrustFixture(t)
			fx.ep.InjectFaults(site.TruncateResponse)
			earlier, err := fx.begin(attempt.KnownStart)
			require.NoError(t, err)
			if isRestarted {
				fx.restart()
			}
			later, err := fx.begin(attempt.KnownStart)
			require.NoError(t, err)
			defer later.Close()
			require.True(t, later.ConfirmStart())
			require.Zero(t, fx.ep.ReportCount())
			_, err = io.ReadAll(earlier)
			require.Error(t, err)
			earlier.Close()
			require.Equal(t, !isRestarted, later.ConfirmStart())
			require.Equal(t, 1, fx.ep.ReportCount())
		})
	}
}

// Guards against asking about a connection that has been open for long when another one breaks.
func TestOldConnectionIsNotInDoubt(t *testing.T) {
	t.Parallel()
	fx := newTrustFixture(t)
	fx.ep.InjectFaults(site.NoEndpointFault, site.ResetConnection)
	old, err := fx.begin(attempt.KnownStart)
	require.NoError(t, err)
	defer old.Close()
	fx.clock.Advance(2 * time.Second)
	_, err = fx.begin(attempt.KnownStart)
	require.Error(t, err)
	require.True(t, old.ConfirmStart())
	require.Zero(t, fx.ep.ReportCount())
}
