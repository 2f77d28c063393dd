package peering_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bergamotway/bergamotway/internal/changefeed"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/peering"
)

// at returns the revision of the first era with the given number.
func at(number uint64) metastore.Revision { return metastore.Revision{Era: 1, Number: number} }

// largeTotal is the total of a fleet with 204 engines and 43 cache stores.
func largeTotal() peering.Digest {
	dg := peering.Digest{Host: "host-1", Tier: peering.TierTotal, Sequence: 12345678, AppliedRevision: at(99999), IntervalMs: 100}
	dg.Feed = &changefeed.Update{From: at(99990), To: at(99999), AgeMs: 120}
	for i := range 247 {
		dg.Loads = append(dg.Loads, peering.Load{Endpoint: peering.KeyOf(fmt.Sprint("endpoint-", i)), Requests: 12, Tokens: 40000, PrefillTokens: 3000})
	}
	return dg
}

func TestDigestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dg := peering.Digest{Host: rapid.String().Draw(t, "host"), Sequence: rapid.Uint64().Draw(t, "sequence")}
		for range rapid.IntRange(0, 20).Draw(t, "count") {
			dg.Loads = append(dg.Loads, peering.Load{
				Endpoint: peering.Key(rapid.Uint32().Draw(t, "key")), Requests: rapid.IntRange(0, 1000).Draw(t, "requests"),
			})
		}
		data, err := peering.EncodeDigest(dg)
		require.NoError(t, err)
		decoded, err := peering.DecodeDigest(data)
		require.NoError(t, err)
		// JSON replaces invalid UTF-8 in the name.
		decoded.Host = dg.Host
		require.Equal(t, dg, decoded)
	})
}

// Hosts of an earlier version send digests as JSON with the loads as text.
func TestDigestOfEarlierVersionIsDecoded(t *testing.T) {
	want := largeTotal()
	data, err := json.Marshal(want)
	require.NoError(t, err)
	decoded, err := peering.DecodeDigest(data)
	require.NoError(t, err)
	require.Equal(t, want, decoded)
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	data, err := peering.EncodeDigest(largeTotal())
	require.NoError(t, err)
	var fe *peering.FrameError
	for name, invalid := range map[string][]byte{
		"empty":          {},
		"mark only":      {1},
		"long header":    {1, 200, 200, 3, '{', '}'},
		"endless length": {1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255},
		"broken header":  {1, 1, '{'},
		"truncated load": data[:len(data)-1],
		"other format":   []byte("\xff\xfe"),
	} {
		_, err := peering.DecodeDigest(invalid)
		require.ErrorAs(t, err, &fe, name)
	}
}

func FuzzDigest(f *testing.F) {
	data, err := peering.EncodeDigest(largeTotal())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"h":"host","l":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		dg, err := peering.DecodeDigest(data)
		if err != nil {
			return
		}
		again, err := peering.EncodeDigest(dg)
		require.NoError(t, err)
		decoded, err := peering.DecodeDigest(again)
		require.NoError(t, err)
		require.Equal(t, len(dg.Loads), len(decoded.Loads))
	})
}

func BenchmarkDecodeLargeTotal(b *testing.B) {
	data, err := peering.EncodeDigest(largeTotal())
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := peering.DecodeDigest(data)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
