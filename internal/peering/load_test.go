package peering_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bergamotway/bergamotway/internal/peering"
)

func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ls peering.Loads
		for range rapid.IntRange(0, 40).Draw(t, "count") {
			ls = append(ls, peering.Load{
				Endpoint:      peering.Key(rapid.Uint32().Draw(t, "key")),
				Requests:      rapid.IntRange(0, 1000).Draw(t, "requests"),
				Tokens:        rapid.IntRange(0, 1<<30).Draw(t, "tokens"),
				PrefillTokens: rapid.IntRange(0, 1<<20).Draw(t, "unread"),
			})
		}
		data, err := json.Marshal(peering.Digest{Host: "h", Loads: ls})
		require.NoError(t, err)
		var dg peering.Digest
		require.NoError(t, json.Unmarshal(data, &dg))
		require.Equal(t, ls, dg.Loads)
	})
}

// TestLoadsFitIntoDatagram checks that the loads of 640 endpoints take so few bytes that the rest of
// a digest fits into the same datagram.
func TestLoadsFitIntoDatagram(t *testing.T) {
	var ls peering.Loads
	for i := range 640 {
		ls = append(ls, peering.Load{Endpoint: peering.Key(i * 7919), Requests: 12, Tokens: 48000, PrefillTokens: 9000})
	}
	text, err := ls.MarshalText()
	require.NoError(t, err)
	require.Less(t, len(text), 640*16)
}

func FuzzLoads(f *testing.F) {
	text, err := peering.Loads{{Endpoint: 1, Requests: 2, Tokens: 3, PrefillTokens: 4}}.MarshalText()
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte("AAAA"))
	f.Add([]byte("/////////////////////w"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var ls peering.Loads
		if err := ls.UnmarshalText(text); err != nil {
			var le *peering.LoadsError
			require.ErrorAs(t, err, &le)
			return
		}
		encoded, err := ls.MarshalText()
		require.NoError(t, err)
		var decoded peering.Loads
		require.NoError(t, decoded.UnmarshalText(encoded))
		require.Equal(t, ls, decoded)
	})
}
