package soak_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/bergamotway/bergamotway/programs/load/soak"
)

// TestMain serves a worker if a soak of this test binary starts it as one.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "soak" {
		if err := soak.Command().Run(context.Background(), os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}
