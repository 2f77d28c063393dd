package site_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/programs/load/site"
)

func TestDemo(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "bergamotway"), ".")
	build.Dir = filepath.Join("..", "..", "bergamotway")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	root := &cli.Command{Name: "load", Writer: os.Stdout, Commands: []*cli.Command{site.Command()}}
	require.NoError(t, root.Run(context.Background(), []string{"load", "demo-platform", "--bin", bin}))
}
