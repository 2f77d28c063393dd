package catalog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/catalog"
)

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	ct := catalog.New(catalog.Spec{Routes: []catalog.Route{
		{Name: "all", Host: "shop.example", Prefix: "/"},
		{Name: "long", Host: "shop.example", Prefix: "/a/b/"},
		{Name: "short", Host: "shop.example", Prefix: "/a/"},
		{Name: "other", Host: "other.example", Prefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/b/c/1": "long", "/a/1": "short", "/a": "all", "/x": "all"} {
		ro, ok := ct.MatchRoute("Shop.Example:8080", path)
		require.True(t, ok)
		require.Equal(t, want, ro.Name, path)
	}
	_, ok := ct.MatchRoute("third.example", "/a/")
	require.False(t, ok)
}

func TestPickFollowsWeights(t *testing.T) {
	ro := catalog.Route{Services: []catalog.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[string]int)
	for i := range 10000 {
		counts[ro.PickService(fmt.Sprint("request-", i))]++
	}
	require.InDelta(t, 9000, counts["a"], 200)
	require.InDelta(t, 1000, counts["b"], 200)
	require.Zero(t, counts["c"])
}

func TestRoutesThatAllowRepeats(t *testing.T) {
	require.False(t, (&catalog.Route{}).IsRepeatable(), "the zero value must run requests at most once")
	require.True(t, (&catalog.Route{Kind: catalog.Idempotent}).IsRepeatable())
	require.False(t, (&catalog.Route{Kind: catalog.Streaming}).IsRepeatable())
	require.True(t, (&catalog.Route{Kind: catalog.Streaming, Resumable: true}).IsRepeatable())
	require.False(t, (&catalog.Route{Kind: catalog.NonIdempotent, Resumable: true}).IsRepeatable())
}
