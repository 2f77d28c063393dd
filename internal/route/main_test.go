package route_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that the verdict is the same on each run; a flag on the command line
// goes before.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
