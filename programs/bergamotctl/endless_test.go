package main_test

import (
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/standin/raw"
)

func TestStatusWithoutEndIsCut(t *testing.T) {
	const maxResidentKiB = 128 << 10
	en, err := raw.NewEndless("HTTP/1.1 200 OK\r\n\r\n{", strings.Repeat(" ", 1<<14))
	require.NoError(t, err)
	t.Cleanup(func() { _ = en.Close() })
	cmd := exec.Command(program, "--json", "--hosts", en.Address(), "status")
	out, err := cmd.Output()
	require.NoError(t, err)
	require.Contains(t, string(out), "unreachable")
	usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage)
	require.True(t, ok)
	t.Logf("highest resident memory %d MiB", usage.Maxrss>>10)
	require.Less(t, usage.Maxrss, int64(maxResidentKiB))
}
