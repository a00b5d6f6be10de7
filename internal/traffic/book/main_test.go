package book_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that all runs without flags are the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
