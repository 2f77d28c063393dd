package settings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/settings"
)

type testSettings struct {
	Name    string            `json:"name" check:"required name"`
	Listen  string            `json:"listen" check:"required ip-port"`
	Count   int               `json:"count" min:"1" max:"10"`
	Wait    settings.Duration `json:"wait" min:"1s" max:"1m"`
	Level   string            `json:"level" one-of:"info debug"`
	Inner   *nestedSettings   `json:"inner"`
	Numbers []int             `json:"numbers" min:"0"`
}

type nestedSettings struct {
	On bool `json:"on"`
}

func TestDecodeWithComments(t *testing.T) {
	var s testSettings
	err := settings.Decode([]byte(`{
		// The name.
		"name": "entry-1", "listen": "127.0.0.1:80", "wait": "5s", "inner": {"on": true},
	}`), &s)
	require.NoError(t, err)
	require.Equal(t, "entry-1", s.Name)
	require.Equal(t, 5*time.Second, s.Wait.Std())
	require.True(t, s.Inner.On)
}

func TestDecodeListsEveryFault(t *testing.T) {
	var s testSettings
	err := settings.Decode([]byte(`{
		"name": "entry-1",
		"listen": "localhost:80",
		"cuont": 3,
		"wait": "2h",
		"level": "loud",
		"numbers": [1, -2, 1.5]
	}`), &s)
	var faults settings.Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 6)
	require.Equal(t, []int{3, 4, 5, 6, 7, 7}, []int{
		faults[0].Line(), faults[1].Line(), faults[2].Line(), faults[3].Line(), faults[4].Line(), faults[5].Line(),
	})
	require.Contains(t, faults[0].String(), "IP number")
	require.Contains(t, faults[1].String(), `the nearest is "count"`)
	require.Contains(t, faults[2].String(), "from 1s to 1m")
	require.Contains(t, faults[3].String(), "info, debug")
	require.Empty(t, s.Name, "a file with faults leaves the target unchanged")
}

func TestDecodeLenientReturnsUnknownNames(t *testing.T) {
	var s testSettings
	unknown, err := settings.DecodeLenient([]byte(`{"name":"a","listen":"127.0.0.1:1","new":{"x":1},"inner":{"off":true}}`), &s)
	require.NoError(t, err)
	require.Equal(t, []string{"$.new", "$.inner.off"}, unknown)
	require.Equal(t, "a", s.Name)
	_, err = settings.DecodeLenient([]byte(`{"name":"a","listen":"no","new":1}`), &s)
	require.Error(t, err, "known names are still validated")
}

func TestDecodeRejectsMalformedDocuments(t *testing.T) {
	var s testSettings
	var faults settings.Faults
	require.ErrorAs(t, settings.Decode([]byte("{\n\"name\": }"), &s), &faults)
	require.ErrorAs(t, settings.Decode([]byte(`[]`), &s), &faults)
	require.ErrorAs(t, settings.Decode([]byte(`{"name":"a","name":"b","listen":"127.0.0.1:1"}`), &s), &faults)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","listen":"127.0.0.1:1","count":2}`))
	f.Add([]byte(`{"inner":{"on":1}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var s testSettings
		_ = settings.Decode(data, &s)
	})
}
