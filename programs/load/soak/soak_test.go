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

// TestShortSoak runs the soak test for some seconds with fixed seeds; `make soak` runs longer ones.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "bergamotway"), ".")
	build.Dir = filepath.Join("..", "..", "bergamotway")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	// With seed 308, a stream had a gap: the proxy dropped bytes and forwarded later ones.
	for _, seed := range []int64{1, 308} {
		require.NoError(t, soak.Run(context.Background(), soak.Options{BinDir: bin, Seed: seed, Length: 4 * time.Second, Hosts: 3, Clients: 12, Out: os.Stdout}))
	}
}

// TestFailedStartKillsStartedHosts guards against hosts that outlive a soak whose start failed. An hour later, such
// hosts called the endpoints of another soak, whose store had been given the address of their own store (seed 702).
func TestFailedStartKillsStartedHosts(t *testing.T) {
	bin := t.TempDir()
	pidFile := filepath.Join(bin, "pid")
	// The first host removes its own executable, so that the second one fails to start.
	script := "#!/bin/sh\necho $$ > " + pidFile + "\nrm " + filepath.Join(bin, "bergamotway") + "\nexec sleep 600\n"
	require.NoError(t, os.WriteFile(filepath.Join(bin, "bergamotway"), []byte(script), 0o700))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.Error(t, soak.Run(ctx, soak.Options{BinDir: bin, Seed: 1, Length: time.Second, Hosts: 40, Clients: 1, Out: os.Stdout}))
	data, err := os.ReadFile(pidFile)
	require.NoError(t, err)
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
	require.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH, "the first host is still running")
}
