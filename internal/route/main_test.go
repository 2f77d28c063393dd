package route_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that the property tests are deterministic. A flag on the command line
// overrides it.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
