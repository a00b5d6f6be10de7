package changeover

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the randomised tests a fixed seed, so that each run draws the same. The flags
// -rapid.seed=0 -rapid.checks=20000 run more of them, from a random seed.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err) // the flags are the library's
		}
	}
	os.Exit(m.Run())
}
