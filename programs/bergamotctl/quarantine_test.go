package main_test

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/internal/verdicts"
)

// program is the path of the built program.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bergamotctl")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "bergamotctl")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// runQuarantine runs a command and returns its standard output and its exit code.
func runQuarantine(t *testing.T, args ...string) (out string, code int) {
	var stdout bytes.Buffer
	cmd := exec.Command(program, args...)
	cmd.Stdout = &stdout
	if err := cmd.Run(); err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
	}
	return stdout.String(), cmd.ProcessState.ExitCode()
}

func TestQuarantineIsListedBlockedAndCleared(t *testing.T) {
	t.Parallel()
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	address := "--metadata-store=" + st.Address()
	value, err := verdicts.Encode(quarantine.Verdict{Part: "aa01", Crashes: 5, Strikes: 1, LastCrash: time.Now(), Reporters: []string{"host-1"}})
	require.NoError(t, err)
	st.PutBytes(verdicts.Key(verdicts.Prefix, "aa01"), value)
	_, err = st.Put(verdicts.Prefix+"invalid", 7)
	require.NoError(t, err)

	_, code := runQuarantine(t, "quarantine", "block", address, "bb02")
	require.Zero(t, code)
	out, code := runQuarantine(t, "--json", "quarantine", "list", address)
	require.Zero(t, code)
	var list []map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	require.Len(t, list, 2)
	require.Equal(t, "bb02", list[0]["part"])
	require.Equal(t, true, list[0]["by-operator"])
	require.Equal(t, "aa01", list[1]["part"])
	require.InDelta(t, float64(5), list[1]["crashes"], 0)
	out, code = runQuarantine(t, "quarantine", "list", address)
	require.Zero(t, code)
	require.Contains(t, out, `"aa01"`)

	_, code = runQuarantine(t, "quarantine", "clear", address, "aa01")
	require.Zero(t, code)
	require.Nil(t, st.Value(verdicts.Key(verdicts.Prefix, "aa01")))
	_, code = runQuarantine(t, "quarantine", "clear", address, "aa01")
	require.Equal(t, 3, code)
}

func TestQuarantineFailuresHaveExitCodes(t *testing.T) {
	t.Parallel()
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	_, code := runQuarantine(t, "quarantine", "list")
	require.Equal(t, 2, code)
	_, code = runQuarantine(t, "quarantine", "block", "--metadata-store="+st.Address())
	require.Equal(t, 2, code)
	st.SetFault(site.StoreUnavailable)
	_, code = runQuarantine(t, "quarantine", "list", "--metadata-store="+st.Address())
	require.Equal(t, 1, code)
	st.SetFault(site.StoreLosesResponses)
	_, code = runQuarantine(t, "quarantine", "block", "--metadata-store="+st.Address(), "bb02")
	require.Equal(t, 5, code)
}
