package node_test

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// itemKeys are the keys of the items that a host writes beside one engine and one plain endpoint.
var itemKeys = []string{
	"bergamotway/hosts/host-0", "bergamotway/software/engines", "bergamotway/software/desk", "bergamotway/named/" + modelName, "bergamotway/checkpoint",
}

// writtenItems returns the items that a host of this build writes.
func writtenItems(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	env := newTestEnv(t, 1, 1)
	env.writeConfiguration()
	require.NoError(t, env.store.SetWeightVersion(2))
	env.startReadyHost("host-0")
	out := make(map[string]json.RawMessage)
	for _, key := range itemKeys {
		require.Eventually(t, func() bool { return env.store.Value(key) != nil }, waitTimeout, pollInterval, key)
		out[key] = env.store.Value(key)
	}
	return out
}

// TestItemsOfEarlierBuild guards against items that hosts of build 524a858 do not find as they write them: fields that are gone or of
// another type.
func TestItemsOfEarlierBuild(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("testdata/items-524a858.json")
	require.NoError(t, err)
	var earlier map[string]map[string]any
	require.NoError(t, json.Unmarshal(data, &earlier))
	written := writtenItems(t)
	require.Len(t, earlier, len(written))
	for key, want := range earlier {
		var got map[string]any
		require.NoError(t, json.Unmarshal(written[key], &got), key)
		for field, value := range want {
			require.Equal(t, fmt.Sprintf("%T", value), fmt.Sprintf("%T", got[field]), "%s: %s", key, field)
		}
	}
}
