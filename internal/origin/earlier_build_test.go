package origin_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/origin"
)

// TestMessagesOfEarlierBuild guards against messages about streams that hosts of build 524a858 and of this one do not read from each
// other.
func TestMessagesOfEarlierBuild(t *testing.T) {
	data, err := os.ReadFile("testdata/messages-524a858.jsonl")
	require.NoError(t, err)
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	require.Len(t, lines, 3)
	told, asked, answered := lines[0], lines[1], lines[2]
	var sent [][]byte
	newHost := func(name string) *origin.Directory {
		return origin.New(origin.Options{
			Host: name, Hosts: func() []string { return []string{"host-a", "host-b"} }, Sole: several,
			Send: func(_ string, data []byte) { sent = append(sent, bytes.Clone(data)) },
		})
	}
	first := newHost("host-a")
	first.Record(origin.Stream{Team: "team", Request: "request-1"}, origin.Origin{Service: "engines", Software: "v1"})
	require.Len(t, sent, 1)
	requireFieldsOf(t, told, sent[0])

	// The earlier build had answered this question.
	require.NoError(t, first.Handle([]byte(`{"h":"host-b","q":7,"k":"mU5vlTZECUvbc9m3phn7GA"}`)))
	require.Len(t, sent, 2)
	requireFieldsOf(t, answered, sent[1])

	second := newHost("host-b")
	require.NoError(t, second.Handle(told))
	require.NoError(t, second.Handle([]byte(`{"h":"host-a","q":7,"k":"mU5vlTZECUvbc9m3phn7GA"}`)))
	require.Len(t, sent, 3)
	requireFieldsOf(t, []byte(`{"h":"host-b","q":7,"a":true,"o":[{"k":"mU5vlTZECUvbc9m3phn7GA","s":"engines","v":"v1"}]}`), sent[2])
	require.NoError(t, second.Handle(asked))
	require.Len(t, sent, 4)
	requireFieldsOf(t, []byte(`{"h":"host-b","q":1,"a":true}`), sent[3])
}

// requireFieldsOf requires that a message has all fields of an earlier one, with the same values.
func requireFieldsOf(t *testing.T, earlier, current []byte) {
	t.Helper()
	var want, got map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(earlier, &want))
	require.NoError(t, json.Unmarshal(current, &got))
	for name, value := range want {
		require.JSONEq(t, string(value), string(got[name]), "field %q", name)
	}
}
