package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/programs/load/soak"
)

// A short run; `make soak` runs longer ones, with fresh seeds.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "bergamotway"), ".")
	build.Dir = filepath.Join("..", "..", "bergamotway")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	// 308 found a hole in a stream; the proxy had dropped bytes and passed later ones on.
	for _, seed := range []int64{1, 308} {
		require.NoError(t, soak.Run(context.Background(), os.Stdout, bin, seed, 4*time.Second, 3, 12, ""))
	}
}

// A soak that did not start left the hosts that had started: an hour later they called the endpoints of
// another soak, which had the address of their store by then (found with seed 702).
func TestSoakThatDoesNotStartLeavesNoHost(t *testing.T) {
	bin := t.TempDir()
	pidFile := filepath.Join(bin, "pid")
	// The program of the first host takes itself away, so that the second does not start.
	script := "#!/bin/sh\necho $$ > " + pidFile + "\nrm " + filepath.Join(bin, "bergamotway") + "\nexec sleep 600\n"
	require.NoError(t, os.WriteFile(filepath.Join(bin, "bergamotway"), []byte(script), 0o700))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.Error(t, soak.Run(ctx, os.Stdout, bin, 1, time.Second, 40, 1, ""))
	data, err := os.ReadFile(pidFile)
	require.NoError(t, err)
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
	require.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH, "the first host still runs")
}
