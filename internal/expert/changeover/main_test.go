package changeover

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes random runs the same each time. More of them, from any seed:
// -rapid.seed=0 -rapid.checks=20000.
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
