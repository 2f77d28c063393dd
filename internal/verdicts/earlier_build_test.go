package verdicts_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/verdicts"
)

// TestRecordOfEarlierBuild guards against items of build 524a858 that this one reads otherwise, or does not write so.
func TestRecordOfEarlierBuild(t *testing.T) {
	earlier, err := os.ReadFile("testdata/record-524a858.json")
	require.NoError(t, err)
	want := quarantine.Verdict{
		Part: "a/b 1", Crashes: 5, Strikes: 2, LastCrash: time.UnixMilli(1700000000123),
		Reporters: []string{"host-a", "host-b"}, Companions: []string{"c/d"}, ByOperator: true,
	}
	got, err := verdicts.Decode(earlier, time.Now())
	require.NoError(t, err)
	require.True(t, want.LastCrash.Equal(got.LastCrash))
	got.LastCrash = want.LastCrash
	require.Equal(t, want, got)
	current, err := verdicts.Encode(want)
	require.NoError(t, err)
	require.JSONEq(t, string(earlier), string(current))
}
