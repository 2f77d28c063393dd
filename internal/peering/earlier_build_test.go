package peering_test

import (
	"encoding/binary"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/peering"
)

// TestDigestOfEarlierBuild guards against fields that a host of build 524a858 sends and this one does not read, or the reverse.
func TestDigestOfEarlierBuild(t *testing.T) {
	earlier, err := os.ReadFile("testdata/digest-524a858")
	require.NoError(t, err)
	dg, err := peering.DecodeDigest(earlier)
	require.NoError(t, err)
	current, err := peering.EncodeDigest(dg)
	require.NoError(t, err)
	wantHeader, wantLoads := splitDigest(t, earlier)
	header, loads := splitDigest(t, current)
	for name, value := range wantHeader {
		require.JSONEq(t, string(value), string(header[name]), "field %q", name)
	}
	require.Equal(t, wantLoads, loads)
}

// splitDigest returns the fields of the header of a datagram, and the loads after it.
func splitDigest(t *testing.T, data []byte) (header map[string]json.RawMessage, loads []byte) {
	t.Helper()
	length, size := binary.Uvarint(data[1:])
	rest := data[1+size:]
	require.NoError(t, json.Unmarshal(rest[:length], &header))
	return header, rest[length:]
}
