package session_test

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed and number of generated cases, so that the results are the same on each
// run; flags on the command line take precedence. It fails if goroutines are left over at the end.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40"} {
		if f := flag.Lookup(name); f != nil {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	flag.Parse()
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}
