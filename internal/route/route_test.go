package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bergamotway/bergamotway/internal/route"
)

var work = route.Work{Tokens: 20_000, PieceTokens: 4000, BytesPerToken: 40_000, FirstTokenTarget: 0.55, CanSplit: true}

func TestResidentHistoryIsPreferred(t *testing.T) {
	eps := []route.Endpoint{{PrefillRate: 20_000}, {PrefillRate: 20_000, ResidentTokens: 20_000}}
	pl, ok := route.Choose(eps, work, 1)
	require.True(t, ok)
	require.Equal(t, 1, pl.Endpoint)
}

func TestQueueOutweighsAffinity(t *testing.T) {
	eps := []route.Endpoint{{PrefillRate: 20_000}, {PrefillRate: 20_000, ResidentTokens: 20_000, BacklogTokens: 200_000}}
	pl, _ := route.Choose(eps, work, 1)
	require.Equal(t, 0, pl.Endpoint)
}

func TestStrategyDependsOnTheLinkRate(t *testing.T) {
	strategy := func(rate float64) route.Strategy {
		pl, _ := route.Estimate(route.Endpoint{PrefillRate: 20_000, Link: route.Link{StoredTokens: 20_000, Rate: rate}}, work)
		return pl.Strategy
	}
	require.Equal(t, route.Import, strategy(8e9), "less than a piece could be prefilled during the import")
	require.Equal(t, route.Split, strategy(2e9))
	require.Equal(t, route.Recompute, strategy(1e7))
	require.Equal(t, route.Recompute, strategy(0))
	busy, _ := route.Estimate(route.Endpoint{
		PrefillRate: 20_000, BacklogTokens: 40_000, Link: route.Link{StoredTokens: 20_000, Rate: 8e9},
	}, work)
	require.Equal(t, route.Import, busy.Strategy, "a busy endpoint imports the whole history while the request waits")
}

// Guards against classes with a long target taking idle endpoints from classes with a short one: they wait
// in the queue of the endpoint that holds their history.
func TestLongTargetPrefersTheResidentEndpoint(t *testing.T) {
	longTarget := work
	longTarget.FirstTokenTarget = 10
	eps := []route.Endpoint{{PrefillRate: 20_000}, {PrefillRate: 20_000, ResidentTokens: 20_000, BacklogTokens: 60_000}}
	pl, _ := route.Choose(eps, longTarget, 1)
	require.Equal(t, 1, pl.Endpoint)
	pl, _ = route.Choose(eps, work, 1)
	require.Equal(t, 0, pl.Endpoint)
}

// Guards against an overflow of the estimate at very low link rates.
func TestTinyLinkRateDoesNotOverflow(t *testing.T) {
	for _, rate := range []float64{7.466108948025751e-301, 1e-9, 1, 1000} {
		pl, ok := route.Estimate(route.Endpoint{
			PrefillRate: 1, BacklogTokens: 1, Link: route.Link{StoredTokens: 3808, Rate: rate},
		}, work)
		require.True(t, ok)
		require.GreaterOrEqual(t, pl.FirstToken, 1.0)
		require.Equal(t, work.Tokens, pl.ImportTokens+pl.RecomputeTokens)
	}
}

func TestNoUsableCandidate(t *testing.T) {
	_, ok := route.Choose([]route.Endpoint{{}, {}}, work, 1)
	require.False(t, ok)
}

// Checks that an estimate accounts for every token and is never below the time of the backlog or of the
// prefill.
func TestEstimateCountsEveryTokenAndItsTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ep := route.Endpoint{
			ResidentTokens: rapid.IntRange(0, 40_000).Draw(rt, "resident"),
			BacklogTokens:  rapid.Float64Range(0, 1e6).Draw(rt, "backlog"),
			Running:        rapid.IntRange(0, 50).Draw(rt, "running"),
			PrefillRate:    rapid.Float64Range(1, 1e5).Draw(rt, "rate"),
			Link: route.Link{
				StoredTokens: rapid.IntRange(0, 40_000).Draw(rt, "stored"),
				Rate:         rapid.Float64Range(0, 1e10).Draw(rt, "link"),
			},
		}
		pl, ok := route.Estimate(ep, work)
		require.True(rt, ok)
		require.Equal(rt, work.Tokens-min(ep.ResidentTokens, work.Tokens), pl.ImportTokens+pl.RecomputeTokens)
		require.GreaterOrEqual(rt, pl.FirstToken, ep.BacklogTokens/ep.PrefillRate)
		require.GreaterOrEqual(rt, pl.FirstToken, float64(pl.RecomputeTokens)/ep.PrefillRate)
	})
}

// BenchmarkChoose640 measures one decision over 640 endpoints.
func BenchmarkChoose640(b *testing.B) {
	eps := make([]route.Endpoint, 640)
	for i := range eps {
		eps[i] = route.Endpoint{
			PrefillRate: 20_000, ResidentTokens: (i * 977) % 20_000, BacklogTokens: float64((i * 7919) % 90_000),
			Link: route.Link{StoredTokens: 20_000, Rate: 8e9, BacklogBytes: 1e8},
		}
	}
	b.ReportAllocs()
	for i := range b.N {
		route.Choose(eps, work, uint64(i))
	}
}
